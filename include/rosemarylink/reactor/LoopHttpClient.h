#pragma once

#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/HttpStream.h"

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
    Milliseconds timeout { 0 }; // from now until the whole answer is here
};

struct ClientReply {
    int status = 0;
    std::string body;
};

using ReplyHandler = std::function<void(Result<ClientReply>)>;

// An HTTP client on an event loop, with kept-alive connections to each address.
class LoopHttpClient {
public:
    explicit LoopHttpClient(EventLoop& loop)
        : loop_(loop)
    {
    }
    ~LoopHttpClient();

    // Calls the handler once, from the loop. An error's verdict is NotRun when the connection was not made, otherwise
    // MayHaveRun. After a time-out the idle connections to that address are dropped, since they may be as silent as the
    // one that timed out.
    void send(const std::string& address, const ClientRequest&, ReplyHandler);

    // Drops the idle connections to an address that is no longer used.
    void forget(const std::string& address);

    std::int64_t connectionsOpened() const { return connectionsOpened_; }

private:
    class Channel;

    void release(const std::shared_ptr<Channel>&);

    EventLoop& loop_;
    std::map<std::string, std::list<std::shared_ptr<Channel>>> idle_;
    std::int64_t connectionsOpened_ = 0;
};

} // namespace rosemarylink::reactor
