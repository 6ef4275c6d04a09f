#include "PlanFixtures.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs::internal {

// Guards against spreading a rack-local gang over racks although it fits into one.
TEST_CASE("a rack-local gang is placed in one rack")
{
    PlanInput input = makeRacks(3, 8);
    const StepSpec spec = rackLocalGang(2, 8);
    input.steps.push_back(stepOf(spec, 1));
    const Plan plan = makePlan(input);
    REQUIRE(plan.placements.size() == 2);
    REQUIRE(plan.placements[0].worker.value().substr(0, 2) == plan.placements[1].worker.value().substr(0, 2));
}

// Guards against a missed reclaim timeout: guaranteed work waited behind work of the same priority that exceeded its
// account's guarantee (found with bench setup tidyroom-jo mix, seed 844374216615).
TEST_CASE("guaranteed work preempts urgent work beyond a guarantee but not guaranteed work")
{
    PlanInput input = makeRacks(1, 0);
    const StepSpec spec = rackLocalGang(1, 8);
    PlanStep step = stepOf(spec, 0);
    step.guaranteed = true;
    input.now = Milliseconds(1000);
    input.steps.push_back(step);
    input.running = { runningWork("w0-0", 0, /*guaranteed=*/true), runningWork("w0-1", 0, /*guaranteed=*/false) };
    const Plan plan = makePlan(input);
    REQUIRE(plan.preemptions.size() == 1);
    REQUIRE(plan.preemptions[0].work == 1);
    input.running[1].guaranteed = true;
    REQUIRE(makePlan(input).preemptions.empty());
}

// Guards against a missed reclaim timeout: small urgent work on every worker left none for a guaranteed task that needs
// a whole worker (found with bench setup frescura-hq quiet-1 under additional load, seed 840808457952).
TEST_CASE("urgent work is packed onto few workers and preempted by larger guaranteed work as a last resort")
{
    PlanInput input = makeRacks(2, 6);
    input.workers[2].urgentAccelerators = 2;
    StepSpec small = rackLocalGang(1, 1);
    small.rackLocal = false;
    input.steps.push_back(stepOf(small, 0));
    const Plan packed = makePlan(input);
    REQUIRE(packed.placements.size() == 1);
    REQUIRE(packed.placements[0].worker == input.workers[2].id);

    const StepSpec wholeWorkerTask = rackLocalGang(1, 8);
    input.steps = { stepOf(wholeWorkerTask, 0) };
    input.steps[0].guaranteed = true;
    for (const PlanWorker& worker : input.workers) {
        input.running.push_back(runningWork(worker.id.value(), 0, /*guaranteed=*/true));
        input.running.back().resources[worker.id] = { 1000, 1000, 2 };
        input.running.back().unitAccelerators = 2;
    }
    input.now = Milliseconds(1000);
    REQUIRE(makePlan(input).preemptions.empty());
    input.now = Milliseconds(1500);
    REQUIRE(makePlan(input).preemptions.size() == 1);
}

// Guards against preempting more work while enough capacity is already being freed.
TEST_CASE("a step waits for capacity that is being freed instead of preempting more work")
{
    PlanInput input = makeRacks(1, 0);
    const StepSpec spec = rackLocalGang(1, 8);
    input.steps.push_back(stepOf(spec, 0));
    input.running = { runningWork("w0-0", 2, false) };
    input.workers[1].releasing = { 1000, 1000, 8 };
    const Plan plan = makePlan(input);
    REQUIRE(plan.preemptions.empty());
    REQUIRE(plan.placements.empty());
}

// Guards against a missed reclaim timeout: the reservation for a gang moved from rack to rack with every plan, and
// smaller work took the capacity that had been freed (found with bench setup tidyroom-jo mix, seed 844374216615).
TEST_CASE("a reservation for a gang stays in its rack from plan to plan")
{
    PlanInput input = makeRacks(2, 0);
    for (PlanWorker& worker : input.workers)
        worker.releasing = { 1000, 1000, 8 };
    input.workers[0].releasing = {};
    input.workers[0].free = { 32000, 64000, 8 };
    const StepSpec spec = rackLocalGang(2, 8);
    input.steps.push_back(stepOf(spec, 0));
    for (const std::string rack : { "0", "1" }) {
        const std::set<WorkerId> workers { WorkerId("w" + rack + "-0"), WorkerId("w" + rack + "-1") };
        input.steps[0].reservedWorkers = workers;
        const Plan plan = makePlan(input);
        REQUIRE(plan.reservations.size() == 1);
        REQUIRE(plan.reservations[0].workers == workers);
    }
}

// Guards against repeated preemption: the reservation for a gang that spans racks moved to workers that were still
// being freed, and batch work took the capacity freed before and was preempted next (found with bench setup
// tidyroom-jo-grown trouble-1).
TEST_CASE("a reservation for a gang that spans racks stays on its workers from plan to plan")
{
    PlanInput input = makeRacks(3, 0);
    StepSpec wide = rackLocalGang(4, 8);
    wide.rackLocal = false;
    StepSpec filler = rackLocalGang(1, 1);
    filler.gang = false;
    filler.rackLocal = false;
    input.steps = { stepOf(wide, 0) };
    for (const PlanWorker& worker : input.workers)
        input.running.push_back(runningWork(worker.id.value(), 2, false));
    const Plan first = makePlan(input);
    REQUIRE(first.preemptions.size() == 4);
    REQUIRE(first.reservations.size() == 1);
    // Two of the four reserved workers are free; on all others work is being stopped.
    input.running.clear();
    int freed = 0;
    for (PlanWorker& worker : input.workers) {
        const bool reserved = first.reservations[0].workers.count(worker.id) > 0;
        if (reserved && freed++ < 2)
            worker.free = worker.capacity;
        else
            worker.releasing = worker.capacity;
    }
    input.steps[0].reservedWorkers = first.reservations[0].workers;
    input.steps.push_back(stepOf(filler, 2));
    REQUIRE(makePlan(input).placements.empty());
}

// Guards against a missed reclaim timeout: guaranteed work that could no longer end in time was repeatedly overtaken by
// newer work (found with bench setup frescura-hq quiet-1, seed 840808457952).
TEST_CASE("guaranteed work is not overtaken by newer guaranteed work")
{
    PlanInput input = makeRacks(1, 8);
    input.workers.pop_back();
    input.now = Milliseconds(10000);
    const StepSpec spec = rackLocalGang(1, 8);
    for (const Milliseconds arrivedAt : { Milliseconds(9900), Milliseconds(8000) }) {
        PlanStep step = stepOf(spec, 0);
        step.job = JobId(arrivedAt < Milliseconds(9000) ? "older" : "newer");
        step.guaranteed = true;
        step.arrivedAt = arrivedAt;
        step.remaining = Milliseconds(2500);
        step.objectiveAt = arrivedAt + Milliseconds(4000);
        step.lateDeadline = arrivedAt + Milliseconds(12000);
        input.steps.push_back(step);
    }
    const Plan plan = makePlan(input);
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].task.job == JobId("older"));
}

// Guards against a cause of that missed timeout: only gangs preempted other work, but a job of one task is not a gang.
TEST_CASE("an urgent task that is not in a gang preempts other work")
{
    PlanInput input = makeRacks(1, 0);
    StepSpec spec = rackLocalGang(1, 8);
    spec.gang = false;
    spec.rackLocal = false;
    input.steps.push_back(stepOf(spec, 0));
    input.running = { runningWork("w0-0", 2, false) };
    REQUIRE(makePlan(input).preemptions.size() == 1);
}

// Guards against starting other work that is preempted by each next urgent job. In large pools this lost more work than
// the urgent jobs themselves performed.
TEST_CASE("other work leaves the urgent headroom free, on whole workers")
{
    PlanInput input = makeRacks(2, 8);
    input.workers[1].free.accelerators = 4;
    input.workers[1].urgentAccelerators = 4;
    StepSpec filler = rackLocalGang(28, 1);
    filler.gang = false;
    filler.rackLocal = false;
    input.steps = { stepOf(filler, 1) };
    REQUIRE(makePlan(input).placements.size() == 28);
    input.urgentHeadroom = 13; // 4 on the worker with urgent work and 8 on an empty one
    const Plan plan = makePlan(input);
    REQUIRE(plan.placements.size() == 16);
    for (const Placement& placement : plan.placements)
        REQUIRE(placement.worker != input.workers[1].id);
    input.steps = { stepOf(filler, 0) };
    REQUIRE(makePlan(input).placements.size() == 28);
}

// Guards against waiting steps for which the log gives no reason.
TEST_CASE("a plan reports why a step waits")
{
    const StepSpec spec = rackLocalGang(2, 8);
    PlanInput input = makeRacks(2, 8);
    input.workers[0].free = {};
    input.workers[2].free = {};
    input.steps.push_back(stepOf(spec, 1));
    input.now = Milliseconds(100);
    Plan plan = makePlan(input);
    REQUIRE(plan.waiting.size() == 1);
    REQUIRE(plan.waiting[0].tasks == 2);
    REQUIRE(plan.waiting[0].reason == WaitReason::WaitsForRack);
    input.workers[0].releasing = input.workers[0].capacity;
    REQUIRE(makePlan(input).waiting.at(0).reason == WaitReason::CapacityBeingFreed);
    input.workers[0].releasing = {};
    input.workers[1].free = {};
    input.now = Milliseconds(60000);
    REQUIRE(makePlan(input).waiting.at(0).reason == WaitReason::NoCapacity);
    input.workers[1].free = input.workers[1].capacity;
    REQUIRE(makePlan(input).waiting.empty());
}

// Guards against placing more tasks of a step on one worker than maximumPerWorker allows.
TEST_CASE("a plan respects the maximum number of tasks per worker")
{
    PlanInput input = makeRacks(1, 8);
    StepSpec spec = rackLocalGang(4, 1);
    spec.gang = false;
    spec.rackLocal = false;
    spec.maximumPerWorker = 1;
    input.steps.push_back(stepOf(spec, 1));
    REQUIRE(makePlan(input).placements.size() == 2);
}

// Guards against placing a step on workers without its required label.
TEST_CASE("a step is placed only on workers with its label")
{
    PlanInput input = makeRacks(1, 8);
    StepSpec spec = rackLocalGang(1, 1);
    spec.workerLabel = "b";
    input.steps.push_back(stepOf(spec, 1));
    REQUIRE(makePlan(input).placements.empty());
}

// Guards against a faulty worker that attracts gangs and last attempts because it is always free (found with bench
// setup tidyroom-jo-large trouble-1), and against a pool that stands still where the jobs are at fault.
TEST_CASE("gangs and last attempts are not placed on suspect workers while these are few")
{
    PlanInput input = makeRacks(2, 0);
    input.workers[1].free.accelerators = 8;
    input.workers[1].suspect = true;
    StepSpec spec = rackLocalGang(1, 8);
    spec.gang = GENERATE(true, false);
    spec.rackLocal = false;
    input.steps = { stepOf(spec, 1) };
    CHECK(makePlan(input).placements.size() == (spec.gang ? 0 : 1));
    input.steps[0].lastAttempt = true;
    CHECK(makePlan(input).placements.empty());
    input.steps[0].guaranteed = true;
    input.steps[0].priority = 0;
    CHECK(makePlan(input).placements.empty());
    input.now = input.urgentRackWait / 4;
    CHECK(makePlan(input).placements.size() == 1); // it must start in time
    input.now = Milliseconds(0);
    input.steps[0].guaranteed = false;
    input.steps[0].priority = 1;
    input.workers[0].suspect = true;
    CHECK(makePlan(input).placements.size() == 1);
}

// Guards against a second attempt on the worker on which the first has failed, which best fit would choose again.
TEST_CASE("a step is placed last on workers on which it has failed")
{
    PlanInput input = makeRacks(1, 8);
    input.workers[0].free.accelerators = 1;
    const StepSpec spec = rackLocalGang(1, 1);
    input.steps = { stepOf(spec, 1) };
    const std::set<WorkerId> failedOn { input.workers[0].id };
    input.steps[0].failedOn = &failedOn;
    REQUIRE(makePlan(input).placements.size() == 1);
    CHECK(makePlan(input).placements[0].worker == input.workers[1].id);
}

} // namespace rosemarylink::jobs::internal
