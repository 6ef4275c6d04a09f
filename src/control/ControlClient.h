#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/transport/HttpClient.h"

#include "CommandOutcome.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::control::internal {

// Whether a request may be retried when it is unknown whether it ran.
enum class RetrySafety { Safe, Unsafe };

// Sends requests to the operators' interface of the first gateway that answers. Fails over to the next gateway only if
// the previous one certainly did not run the request, or if the request is safe to retry. Not thread-safe.
class ControlClient {
public:
    // Gateways have the form "IP:port". The time-out applies to each gateway separately.
    ControlClient(const std::vector<std::string>& gateways, std::string bearerKey, Milliseconds timeout, const Clock&);

    Outcome<nlohmann::json> get(const std::string& target);
    Outcome<nlohmann::json> send(const std::string& method, const std::string& target, transport::Headers,
        const nlohmann::json& body, RetrySafety);

private:
    struct Gateway {
        std::string address;
        std::unique_ptr<transport::HttpClient> client;
    };

    // Sends a request to one gateway. After a failure, mayTryNext decides whether to fail over to another gateway.
    Outcome<nlohmann::json> sendTo(Gateway&, const std::string& method, const std::string& target,
        const transport::Headers&, const std::string& body);
    static bool mayTryNext(const CommandFailure&, RetrySafety);

    std::vector<Gateway> gateways_;
    std::string bearerKey_;
    Milliseconds timeout_;
    const Clock& clock_;
};

} // namespace rosemarylink::control::internal
