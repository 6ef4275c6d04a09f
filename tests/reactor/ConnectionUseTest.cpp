#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/LoopHttpClient.h"
#include "rosemarylink/reactor/LoopHttpServer.h"

#include <catch2/catch.hpp>

#include <string>

namespace rosemarylink::reactor {

// Guards against a further attempt of a call on an idle connection that may have failed without notice, and against
// connections that add up because those of further attempts are not used again.
TEST_CASE("a request that needs a new connection does not use an idle one, and its connection is used afterwards")
{
    const SystemClock clock;
    EventLoop loop(clock);
    LoopHttpClient client(loop);
    auto server = LoopHttpServer::listen(loop, "127.0.0.1:0", {}, [](const ServerRequest&, const Responder& respond) {
        respond({ 200, "{}", {} });
    });
    REQUIRE(server.has_value());
    const std::string address = server.value()->address();
    int responses = 0;
    const auto request = [](ConnectionUse use) {
        return ClientRequest { "GET", "/", {}, "", Milliseconds(5000), TimeoutScope::Progress, use };
    };
    std::int64_t opened = 0;
    client.send(address, request(ConnectionUse::Any), [&](const Result<ClientResponse>& first) {
        responses += first ? 1 : 0;
        client.send(address, request(ConnectionUse::New), [&](const Result<ClientResponse>& second) {
            responses += second ? 1 : 0;
            opened = client.connectionsOpened();
            for (int number = 0; number < 2; ++number)
                client.send(address, request(ConnectionUse::Any), [&](const Result<ClientResponse>& later) {
                    responses += later ? 1 : 0;
                    if (responses == 4)
                        loop.stop();
                });
        });
    });
    loop.run([] {});
    CHECK(opened == 2);
    CHECK(client.connectionsOpened() == 2);
}

} // namespace rosemarylink::reactor
