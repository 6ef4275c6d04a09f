#include "DeadlineSelection.h"
#include "PlanFixtures.h"
#include "StepOrder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <list>

namespace rosemarylink::jobs::internal {

namespace {

    // A full pool in which work ends at an even rate, and a burst of jobs that arrive together.
    struct Burst {
        PlanInput input = makeRacks(4, 0);
        std::list<StepSpec> specs; // referred to by the steps

        Burst()
        {
            for (PlanWorker& worker : input.workers)
                worker.free = {};
            input.releasedCoresPerSecond = 73; // a little more than one task needs
        }

        void add(int tasks, Milliseconds objectiveAt, int priority = 1)
        {
            StepSpec spec = rackLocalGang(tasks, 8);
            spec.rackLocal = false;
            spec.perTask.milliCores = 8000;
            spec.estimate = Milliseconds(2000);
            specs.push_back(spec);
            PlanStep step = stepOf(specs.back(), priority);
            step.job = JobId("j" + std::to_string(input.steps.size()));
            step.remaining = spec.estimate;
            step.objectiveAt = objectiveAt;
            step.lateDeadline = objectiveAt * 3;
            input.steps.push_back(step);
        }

        // Starts the steps in their order as capacity becomes free, and counts those that end by their objective.
        int completedInTime()
        {
            int inTime = 0;
            double free = 0;
            while (!input.steps.empty() && input.now < Milliseconds(60000)) {
                input.now += Milliseconds(100);
                free += input.releasedCoresPerSecond / 10;
                while (!input.steps.empty()) {
                    input.workers[0].free.milliCores = static_cast<std::int64_t>(free * 1000);
                    const PlanStep* const first = orderSteps(input).front();
                    const double cores = weightedCores(first->spec->perTask) * static_cast<double>(first->tasks.size());
                    if (cores > free)
                        break;
                    free -= cores;
                    inTime += input.now + first->remaining <= first->objectiveAt ? 1 : 0;
                    input.steps.erase(input.steps.begin() + (first - input.steps.data()));
                }
            }
            return inTime;
        }
    };

} // namespace

// Guards against a burst of jobs of one priority in which most are late by a little because each waits for those before
// it: in the order of deadlines the job of eight workers takes what the eight small ones needed.
TEST_CASE("in a burst of jobs a large one is deferred if several small ones are in time instead")
{
    Burst burst;
    burst.input.deferLargest = GENERATE(true, false);
    burst.add(8, Milliseconds(10000));
    for (int number = 0; number < 8; ++number)
        burst.add(1, Milliseconds(10200 + number));
    CHECK(burst.completedInTime() == (burst.input.deferLargest ? 8 : 1));
}

// Guards against changing the order of a pool that has room for all.
TEST_CASE("nothing is deferred if all can start in time")
{
    Burst burst;
    burst.add(8, Milliseconds(20000));
    burst.add(1, Milliseconds(20100));
    const std::vector<const PlanStep*> before = orderSteps(burst.input);
    burst.input.deferLargest = true;
    CHECK(orderSteps(burst.input) == before);
}

// Guards against large jobs that starve behind small ones, and against guaranteed work that misses its start.
TEST_CASE("a large job is not deferred for longer than its limit, and guaranteed work never")
{
    Burst burst;
    burst.input.deferLargest = true;
    burst.add(8, Milliseconds(10000));
    burst.add(1, Milliseconds(10200));
    REQUIRE(orderSteps(burst.input).front() == &burst.input.steps[1]);
    SECTION("it has waited for long")
    {
        burst.input.now = Milliseconds(12000);
        for (PlanStep& step : burst.input.steps)
            step.objectiveAt += burst.input.now;
        CHECK(orderSteps(burst.input).front() == &burst.input.steps[0]);
    }
    SECTION("it is guaranteed")
    {
        burst.input.steps[0].guaranteed = true;
        CHECK(orderSteps(burst.input).front() == &burst.input.steps[0]);
    }
}

// Guards against urgent jobs that are deferred although they can have the capacity of other work.
TEST_CASE("an urgent job is deferred only if other urgent work leaves too little")
{
    Burst burst;
    burst.input.deferLargest = true;
    burst.input.releasedCoresPerSecond = 0;
    burst.add(6, Milliseconds(10000), 0);
    burst.add(2, Milliseconds(10200), 0);
    const PlanStep* const large = &burst.input.steps[0];
    CHECK(orderSteps(burst.input).front() == large);
    for (std::size_t index = 0; index < burst.input.workers.size() / 2; ++index)
        burst.input.workers[index].urgentAccelerators = 8;
    CHECK(orderSteps(burst.input).front() != large);
}

// Guards against less urgent work that is placed before a deferred job.
TEST_CASE("a deferred job keeps its priority")
{
    Burst burst;
    burst.input.deferLargest = true;
    burst.add(1, Milliseconds(10000), 2);
    burst.add(8, Milliseconds(10000));
    burst.add(1, Milliseconds(10200));
    const std::vector<const PlanStep*> order = orderSteps(burst.input);
    CHECK(
        order == std::vector<const PlanStep*> { &burst.input.steps[2], &burst.input.steps[1], &burst.input.steps[0] });
}

} // namespace rosemarylink::jobs::internal
