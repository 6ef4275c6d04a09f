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

struct ClientRequest {
    std::string method;
    std::string target; // path and query
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body; // application/json when not empty
    Milliseconds timeout { 0 }; // from the call of send() until the complete response is received
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
    ~LoopHttpClient();

    // Sends a request to an address of the form "IP:port". Calls the handler exactly once, from the loop. The verdict
    // of an error is NotRun if the connection was not established, otherwise MayHaveRun. A timeout also closes the idle
    // connections to the address, because they may be as dead as the one that timed out.
    void send(const std::string& address, const ClientRequest&, ResponseHandler);

    // Closes the idle connections to an address.
    void closeIdleConnections(const std::string& address);

    std::int64_t connectionsOpened() const { return connectionsOpened_; }

private:
    class Connection;

    void release(const std::shared_ptr<Connection>&);

    EventLoop& loop_;
    std::map<std::string, std::list<std::shared_ptr<Connection>>> idle_;
    std::int64_t connectionsOpened_ = 0;
};

} // namespace rosemarylink::reactor
