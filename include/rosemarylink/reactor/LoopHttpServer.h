#pragma once

#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/HttpStream.h"

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::reactor {

struct ServerReply {
    int status = 200;
    std::string body; // application/json when not empty, unless contentType says otherwise
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType = "application/json";
};

// Sends the answer to one request. It may be called at any later time on the loop; a connection that has gone by then
// ignores it.
using Responder = std::function<void(const ServerReply&)>;

using ServerRequest = WholeMessage<Poco::Net::HTTPRequest>;
using RequestHandler = std::function<void(ServerRequest, Responder)>;

// An HTTP server on an event loop. Requests on one connection are answered one after the other.
class LoopHttpServer {
public:
    // Fails when the address is in use or is not of this machine. The address is "IP:port".
    static Result<std::unique_ptr<LoopHttpServer>> listen(
        EventLoop&, const std::string& address, const MessageLimits&, RequestHandler);
    ~LoopHttpServer();

    // Closes connections after their current answer and idle ones now, and takes no new ones.
    void drain();

    std::size_t connections() const { return connections_.size(); }

    const std::string& address() const { return address_; }

private:
    class Listener;
    class Connection;

    LoopHttpServer(EventLoop&, const Poco::Net::ServerSocket&, const MessageLimits&, RequestHandler);
    void accept();

    EventLoop& loop_;
    Poco::Net::ServerSocket socket_;
    std::string address_;
    MessageLimits limits_;
    RequestHandler handler_;
    std::shared_ptr<Listener> listener_;
    std::set<std::shared_ptr<Connection>> connections_;
    bool draining_ = false;
    bool listening_ = true;
};

} // namespace rosemarylink::reactor
