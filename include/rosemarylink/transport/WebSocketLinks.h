#pragma once

#include "rosemarylink/transport/InstanceLinks.h"

#include <memory>

namespace rosemarylink::transport {

struct LinkOptions {
    InstanceId self; // sent to peers when a connection opens
    std::string host = "127.0.0.1"; // IP address to listen on
    int port = 0; // 0: the kernel chooses
    Milliseconds pingInterval { 1000 }; // a connection that has received nothing for this long is pinged
    Milliseconds receiveTimeout { 3000 }; // a connection that has received nothing for this long is replaced
    Milliseconds minimumBackoff { 100 }; // before a failed connection attempt is repeated; doubles with each failure
    Milliseconds maximumBackoff { 2000 };
    std::size_t maximumMessageSize = 4 << 20; // bytes; the sender and the receiver reject longer messages
    std::size_t maximumUnsentSize
        = 8 << 20; // bytes; a message that would exceed this many unsent bytes on a connection is not sent
    // Connections that are accepted at once from instances that are not peers, such as one that has just started and is
    // not listed yet, and from one peer.
    std::size_t maximumStrangers = 16;
    std::size_t maximumPerPeer = 4;
    int callThreads = 4; // for the handlers of calls; notifications run in order on a separate thread
    int maximumQueuedCalls = 1024; // further calls fail with ResourceExhausted
};

// Instance links over websocketpp. A connection carries messages in both directions, and either end may open it. The
// instance with the lower id connects immediately and the other one after a delay, so that two instances that discover
// each other at the same time rarely open two connections. A connection is used only when the peer sends the expected
// id.
class WebSocketLinks final : public InstanceLinks {
public:
    explicit WebSocketLinks(const LinkOptions&);
    ~WebSocketLinks() override; // stops

    // Listens and starts the threads. Fails with Unavailable when the address cannot be bound.
    Status start();

    // Closes all connections. Pending calls fail.
    void stop();

    // The port that the links listen on; valid after start.
    int port() const;

    void setHandler(const std::string& type, Handler) override;
    void setPeers(const std::vector<PeerAddress>&) override;
    void notify(const InstanceId& to, const std::string& type, const nlohmann::json& body) override;

    // Fails with DeadlineExceeded at the time-out; the verdict is NotRun when the message had not been sent by then.
    Result<nlohmann::json> call(
        const InstanceId& to, const std::string& type, const nlohmann::json& body, Milliseconds timeout) override;

    std::vector<InstanceId> connectedPeers() const override;

    // Counts payload and WebSocket frame headers, but not handshakes or TCP and IP headers.
    std::int64_t bytesTransferred() const override;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace rosemarylink::transport
