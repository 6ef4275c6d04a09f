#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/transport/HttpClient.h"

#include "CommandOutcome.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::control::internal {

// Whether a request may be sent again when it is unknown whether it ran.
enum class Repetition { Safe, Unsafe };

// Calls the operators' interface of the first gateway that answers. The next gateway is tried only when the one before
// certainly did not run the request, or when repeating it is safe.
class ControlClient {
public:
    // Gateways are "IP:port"; the time-out is that of one gateway's answer.
    ControlClient(const std::vector<std::string>& gateways, std::string bearerKey, Milliseconds timeout, const Clock&);

    Outcome<nlohmann::json> get(const std::string& target);
    Outcome<nlohmann::json> send(const std::string& method, const std::string& target, transport::Headers,
        const nlohmann::json& body, Repetition);

private:
    struct Gateway {
        std::string address;
        std::unique_ptr<transport::HttpClient> client;
    };

    // One gateway's answer. When it has failed, mayTryNext says whether another gateway may be asked.
    Outcome<nlohmann::json> ask(Gateway&, const std::string& method, const std::string& target,
        const transport::Headers&, const std::string& body);
    static bool mayTryNext(const CommandFailure&, Repetition);

    std::vector<Gateway> gateways_;
    std::string bearerKey_;
    Milliseconds timeout_;
    const Clock& clock_;
};

} // namespace rosemarylink::control::internal
