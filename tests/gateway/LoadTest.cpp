#include "GatewayFixture.h"

#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace rosemarylink::gateway::testing {
namespace {

    constexpr Milliseconds generousLimit { 20000 };

    // Sends a request and returns its open connection.
    Poco::Net::StreamSocket openRequest(const TestGateway& gateway, const std::string& extraHeaders = "")
    {
        Poco::Net::StreamSocket socket(
            Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(gateway.server->port())));
        const std::string request = "POST /v1/requests/invoices HTTP/1.1\r\nHost: gateway\r\n"
                                    "Authorization: Bearer key-of-franchise\r\n"
            + extraHeaders + "Content-Length: 4\r\n\r\nbody";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        return socket;
    }

    TEST_CASE("many simultaneous cancellations free the slots and end the waits without waiting for the responses")
    {
        FakeStore store;
        UpstreamFleet fleet(1, 4, { Milliseconds(600000) });
        auto settings = makeSettings("gateway-1");
        settings.timeout = Milliseconds(300000);
        TestGateway gateway(store, fleet.specs, settings);
        {
            std::vector<Poco::Net::StreamSocket> callers;
            callers.reserve(20);
            for (int index = 0; index < 20; ++index)
                callers.push_back(openRequest(gateway));
            while (gateway.service.inProgress() < 20)
                std::this_thread::yield();
            for (auto& caller : callers)
                caller.close();
        }
        CHECK(gateway.service.waitUntilIdle(generousLimit));
        CHECK(gateway.metrics.counter("rosemarylink_gateway_cancellations_total", "").value() > 0);
        CHECK(fleet.upstreams.totalArrivals() <= 4);
    }

    TEST_CASE("a non-idempotent request finishes and keeps its outcome when its caller disconnects")
    {
        FakeStore store;
        UpstreamFleet fleet(1, 4, { Milliseconds(100) });
        TestGateway gateway(store, fleet.specs);
        {
            auto caller = openRequest(gateway, "Rosemarylink-Idempotent: false\r\nIdempotency-Key: key\r\n");
            while (fleet.upstreams.totalArrivals() < 1)
                std::this_thread::yield();
            caller.close();
        }
        CHECK(gateway.service.waitUntilIdle(generousLimit));
        CHECK(verdictOf(gateway.outcomeOf("key").value()) == "Ran");
    }

    TEST_CASE("a draining gateway refuses new requests with NotRun and finishes those in progress")
    {
        FakeStore store;
        UpstreamFleet fleet(1, 4, { Milliseconds(200) });
        TestGateway gateway(store, fleet.specs);
        std::atomic<int> complete { 0 };
        CallerThreads callers(8, [&](int) {
            const auto reply = gateway.post("photo");
            if (reply && reply.value().status == 200)
                ++complete;
        });
        while (gateway.service.inProgress() < 8)
            std::this_thread::yield();
        gateway.service.beginDrain();
        const auto refused = gateway.post("photo").value();
        CHECK(refused.status == 503);
        CHECK(verdictOf(refused) == "NotRun");
        CHECK(headerOf(refused, "Connection") == "close");
        CHECK(gateway.service.waitUntilIdle(generousLimit));
        callers.join();
        CHECK(complete == 8);
    }

    TEST_CASE("overload by one account does not take another account's guarantee")
    {
        FakeStore store;
        UpstreamFleet fleet(1, 4, { Milliseconds(5) });
        auto settings = makeSettings("gateway-1");
        settings.queueLength = 8;
        auto declarations = makeDeclarations();
        declarations.accounts[1].requestConcurrency = 2;
        TestGateway gateway(store, fleet.specs, settings, declarations);
        std::atomic<bool> stop { false };
        std::atomic<int> refused { 0 };
        CallerThreads overload(24, [&](int) {
            while (!stop) {
                const auto reply = gateway.post("flood");
                if (!reply || reply.value().status == 429)
                    ++refused;
            }
        });
        while (refused == 0)
            std::this_thread::yield();
        int served = 0;
        for (int index = 0; index < 50; ++index) {
            const auto reply = gateway.post("guaranteed", {}, "invoices", "plant");
            served += reply && reply.value().status == 200 ? 1 : 0;
        }
        stop = true;
        overload.join();
        CHECK(served == 50);
    }

    TEST_CASE("when the queue is full, requests of the service with the lowest worth are evicted first")
    {
        FakeStore store;
        UpstreamFleet fleet(2, 1, { Milliseconds(600000) });
        auto specs = fleet.specs;
        specs[0].service = ServiceId("photos");
        specs[1].service = ServiceId("quotes");
        auto settings = makeSettings("gateway-1");
        settings.timeout = Milliseconds(300000);
        settings.queueLength = 3;
        auto declarations = makeDeclarations();
        declarations.worths = { { KindId("photos"), 1 }, { KindId("quotes"), 10 } };
        TestGateway gateway(store, specs, settings, declarations);
        std::atomic<int> refusedPhotos { 0 };
        std::atomic<int> refusedQuotes { 0 };
        const auto caller = [&](const std::string& service, std::atomic<int>& refused) {
            const auto reply = gateway.post("body", {}, service);
            refused += reply && reply.value().status == 429 && verdictOf(reply.value()) == "NotRun" ? 1 : 0;
        };
        CallerThreads photos(4, [&](int) { caller("photos", refusedPhotos); });
        while (gateway.service.inProgress() < 4)
            std::this_thread::yield();
        CallerThreads quotes(3, [&](int) { caller("quotes", refusedQuotes); });
        const auto start = std::chrono::steady_clock::now();
        while (refusedPhotos == 0 && std::chrono::steady_clock::now() - start < generousLimit)
            std::this_thread::yield();
        CHECK(refusedPhotos > 0);
        fleet.upstreams.release();
        photos.join();
        quotes.join();
        CHECK(refusedQuotes == 0);
    }

    TEST_CASE("a leaving upstream gets no new requests and finishes those in progress")
    {
        FakeStore store;
        UpstreamFleet fleet(2, 8, { Milliseconds(100) });
        TestGateway gateway(store, fleet.specs);
        std::atomic<int> complete { 0 };
        CallerThreads callers(8, [&](int) {
            const auto reply = gateway.post("photo");
            if (reply && reply.value().status == 200)
                ++complete;
        });
        while (fleet.upstreams.totalArrivals() < 8)
            std::this_thread::yield();
        auto specs = fleet.specs;
        specs.front().state = model::ResourceState::Leaving;
        gateway.service.setUpstreams(specs);
        const auto before = fleet.upstreams.arrivals(UpstreamId("1"));
        for (int index = 0; index < 10; ++index)
            CHECK(gateway.post("photo").value().status == 200);
        callers.join();
        CHECK(complete == 8);
        CHECK(fleet.upstreams.arrivals(UpstreamId("1")) == before);
    }

    TEST_CASE("requests that cannot finish before their deadlines are refused at once with NotRun")
    {
        FakeStore store;
        UpstreamFleet fleet(1, 1, { Milliseconds(100) });
        TestGateway gateway(store, fleet.specs);
        REQUIRE(gateway.post("the first request shows the service time").value().status == 200);
        std::atomic<int> refused { 0 };
        std::atomic<int> late { 0 };
        CallerThreads callers(10, [&](int) {
            const auto reply = gateway.post("photo", { { "Rosemarylink-Timeout-Ms", "350" } }).value();
            refused += reply.status == 429 && verdictOf(reply) == "NotRun" ? 1 : 0;
            late += reply.status == 504 ? 1 : 0;
        });
        callers.join();
        CHECK(refused >= 5);
        CHECK(late <= 1);
        CHECK(fleet.upstreams.totalArrivals() <= 6);
    }

} // namespace
} // namespace rosemarylink::gateway::testing
