#pragma once

#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"
#include "rosemarylink/transport/InstanceLinks.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace rosemarylink::transport::internal {

// A connection to a peer, opened by either end. Used on the links' I/O thread only.
class LinkConnection {
public:
    virtual ~LinkConnection() = default;

    virtual const InstanceId& peer() const = 0;

    // Sends one binary message. Returns false when the connection is no longer open.
    virtual bool send(const std::string& bytes) = 0;
    virtual bool ping() = 0;
    virtual std::size_t unsentBytes() const = 0;

    // Closes the socket without a closing handshake, to which a silent peer would not reply.
    virtual void drop() = 0;
};

using LinkPointer = std::shared_ptr<LinkConnection>;

// Receives the events of connections, on the I/O thread.
class LinkEvents {
public:
    virtual ~LinkEvents() = default;
    // Whether the instance is one of those that connections are kept to.
    virtual bool isPeer(const InstanceId&) const = 0;
    virtual void linkOpened(const LinkPointer&) = 0;
    virtual void linkReceived(const LinkPointer&, const std::string& bytes) = 0;
    virtual void linkActive(const LinkPointer&) = 0; // a ping or pong was received
    // Also called for a connection attempt that failed.
    virtual void linkClosed(const LinkPointer&, const std::string& reason) = 0;
};

struct EndpointOptions {
    InstanceId self;
    std::size_t maximumMessageSize = 0;
    Milliseconds openTimeout { 0 };
    // Connections from instances that are not peers, and from one peer, that are accepted at once.
    std::size_t maximumStrangers = 0;
    std::size_t maximumPerPeer = 0;
};

// Opens connections to peers.
class LinkClient {
public:
    LinkClient(boost::asio::io_context&, const EndpointOptions&, LinkEvents&);
    ~LinkClient();

    // Starts opening a connection; linkOpened or linkClosed reports the result. Returns null when the address is
    // invalid.
    LinkPointer open(const PeerAddress&);

private:
    struct State;
    std::unique_ptr<State> state_;
};

// Accepts connections from peers.
class LinkServer {
public:
    LinkServer(boost::asio::io_context&, const EndpointOptions&, LinkEvents&);
    ~LinkServer();

    Status listen(const std::string& host, int port);
    int port() const;
    void stopListening();

private:
    struct State;
    std::unique_ptr<State> state_;
};

// The HTTP header in which both ends send their instance id during the handshake.
inline constexpr const char* instanceHeader = "Rosemarylink-Instance";

} // namespace rosemarylink::transport::internal
