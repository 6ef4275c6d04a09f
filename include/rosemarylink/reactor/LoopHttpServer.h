#pragma once

#include "rosemarylink/reactor/ConnectionBudget.h"
#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/HttpMessage.h"

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::reactor {

struct ServerResponse {
    int status = 200;
    std::string body; // sent with contentType unless empty
    std::vector<std::pair<std::string, std::string>> headers;
    std::string contentType = "application/json";
    bool closeConnection = false; // after the response
    // Faults that stand-ins inject: close the connection without a response, send the response twice, or close the
    // connection after part of the body.
    bool closeWithoutAnswer = false;
    bool duplicate = false;
    std::size_t truncateBodyBy = 0; // bytes
};

// Sends the response to one request. Must be called on the loop's thread, at any time after the request was received.
// Has no effect if the connection has been closed.
using Responder = std::function<void(const ServerResponse&)>;

struct ServerRequest : HttpMessage<Poco::Net::HTTPRequest> {
    const Poco::Net::StreamSocket* connection = nullptr; // the client's; valid until the handler returns
};
using RequestHandler = std::function<void(ServerRequest, Responder)>;

// Makes the response to a request that does not reach the handler: with InvalidArgument because it is malformed, with
// ResourceExhausted because its body exceeds the limit, and with Unavailable because the budget has no room.
using RefusalFormat = std::function<ServerResponse(const Error&)>;

// Is told why connections were closed and requests were refused because of the limits. The causes are a small fixed
// set.
struct ServerObserver {
    std::function<void(const std::string& cause)> connectionClosed;
    std::function<void(const std::string& cause)> requestRefused;
};

// An HTTP server on an event loop. Must be used on the loop's thread. Requests on one connection are handled one at a
// time, in order; beyond what arrived together with a request, nothing is read until its response has been sent. A
// request that announces a body over the limit gets 413 at once; one for which the budget has no room gets 503 with
// Retry-After and does not reach the handler.
class LoopHttpServer {
public:
    // Listens on an address of the form "IP:port". Fails with Unavailable if the address is in use or not local.
    static Result<std::unique_ptr<LoopHttpServer>> listen(
        EventLoop&, const std::string& address, const ConnectionLimits&, RequestHandler);

    // Must be called at most once, before the loop runs.
    void observe(ServerObserver observer) { observer_ = std::move(observer); }

    // Replaces the JSON bodies of refusals. Must be called at most once, before the loop runs.
    void setRefusalFormat(RefusalFormat format) { refusalFormat_ = std::move(format); }

    // From now on closes each connection on which nothing has arrived or been sent for this long, from its opening on,
    // and which has no request in progress. A request is in progress from when it has been received whole until its
    // response has been sent. Connections are closed up to an eighth of the limit late. Must be called at most once.
    void closeIdleConnections(Milliseconds limit);

    // Number of connections that were closed because they were idle.
    std::uint64_t idleConnectionsClosed() const { return idleConnectionsClosed_; }
    ~LoopHttpServer();

    // Stops accepting connections, closes idle ones immediately and the others after their current response.
    void drain();

    // Number of open connections.
    std::size_t connections() const { return connections_.size(); }

    const ConnectionBudget& budget() const { return *budget_; }

    const std::string& address() const { return address_; }

private:
    class Listener;
    class Connection;
    class RequestCharge;

    LoopHttpServer(EventLoop&, const Poco::Net::ServerSocket&, const ConnectionLimits&, RequestHandler);
    void accept(int maximum);
    void scheduleIdleCheck();
    void scheduleProgressCheck();
    void enforceBudget();
    std::vector<std::shared_ptr<Connection>> openConnections() const;

    EventLoop& loop_;
    Poco::Net::ServerSocket socket_;
    std::string address_;
    ConnectionLimits limits_;
    // Shared with the requests in progress, which may outlive the server.
    std::shared_ptr<ConnectionBudget> budget_;
    ServerObserver observer_;
    RefusalFormat refusalFormat_;
    RequestHandler handler_;
    std::shared_ptr<Listener> listener_;
    std::map<ConnectionBudget::Id, std::shared_ptr<Connection>> connections_;
    ConnectionBudget::Id lastConnection_ = 0;
    Milliseconds idleLimit_ { 0 }; // 0 if idle connections are not closed
    EventLoop::TimerId idleTimer_ = 0;
    EventLoop::TimerId progressTimer_ = 0;
    std::uint64_t idleConnectionsClosed_ = 0;
    bool draining_ = false;
    bool listening_ = true;
};

} // namespace rosemarylink::reactor
