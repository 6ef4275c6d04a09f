#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace rosemarylink::transport {

// Where an instance listens for links.
struct PeerAddress {
    InstanceId instance;
    std::string host; // IP address
    int port = 0;
};

// Connections to the other instances of the system. Messages are JSON objects of schema/messages.json, sent as CBOR.
// Safe to use from several threads. Handlers run on the links' own threads and must not block on a call to a peer.
class InstanceLinks {
public:
    virtual ~InstanceLinks() = default;

    // Answers calls and receives notifications of one type. Set all handlers before start.
    using Handler = std::function<Result<nlohmann::json>(const InstanceId& from, const nlohmann::json& body)>;
    virtual void setHandler(const std::string& type, Handler) = 0;

    // Replaces the set of peers to stay connected to; lost connections are opened again with jittered backoff.
    virtual void setPeers(const std::vector<PeerAddress>&) = 0;

    // Sends without waiting; lost when there is no working connection.
    virtual void notify(const InstanceId& to, const std::string& type, const nlohmann::json& body) = 0;

    // Sends and waits for the answer. Fails with Unavailable and NotRun when nothing was sent, with MayHaveRun when
    // the answer did not come in time, and with the peer's own error when it refused.
    virtual Result<nlohmann::json> call(
        const InstanceId& to, const std::string& type, const nlohmann::json& body, Milliseconds timeout)
        = 0;

    virtual std::vector<InstanceId> connectedPeers() const = 0;

    // Bytes sent and received since the start, for the metrics.
    virtual std::int64_t bytesTransferred() const = 0;
};

} // namespace rosemarylink::transport
