#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/LoopHttpClient.h"
#include "rosemarylink/reactor/LoopHttpServer.h"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <stdexcept>

namespace rosemarylink::reactor {

// Guards against an exception in one event handler that ends the process and with it all other requests.
TEST_CASE("an exception in an event handler does not end the loop")
{
    const SystemClock clock;
    EventLoop loop(clock);
    bool later = false;
    loop.after(Milliseconds(0), [] { throw std::runtime_error("unexpected"); });
    loop.after(Milliseconds(5), [&loop, &later] {
        later = true;
        loop.stop();
    });
    loop.run([] {});
    REQUIRE(later);
}

// Guards against callers that wait until their deadline for a request whose handler failed.
TEST_CASE("a request whose handler throws is ended at once and the next one is served")
{
    const SystemClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    bool failed = false;
    auto server
        = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest& request, const Responder& respond) {
              if (request.body == "bad")
                  throw std::runtime_error("unexpected");
              respond({ 200, "{}", {} });
          });
    REQUIRE(server.has_value());
    const std::string address = server.value()->address();
    bool served = false;
    client.send(address, { "POST", "/", {}, "bad", Milliseconds(60000) }, [&](const Result<ClientResponse>& first) {
        failed = !first && first.error().verdict == Verdict::MayHaveRun;
        client.send(address, { "POST", "/", {}, "", Milliseconds(5000) }, [&](const Result<ClientResponse>& second) {
            served = second.has_value();
            loop.stop();
        });
    });
    loop.run([] {});
    CHECK(failed);
    CHECK(served);
}

// Guards against responses that are delivered to the wrong request, and against a server that accepts connections after
// it was drained.
TEST_CASE("a client reuses connections to a server until the server is drained")
{
    const SystemClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    auto server
        = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest& request, const Responder& respond) {
              respond({ 200, "{\"echo\":" + request.body + "}", {} });
          });
    REQUIRE(server.has_value());
    const std::string address = server.value()->address();
    constexpr int calls = 20;
    int answered = 0;
    std::optional<Verdict> afterDrain;
    std::function<void()> next = [&] {
        const std::string body = std::to_string(answered);
        client.send(
            address, { "POST", "/", {}, body, Milliseconds(1000) }, [&, body](const Result<ClientResponse>& response) {
                CHECK(response.has_value());
                CHECK(response.value().body == "{\"echo\":" + body + "}");
                if (++answered < calls) {
                    next();
                    return;
                }
                server.value()->drain();
                loop.after(Milliseconds(20), [&] {
                    client.send(
                        address, { "GET", "/", {}, "", Milliseconds(300) }, [&](const Result<ClientResponse>& refused) {
                            if (!refused)
                                afterDrain = refused.error().verdict;
                            loop.stop();
                        });
                });
            });
    };
    next();
    loop.run([] {});
    CHECK(answered == calls);
    CHECK(client.connectionsOpened() <= 2);
    CHECK(afterDrain == Verdict::NotRun);
}

// Guards against requests that wait indefinitely for a server that does not respond.
TEST_CASE("a request without a response times out and is reported as MayHaveRun")
{
    const SystemClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    auto server = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest&, const Responder&) {});
    REQUIRE(server.has_value());
    std::optional<Verdict> verdict;
    client.send(server.value()->address(), { "GET", "/", {}, "", Milliseconds(50) },
        [&](const Result<ClientResponse>& response) {
            if (!response)
                verdict = response.error().verdict;
            loop.stop();
        });
    loop.run([] {});
    REQUIRE(verdict == Verdict::MayHaveRun);
}

} // namespace rosemarylink::reactor
