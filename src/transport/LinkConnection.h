#pragma once

#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"
#include "rosemarylink/transport/InstanceLinks.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace rosemarylink::transport::internal {

// One connection to a peer, in either role. Everything here runs on the links' I/O thread.
class LinkConnection {
public:
    virtual ~LinkConnection() = default;

    virtual const InstanceId& peer() const = 0;

    // Sends a whole binary message. False when the connection is no longer open.
    virtual bool send(const std::string& bytes) = 0;
    virtual bool ping() = 0;
    virtual std::size_t unsentBytes() const = 0;

    // Closes the socket without a closing handshake, which a silent peer would not answer.
    virtual void drop() = 0;
};

using LinkPointer = std::shared_ptr<LinkConnection>;

// What the endpoints report.
class LinkEvents {
public:
    virtual ~LinkEvents() = default;
    virtual void linkOpened(const LinkPointer&) = 0;
    virtual void linkReceived(const LinkPointer&, const std::string& bytes) = 0;
    virtual void linkHeard(const LinkPointer&) = 0; // a ping or pong
    // Also reported for a connection that never opened.
    virtual void linkClosed(const LinkPointer&, const std::string& reason) = 0;
};

struct EndpointOptions {
    InstanceId self;
    std::size_t maximumMessage = 0;
    Milliseconds openTimeout { 0 };
};

// Opens connections.
class LinkClient {
public:
    LinkClient(boost::asio::io_context&, const EndpointOptions&, LinkEvents&);
    ~LinkClient();

    // Starts to open a connection; the outcome is reported as linkOpened or linkClosed. Null when the address is bad.
    LinkPointer open(const PeerAddress&);

private:
    struct State;
    std::unique_ptr<State> state_;
};

// Accepts connections.
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

// The header by which both ends name themselves when a connection opens.
inline constexpr const char* instanceHeader = "Rosemarylink-Instance";

} // namespace rosemarylink::transport::internal
