#include "GatewayFixture.h"

#include <atomic>
#include <chrono>

namespace rosemarylink::gateway::testing {
namespace {

    using standin::UpstreamFault;

    settings_gateway::GatewaySettings settingsWithRetries()
    {
        auto settings = makeSettings("gateway-1");
        // Each request adds a whole retry to the budget, so that a single request can be retried.
        settings.retryShare = 1;
        return settings;
    }

    struct SingleFault {
        UpstreamFault fault;
        const char* verdict;
        int executions;
    };

    TEST_CASE("a non-idempotent request gets the correct verdict and runs at most once when its upstream fails")
    {
        const auto fault = GENERATE(SingleFault { UpstreamFault::Refuse, "NotRun", 0 },
            SingleFault { UpstreamFault::FailBefore, "MayHaveRun", 0 },
            SingleFault { UpstreamFault::FailAfter, "MayHaveRun", 1 },
            SingleFault { UpstreamFault::Error, "MayHaveRun", 1 },
            SingleFault { UpstreamFault::Swapped, "MayHaveRun", 1 },
            SingleFault { UpstreamFault::Truncated, "MayHaveRun", 1 }, SingleFault { UpstreamFault::Late, "Ran", 1 },
            SingleFault { UpstreamFault::Duplicated, "Ran", 1 });
        FakeStore store;
        UpstreamFleet fleet(3);
        fleet.setFault(fault.fault);
        TestGateway gateway(store, fleet.specs, settingsWithRetries());
        CHECK(verdictOf(gateway.postNonIdempotent("run", "key").value()) == fault.verdict);
        CHECK(fleet.totalExecutions() == fault.executions);
        CHECK(fleet.upstreams.totalArrivals() == 1);
        fleet.clearFaults();
        CHECK(verdictOf(gateway.postNonIdempotent("run", "key").value()) == fault.verdict);
        CHECK(verdictOf(gateway.outcomeOf("key").value()) == fault.verdict);
        CHECK(fleet.upstreams.totalArrivals() == 1);
    }

    TEST_CASE("a non-idempotent request to an upstream that does not accept connections is not recorded")
    {
        FakeStore store;
        std::vector<model::UpstreamSpec> specs;
        {
            const UpstreamFleet stoppedFleet(1);
            specs = stoppedFleet.specs;
        }
        TestGateway gateway(store, specs, settingsWithRetries());
        const auto reply = gateway.postNonIdempotent("run", "key").value();
        CHECK(verdictOf(reply) == "NotRun");
        CHECK(store.writes() == 0);
        // The key is still unused, so the request can be repeated with it.
        const UpstreamFleet restartedFleet(1);
        gateway.service.setUpstreams(restartedFleet.specs);
        CHECK(verdictOf(gateway.postNonIdempotent("run", "key").value()) == "Ran");
    }

    TEST_CASE(
        "an idempotent request is retried at another upstream when the first one refuses it, fails or responds wrongly")
    {
        const auto fault = GENERATE(UpstreamFault::Refuse, UpstreamFault::FailBefore, UpstreamFault::FailAfter,
            UpstreamFault::Error, UpstreamFault::Swapped, UpstreamFault::Truncated);
        FakeStore store;
        UpstreamFleet fleet(2);
        standin::UpstreamFaults faults;
        faults.shares[fault] = 1;
        fleet.upstreams.setFaults(UpstreamId("1"), faults);
        TestGateway gateway(store, fleet.specs, settingsWithRetries());
        // The upstream is drawn at random, so that the first few requests may all miss the faulty one.
        for (int index = 0; index < 10 || (fleet.upstreams.arrivals(UpstreamId("1")) == 0 && index < 100); ++index) {
            const auto reply = gateway.post("photo").value();
            CHECK(reply.status == 200);
            CHECK(reply.body == headerOf(reply, "Rosemarylink-Request-Id") + ":photo");
        }
        CHECK(fleet.upstreams.arrivals(UpstreamId("1")) > 0);
    }

    TEST_CASE("an idempotent request without retry budget fails with the verdict of its only copy")
    {
        FakeStore store;
        UpstreamFleet fleet(2);
        auto settings = makeSettings("gateway-1");
        settings.retryShare = 0;
        TestGateway gateway(store, fleet.specs, settings);
        fleet.setFault(UpstreamFault::Refuse);
        CHECK(verdictOf(gateway.post("photo").value()) == "NotRun");
        fleet.setFault(UpstreamFault::FailAfter);
        CHECK(verdictOf(gateway.post("photo").value()) == "MayHaveRun");
        CHECK(fleet.upstreams.totalArrivals() == 2);
    }

    TEST_CASE("late, swapped, duplicated and truncated responses never reach another caller")
    {
        FakeStore store;
        UpstreamFleet fleet(4);
        standin::UpstreamFaults faults;
        faults.lateBy = Milliseconds(20);
        for (const auto fault :
            { UpstreamFault::Late, UpstreamFault::Swapped, UpstreamFault::Duplicated, UpstreamFault::Truncated })
            faults.shares[fault] = 0.15;
        fleet.upstreams.setFaultsOfAll(faults);
        TestGateway gateway(store, fleet.specs, settingsWithRetries());
        std::atomic<int> wrong { 0 };
        std::atomic<int> complete { 0 };
        const auto caller = [&](int number) {
            for (int index = 0; index < 100; ++index) {
                const std::string body = std::to_string(number) + "/" + std::to_string(index);
                const auto reply = gateway.post(body);
                if (!reply || reply.value().status != 200)
                    continue;
                ++complete;
                if (reply.value().body != headerOf(reply.value(), "Rosemarylink-Request-Id") + ":" + body)
                    ++wrong;
            }
        };
        CallerThreads(8, caller).join();
        CHECK(wrong == 0);
        CHECK(complete > 400);
    }

    TEST_CASE("the retries stay within their share when all upstreams fail half of the requests")
    {
        FakeStore store;
        UpstreamFleet fleet(4, 8, { Milliseconds(0) });
        fleet.setFault(UpstreamFault::FailBefore, 0.5);
        TestGateway gateway(store, fleet.specs);
        constexpr int requests = 500;
        for (int index = 0; index < requests; ++index)
            REQUIRE(gateway.post("photo"));
        CHECK(fleet.upstreams.totalArrivals() <= requests * 11 / 10);
        CHECK(fleet.upstreams.totalArrivals() >= requests);
    }

    TEST_CASE("a request on a silent connection is retried when it is idempotent and ends with MayHaveRun otherwise")
    {
        FakeStore store;
        UpstreamFleet fleet(2);
        standin::UpstreamFaults faults;
        faults.shares[UpstreamFault::Silent] = 1;
        fleet.upstreams.setFaults(UpstreamId("1"), faults);
        auto settings = settingsWithRetries();
        settings.progressTimeout = Milliseconds(100);
        TestGateway gateway(store, fleet.specs, settings);
        for (int index = 0; index < 10; ++index)
            CHECK(gateway.post("photo").value().status == 200);
        CHECK(gateway.metrics.counter("rosemarylink_gateway_silent_connections_total", "").value() > 0);
        gateway.service.setUpstreams({ fleet.specs.front() });
        const auto reply = gateway.postNonIdempotent("run", "key", { { "Rosemarylink-Timeout-Ms", "300" } }).value();
        CHECK(reply.status == 504);
        CHECK(verdictOf(reply) == "MayHaveRun");
        CHECK(fleet.upstreams.executionsByRequest()[headerOf(reply, "Rosemarylink-Request-Id")] == 1);
    }

    TEST_CASE("an urgent request is hedged at another upstream when the first one is slow")
    {
        FakeStore store;
        UpstreamFleet fleet(2);
        fleet.upstreams.setServiceTime(UpstreamId("1"), Milliseconds(3000));
        TestGateway gateway(store, fleet.specs, settingsWithRetries());
        const auto start = std::chrono::steady_clock::now();
        auto& hedges = gateway.metrics.counter("rosemarylink_gateway_hedges_total", "");
        for (int index = 0; index < 20 && hedges.value() == 0; ++index)
            CHECK(gateway.post("quote", { { "Rosemarylink-Urgent", "true" } }).value().status == 200);
        CHECK(hedges.value() == 1);
        CHECK(std::chrono::steady_clock::now() - start < std::chrono::milliseconds(2900));
    }

} // namespace
} // namespace rosemarylink::gateway::testing
