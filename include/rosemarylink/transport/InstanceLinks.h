#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace rosemarylink::transport {

// The address at which an instance accepts links.
struct PeerAddress {
    InstanceId instance;
    std::string host; // IP address
    int port = 0;
};

// Connections to the other instances of the system. Messages are JSON objects of schema/messages.json, sent as CBOR.
// Thread-safe. Handlers run on the links' own threads and must not make blocking calls to a peer.
class InstanceLinks {
public:
    virtual ~InstanceLinks() = default;

    // Sets the handler of the calls and notifications of one type. Set all handlers before the links start.
    using Handler = std::function<Result<nlohmann::json>(const InstanceId& from, const nlohmann::json& body)>;
    virtual void setHandler(const std::string& type, Handler) = 0;

    // Replaces the set of peers to stay connected to. Lost connections are reopened with jittered exponential backoff.
    virtual void setPeers(const std::vector<PeerAddress>&) = 0;

    // Sends without blocking. The message is lost when there is no working connection.
    virtual void notify(const InstanceId& to, const std::string& type, const nlohmann::json& body) = 0;

    // Sends and blocks until the answer arrives. Fails with NotRun when nothing was sent, with MayHaveRun when the
    // message was sent but no answer arrived within the time-out, and with the peer's own error when its handler
    // failed.
    virtual Result<nlohmann::json> call(
        const InstanceId& to, const std::string& type, const nlohmann::json& body, Milliseconds timeout)
        = 0;

    virtual std::vector<InstanceId> connectedPeers() const = 0;

    // Bytes sent and received since construction, for the metrics.
    virtual std::int64_t bytesTransferred() const = 0;
};

} // namespace rosemarylink::transport
