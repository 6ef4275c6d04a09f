#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/reactor/EventLoop.h"

#include <Poco/Net/ServerSocket.h>

#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::soak {

// The fault that a proxy applies to forwarded bytes.
struct ProxyFault {
    Milliseconds delay { 0 };
    Milliseconds longestRandomDelay { 0 }; // of each answer by itself, in addition
    bool holdRequests = false; // holds bytes from the client to the server
    bool holdAnswers = false; // holds bytes from the server to the client
};

// Forwards connections on the loopback interface to one address, and injects faults. Runs on the event loop's thread.
class Proxy {
public:
    // Listens on a free port of 127.0.0.1.
    Proxy(reactor::EventLoop&, std::string target);
    ~Proxy();

    const std::string& address() const { return address_; }

    // Replaces the fault. Bytes that are no longer held are forwarded.
    void setFault(const ProxyFault&);

    // Breaks all connections. With `reset` both peers receive a TCP reset; otherwise the connections stay open, but
    // nothing is forwarded any more.
    void breakConnections(bool reset);

    // Closes the port, so that connections are refused, or opens it again. What is connected stays so.
    void setOpen(bool open);
    bool isOpen() const { return open_; }

    // Holds all bytes, or forwards what was held. What a client has sent is forwarded even if it has closed its
    // connection since, as a network that loses packets for a time does.
    void setSuspended(bool suspended);

private:
    class Acceptor;
    class Connection;

    void accept();
    void reopen();
    void forwardAll();

    reactor::EventLoop& loop_;
    SystemClock clock_;
    std::string target_;
    Poco::Net::ServerSocket socket_;
    std::string address_;
    bool open_ = true; // as last set
    bool listening_ = true;
    bool suspended_ = false;
    ProxyFault fault_;
    std::mt19937 random_ { 1 };
    std::shared_ptr<Acceptor> acceptor_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::set<std::shared_ptr<Connection>> stalled_;
};

// The paths from each instance to one server. What is not done to a single path happens to all of them.
class ProxyGroup {
public:
    ProxyGroup(reactor::EventLoop&, const std::string& target, int paths);

    Proxy& path(std::size_t instance) { return *paths_[instance]; }
    void setFault(const ProxyFault&);
    void breakConnections(bool reset);
    void setOpen(bool open);
    bool isOpen() const; // whether all paths are open
    void setSuspended(bool suspended);

private:
    std::vector<std::unique_ptr<Proxy>> paths_; // by instance
};

} // namespace rosemarylink::soak
