// Failures of a limited duration, alone and in pairs, injected at each phase of CellScenario.
#include "CellScenario.h"

#include <catch2/catch.hpp>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    enum class Failure {
        OwnerDies,
        OwnerRestarts, // at once, without its state
        OwnerPauses, // beyond its lease
        LeaseExpires, // while the owner keeps running
        StoreDown,
        StoreSlow, // writes take effect, but no reply arrives in time
        OwnerCutOffFromStore, // the other instances still reach it
        OwnerCutOffFromWorkers,
        RepliesLost, // of the owner's next write
        WorkerDies,
        WorkerDisconnects, // then returns with its old tasks
        StaleReports,
        WorkerRefuses,
    };

    constexpr Failure allFailures[]
        = { Failure::OwnerDies, Failure::OwnerRestarts, Failure::OwnerPauses, Failure::LeaseExpires, Failure::StoreDown,
              Failure::StoreSlow, Failure::OwnerCutOffFromStore, Failure::OwnerCutOffFromWorkers, Failure::RepliesLost,
              Failure::WorkerDies, Failure::WorkerDisconnects, Failure::StaleReports, Failure::WorkerRefuses };

    // Applies failures to a scenario and ends them after a duration.
    class FailureInjector {
    public:
        FailureInjector(CellScenario& scenario, Milliseconds duration)
            : scenario_(scenario)
            , duration_(duration)
        {
            scenario_.atEachStep = [this] { endDue(); };
        }

        void apply(Failure failure)
        {
            CellHarness& harness = scenario_.harness;
            Scheduler* owner = harness.owner();
            if (owner == nullptr)
                owner = harness.schedulers[0].get();
            FakeWorkerAgent::Worker& worker = harness.fleet.worker(WorkerId("worker-10001"));
            switch (failure) {
            case Failure::OwnerDies:
                owner->process->crashed = true;
                // The platform restarts the process, so that a pair of such failures leaves a running scheduler.
                later(duration_, [&harness, owner] { harness.restart(*owner); });
                break;
            case Failure::OwnerRestarts:
                harness.restart(*owner);
                break;
            case Failure::OwnerPauses:
                owner->paused = true;
                later(duration_, [owner] { owner->paused = false; });
                break;
            case Failure::LeaseExpires:
                harness.store.expireAllLeases();
                break;
            case Failure::StoreDown:
                setStore(&FakeKeyValueStore::Faults::down);
                break;
            case Failure::StoreSlow:
                setStore(&FakeKeyValueStore::Faults::slow);
                break;
            case Failure::OwnerCutOffFromStore:
                owner->store->faults.down = true;
                later(duration_, [owner] { owner->store->faults.down = false; });
                break;
            case Failure::OwnerCutOffFromWorkers:
                owner->workers->cutOff = true;
                later(duration_, [owner] { owner->workers->cutOff = false; });
                break;
            case Failure::RepliesLost:
                owner->store->faults.loseReply = 1;
                break;
            case Failure::WorkerDies:
                worker.unreachable = true;
                worker.tasks.clear();
                later(duration_, [&harness] { harness.fleet.restartWorker(WorkerId("worker-10001"), false); });
                break;
            case Failure::WorkerDisconnects:
                worker.unreachable = true;
                later(duration_, [&harness] { harness.fleet.restartWorker(WorkerId("worker-10001"), true); });
                break;
            case Failure::StaleReports:
                harness.fleet.freezeReport(WorkerId("worker-10001"));
                later(duration_, [&worker] { worker.staleReport.reset(); });
                break;
            case Failure::WorkerRefuses:
                worker.refuse = true;
                later(duration_, [&worker] { worker.refuse = false; });
                break;
            }
        }

    private:
        void setStore(bool FakeKeyValueStore::Faults::*fault)
        {
            for (const auto& scheduler : scenario_.harness.schedulers) {
                FakeKeyValueStore* store = scheduler->store.get();
                store->faults.*fault = true;
                later(duration_, [store, fault] { store->faults.*fault = false; });
            }
        }

        void later(Milliseconds delay, std::function<void()> end)
        {
            ends_.emplace_back(scenario_.harness.clock.monotonic() + delay, std::move(end));
        }

        void endDue()
        {
            const Milliseconds now = scenario_.harness.clock.monotonic();
            auto pending = std::exchange(ends_, {});
            for (auto& [time, end] : pending) {
                if (time <= now)
                    end();
                else
                    ends_.emplace_back(time, std::move(end));
            }
        }

        CellScenario& scenario_;
        Milliseconds duration_;
        std::vector<std::pair<Milliseconds, std::function<void()>>> ends_;
    };

    void checkEnd(CellScenario& scenario)
    {
        INFO("states " << scenario.state("once") << " " << scenario.state("checkpointed") << " "
                       << scenario.state("cancelled"));
        CHECK(scenario.checks.violations() == "");
        CHECK(scenario.checks.allEnded());
        CHECK(scenario.checks.accepted().size() == 3);
        CHECK(scenario.leftovers() == 0);
    }

    TEST_CASE("each failure alone at each phase; store failures last 10 minutes")
    {
        for (const Failure failure : allFailures) {
            const bool store = failure == Failure::StoreDown || failure == Failure::StoreSlow;
            const Milliseconds duration = store ? Milliseconds(600000) : Milliseconds(30000);
            for (int phase = 0; phase < CellScenario::phases; ++phase) {
                INFO("failure " << static_cast<int>(failure) << " before phase " << phase);
                CellScenario scenario(true, static_cast<std::uint64_t>(phase) + 1);
                FailureInjector injector(scenario, duration);
                scenario.beforePhase = [&](int now) {
                    if (now == phase)
                        injector.apply(failure);
                };
                if (store) {
                    // Callers give up after two minutes. Jobs that the store holds nevertheless must end once it is
                    // reachable.
                    scenario.run();
                    scenario.stepFor(duration);
                    scenario.settle();
                    CHECK(scenario.checks.violations() == "");
                    CHECK(scenario.checks.allEnded());
                    CHECK(scenario.leftovers() == 0);
                } else {
                    scenario.run();
                    checkEnd(scenario);
                }
            }
        }
    }

    TEST_CASE("each pair of failures at each phase, at once or in successive phases")
    {
        for (const Failure first : allFailures) {
            for (const Failure second : allFailures) {
                for (int phase = 0; phase < CellScenario::phases; ++phase) {
                    const int secondPhase = std::min(phase + (static_cast<int>(second) % 2), CellScenario::phases - 1);
                    INFO("failures " << static_cast<int>(first) << " before phase " << phase << ", "
                                     << static_cast<int>(second) << " before phase " << secondPhase);
                    CellScenario scenario(true, static_cast<std::uint64_t>(phase) + 1);
                    FailureInjector injector(scenario, Milliseconds(25000));
                    scenario.beforePhase = [&](int now) {
                        if (now == phase)
                            injector.apply(first);
                        if (now == secondPhase)
                            injector.apply(second);
                    };
                    scenario.run();
                    checkEnd(scenario);
                }
            }
        }
    }

    TEST_CASE("gangs keep running during a store outage of 10 minutes and new jobs are refused with NotRun")
    {
        CellHarness harness;
        Scheduler& owner = harness.addScheduler();
        harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        REQUIRE(owner.isOwner());
        REQUIRE(owner.controller->submit(makeJob("j1", 12, false)));
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 12); }));
        harness.run(Milliseconds(1000));
        for (const auto& scheduler : harness.schedulers)
            scheduler->store->faults.down = true;
        harness.run(Milliseconds(10000));
        const auto refused = owner.controller->submit(makeJob("j2", 1));
        REQUIRE_FALSE(refused);
        CHECK(refused.error().verdict == Verdict::NotRun);
        CHECK(refused.error().retryAfter.has_value());
        harness.run(Milliseconds(590000));
        CHECK(harness.runs("j1", 12));
        for (const auto& scheduler : harness.schedulers)
            scheduler->store->faults.down = false;
        // The owner reacquires its expired lease before another instance claims the cell.
        const FencingToken token = harness.placements().token;
        REQUIRE(harness.runUntil([&] { return owner.controller->submit(makeJob("j2", 1)).has_value(); }));
        CHECK(harness.placements().token == token);
        CHECK(harness.runUntil([&] { return harness.runs("j2", 1); }));
        CHECK(harness.runs("j1", 12));
        CHECK(harness.fleet.startedAttempts(JobId("j1")).size() == 1);
    }

    TEST_CASE("a cell has a new owner within 8 s of the owner's death, with a token higher by one")
    {
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            CellHarness harness(4, seed);
            for (int index = 0; index < 6; ++index)
                harness.addScheduler();
            REQUIRE(harness.waitForOwner());
            harness.run(Milliseconds(10000 + static_cast<std::int64_t>(seed) * 150));
            const FencingToken token = harness.placements().token;
            harness.owner()->process->crashed = true;
            CHECK(harness.waitForOwner(Milliseconds(8000)));
            CHECK(harness.placements().token == token + FencingToken(1));
        }
    }

    TEST_CASE("24 instances spread their store calls after an outage")
    {
        CellHarness harness;
        for (int index = 0; index < 24; ++index)
            harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        harness.run(Milliseconds(10000));
        const auto setDown = [&](bool down) {
            for (const auto& scheduler : harness.schedulers)
                scheduler->store->faults.down = down;
        };
        const auto calls = [&] {
            std::int64_t total = 0;
            for (const auto& scheduler : harness.schedulers)
                total += scheduler->store->totalCalls();
            return total;
        };
        setDown(true);
        harness.run(Milliseconds(120000));
        setDown(false);
        std::int64_t peak = 0;
        for (int index = 0; index < 200; ++index) {
            const std::int64_t before = calls();
            harness.run(Milliseconds(100));
            peak = std::max(peak, calls() - before);
        }
        // Without jitter all 24 instances would call within the same 100 ms.
        CHECK(peak <= 8);
        CHECK(harness.owner() != nullptr);
    }

    TEST_CASE("an owner that resumes after its lease expired renews no worker lease before the store confirms it")
    {
        // The second owner cannot reach the worker, so the worker does not yet refuse the first owner's token.
        CellHarness harness;
        CellChecks checks(harness);
        Scheduler& first = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        const auto job = makeJob("j1", 12);
        REQUIRE(first.controller->submit(job));
        checks.accept(job);
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 12); }));
        harness.run(Milliseconds(15000));
        Scheduler& second = harness.addScheduler();
        second.workers->cutOffFrom.insert(WorkerId("worker-10000"));
        first.paused = true;
        REQUIRE(harness.runUntil([&] { return second.isOwner(); }));
        harness.run(Milliseconds(9000));
        const auto lease = [&] { return harness.fleet.worker(WorkerId("worker-10000")).tasks.begin()->second.expires; };
        const Milliseconds before = lease();
        first.paused = false;
        for (int index = 0; index < 1200; ++index) {
            harness.step();
            checks.observe();
        }
        CHECK(lease() == before);
        CHECK(checks.violations() == "");
        CHECK(harness.fleet.startedAttempts(JobId("j1")).size() == 2);
    }

    // Guards against two runs of a gang at a time: an owner without the store renewed the leases on a worker that the
    // next owner did not reach and took for free of tasks after one lease.
    TEST_CASE("an owner that is cut off from the store renews no task leases that the next owner takes for over")
    {
        const bool firstReachesOthers = GENERATE(true, false);
        CAPTURE(firstReachesOthers);
        const WorkerId shared("worker-10001");
        CellHarness harness;
        CellChecks checks(harness);
        Scheduler& first = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        const auto job = makeJob("j1", 8);
        REQUIRE(first.controller->submit(job));
        checks.accept(job);
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 8); }));
        harness.run(Milliseconds(15000));
        Scheduler& second = harness.addScheduler();
        second.workers->cutOffFrom.insert(WorkerId("worker-10000"));
        first.store->faults.down = true;
        if (!firstReachesOthers)
            first.workers->cutOffFrom = { shared, WorkerId("worker-10002"), WorkerId("worker-10003") };
        for (int index = 0; index < 2400; ++index) {
            harness.step();
            checks.observe();
            CAPTURE(index);
            REQUIRE(harness.fleet.runningTasks(JobId("j1")) <= 8);
        }
        CHECK(checks.violations() == "");
    }

    TEST_CASE("a scheduler does not claim a cell with a job record of an unsupported schema version")
    {
        CellHarness harness;
        Scheduler& first = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        REQUIRE(first.controller->submit(makeJob("j1", 12)));
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 12); }));
        harness.run(Milliseconds(1000));
        const std::string key = jobKey(harness.cell, JobId("j1"));
        const auto stored = harness.store.read(key).value();
        auto json = decodeCbor(stored->bytes, 1, key).value();
        json["schemaVersion"] = 2;
        REQUIRE(harness.store.compareAndSwap(key, stored->revision, encodeCbor(json)));
        Scheduler& second = harness.addScheduler();
        first.process->crashed = true;
        harness.run(Milliseconds(12000));
        CHECK_FALSE(second.isOwner());
        CHECK(harness.placements().gangs.size() == 1);
        CHECK(harness.runs("j1", 12));
    }

    TEST_CASE("a stored cancellation whose reply was lost is carried out")
    {
        CellHarness harness;
        harness.resilient = false;
        Scheduler& owner = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        REQUIRE(owner.controller->submit(makeJob("j1", 12)));
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 12); }));
        harness.run(Milliseconds(1000));
        owner.store->faults.loseReply = 1;
        CHECK(owner.controller->cancel(JobId("j1")).error().verdict == Verdict::MayHaveRun);
        CHECK(harness.runUntil([&] { return harness.jobRecord("j1")->state == records::JobState::Cancelled; }));
        CHECK(harness.runs("j1", 0));
    }

    TEST_CASE("a gang that loses a member while the store is down is stopped on all workers")
    {
        CellHarness harness;
        Scheduler& owner = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        REQUIRE(owner.controller->submit(makeJob("j1", 12, false)));
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 12); }));
        harness.run(Milliseconds(15000));
        owner.store->faults.down = true;
        harness.fleet.worker(WorkerId("worker-10000")).tasks.clear();
        CHECK(harness.runUntil([&] { return harness.runs("j1", 0); }, Milliseconds(15000)));
        CHECK(harness.jobRecord("j1")->state == records::JobState::Accepted);
        owner.store->faults.down = false;
        CHECK(harness.runUntil([&] { return harness.jobRecord("j1")->state == records::JobState::MayHaveRun; }));
    }

    TEST_CASE("an owner that cannot reach the store loses the cell and workers refuse its orders")
    {
        CellHarness harness;
        Scheduler& first = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        REQUIRE(first.controller->submit(makeJob("j1", 12, false)));
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 12); }));
        harness.run(Milliseconds(1000));
        Scheduler& second = harness.addScheduler();
        first.store->faults.down = true;
        REQUIRE(harness.runUntil([&] { return second.isOwner(); }, Milliseconds(10000)));
        REQUIRE(harness.runUntil([&] { return !first.isOwner(); }, Milliseconds(10000)));
        CHECK(first.workers->refusedAsFenced > 0);
        harness.run(Milliseconds(60000));
        CHECK(harness.runs("j1", 12));
        CHECK(harness.fleet.startedAttempts(JobId("j1")).size() == 1);
    }

    TEST_CASE("a new owner with an older configuration waits for the version of earlier decisions")
    {
        CellHarness harness;
        Scheduler& first = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        policy::PolicyConfig later = harness.config;
        later.version = ConfigVersion(9);
        REQUIRE(first.controller->configure(later));
        REQUIRE(first.controller->submit(makeJob("j1", 12)));
        REQUIRE(harness.runUntil(
            [&] { return harness.runs("j1", 12) && harness.placements().configVersion == ConfigVersion(9); }));
        CHECK(first.controller->configure(harness.config).error().code == ErrorCode::Conflict);
        Scheduler& second = harness.addScheduler();
        first.process->crashed = true;
        harness.run(Milliseconds(20000));
        CHECK(second.role() == CellRole::Recovering);
        // Without the configuration it starts nothing, but it must still stop a gang that has lost a member.
        harness.fleet.worker(WorkerId("worker-10000")).tasks.clear();
        CHECK(harness.runUntil([&] { return harness.runs("j1", 0); }, Milliseconds(20000)));
        harness.run(Milliseconds(5000));
        CHECK(second.role() == CellRole::Recovering);
        REQUIRE(second.controller->configure(later));
        CHECK(harness.runUntil([&] { return second.isOwner(); }, Milliseconds(1000)));
        CHECK(harness.placements().configVersion == ConfigVersion(9));
        CHECK(harness.runUntil([&] { return harness.runs("j1", 12); }));
    }

    TEST_CASE("tasks of an ended gang are released on a worker that becomes reachable again")
    {
        CellHarness harness;
        Scheduler& owner = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        REQUIRE(owner.controller->submit(makeJob("j1", 12)));
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 12); }));
        harness.run(Milliseconds(15000));
        harness.fleet.worker(WorkerId("worker-10000")).unreachable = true;
        REQUIRE(harness.runUntil([&] { return harness.fleet.startedAttempts(JobId("j1")).size() == 2; }));
        harness.fleet.restartWorker(WorkerId("worker-10000"), true);
        CHECK(harness.fleet.worker(WorkerId("worker-10000")).tasks.size() == 1);
        REQUIRE(harness.runUntil([&] { return harness.fleet.worker(WorkerId("worker-10000")).tasks.empty(); }));
        CHECK(harness.runs("j1", 12));
    }

} // namespace
} // namespace rosemarylink::state
