// Failures of the owner and of single writes, injected at each of its calls or writes in turn.
#include "CellScenario.h"

#include <catch2/catch.hpp>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    void checkEnd(CellScenario& scenario)
    {
        INFO("states " << scenario.state("once") << " " << scenario.state("checkpointed") << " "
                       << scenario.state("cancelled"));
        CHECK(scenario.checks.violations() == "");
        CHECK(scenario.checks.allEnded());
        CHECK(scenario.leftovers() == 0);
        const std::string once = scenario.state("once");
        CHECK((once == "completed" || once == "may-have-run"));
        CHECK(scenario.state("checkpointed") == "completed");
        const std::string cancelled = scenario.state("cancelled");
        CHECK((cancelled == "cancelled" || cancelled == "may-have-run"));
    }

    std::int64_t callsOfCleanRun(bool resilient)
    {
        CellScenario scenario(resilient);
        scenario.run();
        checkEnd(scenario);
        CHECK(scenario.state("once") == "completed");
        CHECK(scenario.state("cancelled") == "cancelled");
        return scenario.harness.schedulers[0]->process->calls;
    }

    TEST_CASE("the owner process dies before or after each of its calls")
    {
        const std::int64_t calls = std::min<std::int64_t>(callsOfCleanRun(true), 260);
        REQUIRE(calls > 50);
        for (std::int64_t call = 1; call <= calls; ++call) {
            for (const bool after : { false, true }) {
                INFO("call " << call << (after ? ", dies after it" : ", dies before it"));
                CellScenario scenario(true, static_cast<std::uint64_t>(call));
                auto& process = *scenario.harness.schedulers[0]->process;
                (after ? process.crashAfterCall : process.crashBeforeCall) = call;
                scenario.run();
                checkEnd(scenario);
            }
        }
    }

    std::int64_t writesOfCleanRun(bool resilient)
    {
        CellScenario scenario(resilient);
        scenario.run();
        return scenario.harness.schedulers[0]->store->writes;
    }

    TEST_CASE("each write of the owner fails or loses its reply")
    {
        for (const bool resilient : { false, true }) {
            const std::int64_t writes = writesOfCleanRun(resilient);
            REQUIRE(writes > 10);
            for (std::int64_t write = 1; write <= writes; ++write) {
                for (const bool effect : { false, true }) {
                    INFO("write " << write << (effect ? " loses its reply" : " fails") << " resilient " << resilient);
                    CellScenario scenario(resilient, static_cast<std::uint64_t>(write));
                    auto& faults = scenario.harness.schedulers[0]->store->faults;
                    (effect ? faults.loseReply : faults.failWrite) = write;
                    scenario.run();
                    checkEnd(scenario);
                    CHECK(scenario.state("once") == "completed");
                }
            }
        }
    }

    TEST_CASE("the owner pauses at each write, its lease expires, and it resumes with its old token")
    {
        const std::int64_t writes = writesOfCleanRun(true);
        for (std::int64_t write = 1; write <= writes; ++write) {
            for (const Milliseconds pause : { Milliseconds(3000), Milliseconds(9000), Milliseconds(40000) }) {
                INFO("write " << write << " pause " << pause.count());
                CellScenario scenario(true, static_cast<std::uint64_t>(write));
                Scheduler& first = *scenario.harness.schedulers[0];
                first.store->faults.expireLeasesAtWrite = write;
                Milliseconds resumesAt { 0 };
                scenario.atEachStep = [&] {
                    const bool lapsed = !first.store->faults.expireLeasesAtWrite;
                    const Milliseconds now = scenario.harness.clock.monotonic();
                    if (lapsed && resumesAt == Milliseconds(0))
                        resumesAt = now + pause;
                    first.paused = lapsed && now < resumesAt;
                };
                scenario.run();
                checkEnd(scenario);
            }
        }
    }

    TEST_CASE("the owner dies shortly after a write lost its reply")
    {
        const std::int64_t writes = writesOfCleanRun(true);
        for (std::int64_t write = 1; write <= writes; ++write) {
            for (const int callsLater : { 0, 1, 3 }) {
                INFO("write " << write << ", dies " << callsLater << " calls later");
                CellScenario scenario(false, static_cast<std::uint64_t>(write));
                Scheduler& first = *scenario.harness.schedulers[0];
                first.store->faults.loseReply = write;
                scenario.atEachStep = [&] {
                    if (!first.store->faults.loseReply && !first.process->crashBeforeCall)
                        first.process->crashBeforeCall = first.process->calls + 1 + callsLater;
                };
                scenario.run();
                checkEnd(scenario);
            }
        }
    }

} // namespace
} // namespace rosemarylink::state
