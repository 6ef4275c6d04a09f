// Tests the executor and the cell controller with real threads.
#include "CellHarness.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    TEST_CASE("the destructor of a thread executor waits for the calls that have started")
    {
        std::atomic<int> begun { 0 };
        std::atomic<int> ended { 0 };
        {
            ThreadExecutor executor(4);
            for (int index = 0; index < 1000; ++index) {
                executor.post([&] {
                    ++begun;
                    std::this_thread::yield();
                    ++ended;
                });
            }
            while (ended < 500)
                std::this_thread::yield();
        }
        CHECK(begun == ended);
        CHECK(ended >= 500);
    }

    TEST_CASE("executor threads and concurrent callers do not interfere with the controller thread")
    {
        ManualClock clock;
        clock.advance(Milliseconds(1000000));
        FakeKeyValueStore store(clock);
        FakeWorkerAgent fleet(clock);
        for (int index = 0; index < 16; ++index)
            fleet.addWorker(makeWorker(index));
        MetricsRegistry metrics;
        ResilientStore resilient(store, clock, metrics, "owner", CellHarness::unlimitedCalls());
        ThreadExecutor storeCalls(2);
        ThreadExecutor workerCalls(4);
        CellSettings settings;
        settings.self = InstanceId("scheduler");
        settings.scope = { CellId("cell"), RegionId("region"), std::nullopt };
        CellController controller(settings,
            { resilient, fleet, clock, storeCalls, workerCalls, metrics,
                [] { return std::make_unique<FirstFitPolicy>(); }, nullptr });
        controller.setCandidates({ settings.self });
        policy::PolicyConfig config;
        config.version = ConfigVersion(1);
        REQUIRE(controller.configure(config));

        std::atomic<bool> stopped { false };
        std::atomic<int> accepted { 0 };
        std::vector<std::thread> callers;
        callers.reserve(2);
        for (int caller = 0; caller < 2; ++caller) {
            callers.emplace_back([&, caller] {
                int next = 0;
                while (!stopped && next < 20) {
                    const auto job = makeJob("job-" + std::to_string(caller) + "-" + std::to_string(next), 2);
                    if (controller.submit(job)) {
                        ++accepted;
                        ++next;
                    }
                    (void)controller.snapshot();
                    std::this_thread::yield();
                }
            });
        }
        // 40 gangs of 2 occupy 80 of 128 accelerators. The manual clock advances by at most 200 s in total, so that a
        // slow run of this loop reaches no time-out.
        bool running = false;
        for (int round = 0; round < 2000000 && !running; ++round) {
            controller.step();
            if (round % 100 == 0)
                clock.advance(Milliseconds(10));
            running = accepted == 40 && controller.snapshot().runningGangs == 40;
            std::this_thread::yield();
        }
        stopped = true;
        for (std::thread& caller : callers)
            caller.join();
        CHECK(accepted == 40);
        CHECK(running);
    }

} // namespace
} // namespace rosemarylink::state
