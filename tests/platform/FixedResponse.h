#pragma once

#include "rosemarylink/reactor/LoopHttpClient.h"
#include "rosemarylink/reactor/LoopHttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace rosemarylink::platform {

// A server that sends the same response to each request, and a client's loop.
class FixedResponse {
public:
    FixedResponse(int status, std::string body)
        : server_(reactor::LoopHttpServer::listen(loop_, "127.0.0.1:0", {},
            [response = reactor::ServerResponse { status, std::move(body), {} }](
                const reactor::ServerRequest&, const reactor::Responder& respond) {
                respond(response);
            }).value())
    {
    }

    reactor::LoopHttpClient& http() { return http_; }
    std::string address() const { return server_->address(); }

    // Runs the call until its handler has been called, or for a time without it, and returns how often it was called.
    // The call receives the function that its handler must call.
    int handlerCalls(const std::function<void(const std::function<void()>&)>& call)
    {
        int calls = 0;
        const auto timeout = loop_.after(patience, [this] { loop_.stop(); });
        call([this, &calls, timeout] {
            ++calls;
            loop_.cancel(timeout);
            loop_.after(settling, [this] { loop_.stop(); });
        });
        loop_.run([] {});
        return calls;
    }

private:
    static constexpr Milliseconds patience { 3000 };
    static constexpr Milliseconds settling { 5 }; // within which a second call of the handler would be seen

    SystemClock clock_;
    reactor::EventLoop loop_ { clock_ };
    reactor::LoopHttpClient http_ { loop_ };
    std::unique_ptr<reactor::LoopHttpServer> server_;
};

} // namespace rosemarylink::platform
