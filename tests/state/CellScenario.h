#pragma once

#include "CellChecks.h"

#include <functional>
#include <string>
#include <vector>

namespace rosemarylink::state::fakes {

// A fixed sequence of events on a cell with two schedulers, into which tests inject failures: launches, a reclaim, a
// configuration change, a cancellation and completions. Failures may delay the jobs' ends; checkEnd() of each test
// states which final states are allowed.
class CellScenario {
public:
    explicit CellScenario(bool resilient, std::uint64_t seed = 1)
        : harness(4, seed)
        , checks(harness)
    {
        harness.resilient = resilient;
        harness.stepTime = Milliseconds(100);
        harness.addScheduler();
        harness.addScheduler();
    }

    static constexpr int phases = 6;

    CellHarness harness;
    CellChecks checks;
    std::function<void(int phase)> beforePhase = [](int) {};
    std::function<void()> atEachStep = [] {};

    void run()
    {
        for (int phase = 0; phase < phases; ++phase) {
            beforePhase(phase);
            runPhase(phase);
        }
        settle();
    }

    // Completes running jobs that are not cancelled until every accepted job has ended.
    void settle()
    {
        const Milliseconds end = harness.clock.monotonic() + Milliseconds(240000);
        while (!checks.allEnded() && harness.clock.monotonic() < end) {
            step();
            for (const auto& [job, spec] : checks.accepted()) {
                const auto record = harness.jobRecord(job.value());
                const bool mayComplete = !record || !record->cancelRequested;
                if (mayComplete && harness.runs(job.value(), spec.tasks))
                    harness.fleet.finishJob(job, TaskState::Completed);
            }
        }
        for (int index = 0; index < 700; ++index)
            step();
    }

    void step()
    {
        atEachStep();
        harness.step();
        checks.observe();
    }

    bool stepUntil(const std::function<bool()>& condition, Milliseconds limit)
    {
        const Milliseconds end = harness.clock.monotonic() + limit;
        while (!condition()) {
            if (harness.clock.monotonic() >= end)
                return false;
            step();
        }
        return true;
    }

    void stepFor(Milliseconds duration)
    {
        stepUntil([] { return false; }, duration);
    }

    std::string state(const std::string& job)
    {
        const auto record = harness.jobRecord(job);
        return record ? std::string(records::jobStateName(record->state)) : "absent";
    }

    // The number of tasks on workers and gangs in the placements record; 0 is expected when all jobs have ended.
    std::size_t leftovers()
    {
        std::size_t left = harness.placements().gangs.size();
        for (const auto& [id, worker] : harness.fleet.workers())
            left += worker.tasks.size();
        return left;
    }

private:
    // Submits like a caller, with retries until the job is accepted.
    void submit(const model::JobSpec& spec)
    {
        stepUntil(
            [&] {
                Scheduler* owner = harness.owner();
                return owner != nullptr && owner->controller->submit(spec).has_value();
            },
            Milliseconds(120000));
        if (harness.jobRecord(spec.id.value()))
            checks.accept(spec);
    }

    void cancel(const std::string& job)
    {
        stepUntil(
            [&] {
                Scheduler* owner = harness.owner();
                return owner != nullptr && owner->controller->cancel(JobId(job)).has_value();
            },
            Milliseconds(60000));
    }

    void runPhase(int phase)
    {
        switch (phase) {
        case 0:
            submit(makeJob("once", 12, false));
            break;
        case 1: {
            auto job = makeJob("checkpointed", 6);
            job.checkpointable = true;
            submit(job);
            submit(makeJob("cancelled", 9, false));
            stepUntil([&] { return harness.runs("checkpointed", 6); }, Milliseconds(8000));
            break;
        }
        case 2:
            if (Scheduler* owner = harness.owner())
                owner->policy->requestStop(JobId("checkpointed"), policy::StopReason::Reclaimed, true);
            stepFor(Milliseconds(4000));
            break;
        case 3:
            harness.config.version += ConfigVersion(1);
            for (const auto& scheduler : harness.schedulers)
                (void)scheduler->controller->configure(harness.config);
            stepFor(Milliseconds(1000));
            break;
        case 4:
            cancel("cancelled");
            break;
        case 5:
            if (harness.runs("once", 12))
                harness.fleet.finishJob(JobId("once"), TaskState::Completed);
            stepFor(Milliseconds(8000));
            break;
        default:
            break;
        }
    }
};

} // namespace rosemarylink::state::fakes
