#include "PlanFixtures.h"
#include "StepOrder.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs::internal {

namespace {

    // A step that has been ready since its job arrived, with an objective 3 s after the arrival.
    PlanStep stepOfJob(const std::string& job, const StepSpec& spec, Milliseconds arrivedAt)
    {
        PlanStep step = stepOf(spec, 1);
        step.job = JobId(job);
        step.arrivedAt = arrivedAt;
        step.readyAt = arrivedAt;
        step.remaining = spec.estimate;
        step.objectiveAt = arrivedAt + Milliseconds(3000);
        step.lateDeadline = arrivedAt + Milliseconds(9000);
        return step;
    }

    StepSpec oneTask(bool longRunning)
    {
        StepSpec spec = rackLocalGang(1, 1);
        spec.gang = false;
        spec.rackLocal = false;
        spec.longRunning = longRunning;
        spec.estimate = Milliseconds(1000);
        return spec;
    }

} // namespace

// Guards against a long-running task that has failed and waits behind all later jobs until 45 s after its job was
// ready, because the objective for the completion of its job has passed (review/10).
TEST_CASE("a long-running step is ranked by the arrival of its job")
{
    const StepSpec lasting = oneTask(true);
    const StepSpec other = oneTask(false);
    PlanInput input;
    input.now = Milliseconds(GENERATE(1000, 5000, 12000, 44000));
    input.steps
        = { stepOfJob("later", other, Milliseconds(600)), stepOfJob("newest", other, input.now - Milliseconds(100)),
              stepOfJob("lasting", lasting, Milliseconds(500)), stepOfJob("urgent", other, input.now) };
    input.steps[3].priority = 0;
    const std::vector<const PlanStep*> order = orderSteps(input);
    CHECK(order[0]->job == JobId("urgent"));
    CHECK(order[1]->job == JobId("lasting"));
}

// Guards against an urgent long-running task that waits for 10 s before it preempts other work, because the objective
// that it does not have has passed.
TEST_CASE("an urgent long-running step preempts costly work as soon as other work in time")
{
    const StepSpec lasting = oneTask(true);
    PlanInput input = makeRacks(1, 0);
    input.now = Milliseconds(20000);
    input.releasedCoresPerSecond = 8;
    PlanStep step = stepOfJob("lasting", lasting, Milliseconds(0));
    step.priority = 0;
    step.readyAt = Milliseconds(18000);
    input.steps = { step };
    input.running = { runningWork("w0-0", 2, false) };
    input.running[0].cores = 8;
    input.running[0].lostCoreSeconds = 400;
    CHECK(makePlan(input).preemptions.size() == 1);
}

} // namespace rosemarylink::jobs::internal
