#pragma once

#include "rosemarylink/reactor/EventLoop.h"

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <set>
#include <string>

namespace rosemarylink::soak {

// What a proxy does to the bytes that pass.
struct LinkFault {
    Milliseconds delay { 0 };
    bool holdRequests = false; // nothing passes towards the server
    bool holdAnswers = false; // nothing passes towards the client
};

// Forwards connections on the loopback interface to one address, with faults.
class Proxy {
public:
    // Listens on any free port of 127.0.0.1.
    Proxy(reactor::EventLoop&, std::string target);
    ~Proxy();

    const std::string& address() const { return address_; }

    // What is held passes when the fault is over.
    void setFault(const LinkFault&);

    // Ends all connections. With `reset` their peers see a reset at once; otherwise nothing passes on them any more,
    // and nobody is told.
    void breakConnections(bool reset);

private:
    class Acceptor;
    class Link;

    void accept();

    reactor::EventLoop& loop_;
    std::string target_;
    Poco::Net::ServerSocket socket_;
    std::string address_;
    LinkFault fault_;
    std::shared_ptr<Acceptor> acceptor_;
    std::set<std::shared_ptr<Link>> links_;
    std::set<std::shared_ptr<Link>> silenced_;
};

} // namespace rosemarylink::soak
