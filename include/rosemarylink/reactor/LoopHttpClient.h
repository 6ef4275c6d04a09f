#pragma once

#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/HttpMessage.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylink::reactor {

// What the timeout of a request limits.
enum class TimeoutScope {
    // The time without progress: from the call of send() until bytes of the response arrive, and then from each arrival
    // to the next. A large response may take longer on a slow link.
    Progress,
    WholeCall, // the time from the call of send() until the complete response is received
};

// Which connection a request may use.
enum class ConnectionUse {
    Any, // an idle one if there is one
    New, // a new one, because those that are open may have failed without notice
};

struct ClientRequest {
    std::string method;
    std::string target; // path and query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; // application/json when not empty
    // 0 does not mean unlimited: the request times out when the loop next runs its timers.
    Milliseconds timeout { 0 };
    TimeoutScope timeoutScope = TimeoutScope::Progress;
    ConnectionUse connectionUse = ConnectionUse::Any;
};

struct ClientResponse {
    int status = 0;
    std::string body;
};

using ResponseHandler = std::function<void(Result<ClientResponse>)>;

// An HTTP client on an event loop that reuses connections (keep-alive) per address. Must be used on the loop's thread.
class LoopHttpClient {
public:
    explicit LoopHttpClient(EventLoop& loop)
        : loop_(loop)
    {
    }

    // Closes the idle connections only. Requests in flight keep a reference to the client, so the loop must not run
    // again if there are any.
    ~LoopHttpClient();

    // Sends a request to an address of the form "IP:port". The loop calls the handler exactly once, after send() has
    // returned, also if the address is malformed or the system refuses a socket. A complete response is a success
    // whatever its status, including 4xx and 5xx. Every error is Unavailable, with the verdict NotRun if the connection
    // was not established, otherwise MayHaveRun. A timeout also closes the idle connections to the address, because the
    // peer may no longer respond on them either.
    void send(const std::string& address, const ClientRequest&, ResponseHandler);

    // Closes the idle connections to an address.
    void closeIdleConnections(const std::string& address);

    std::int64_t connectionsOpened() const { return connectionsOpened_; }

private:
    class Connection;

    std::shared_ptr<Connection> takeConnection(const std::string& address, ConnectionUse);
    void release(const std::shared_ptr<Connection>&);

    EventLoop& loop_;
    std::map<std::string, std::list<std::shared_ptr<Connection>>> idle_;
    std::int64_t connectionsOpened_ = 0;
};

} // namespace rosemarylink::reactor
