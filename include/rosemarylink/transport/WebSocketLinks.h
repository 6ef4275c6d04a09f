#pragma once

#include "rosemarylink/transport/InstanceLinks.h"

#include <memory>

namespace rosemarylink::transport {

struct LinkOptions {
    InstanceId self; // sent to peers when a connection opens
    std::string host = "127.0.0.1"; // IP address to listen on
    int port = 0; // 0: the kernel chooses
    Milliseconds pingInterval { 1000 }; // a connection that has received nothing for this long is pinged
    Milliseconds silentTimeout { 3000 }; // a connection that has received nothing for this long is replaced
    Milliseconds minimumBackoff { 100 }; // before a lost connection is opened again; doubles with each failure
    Milliseconds maximumBackoff { 2000 };
    std::size_t maximumMessage = 4 << 20; // bytes; a longer message is refused by the sender and the receiver
    std::size_t maximumUnsent = 8 << 20; // bytes; a connection that holds this many unsent bytes takes no more
    int callThreads = 4; // run the handlers of calls; notifications have one thread of their own, in order
    int maximumQueuedCalls = 1024; // further calls are refused with ResourceExhausted
};

// Instance links over websocketpp. An open connection carries messages both ways, and either end may open it. The
// instance with the lower id opens it at once; the other one waits for a moment, so that two instances that learn of
// each other at the same time rarely open two. A connection is trusted only when the peer names the expected id.
class WebSocketLinks final : public InstanceLinks {
public:
    explicit WebSocketLinks(const LinkOptions&);
    ~WebSocketLinks() override; // stops

    // Listens and starts the threads. Fails with Unavailable when the address cannot be bound.
    Status start();

    // Drops all connections. Calls that wait fail.
    void stop();

    // The port that the links listen on; known after start.
    int port() const;

    void setHandler(const std::string& type, Handler) override;
    void setPeers(const std::vector<PeerAddress>&) override;
    void notify(const InstanceId& to, const std::string& type, const nlohmann::json& body) override;

    // A time-out fails with DeadlineExceeded, and with NotRun when the message had not left by then.
    Result<nlohmann::json> call(
        const InstanceId& to, const std::string& type, const nlohmann::json& body, Milliseconds timeout) override;

    std::vector<InstanceId> connectedPeers() const override;

    // Payload and WebSocket frame headers; neither handshakes nor TCP and IP headers.
    std::int64_t bytesTransferred() const override;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace rosemarylink::transport
