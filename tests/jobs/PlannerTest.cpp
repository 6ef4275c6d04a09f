#include "Planner.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs::internal {

namespace {

    const std::set<std::string> labels { "a" };

    // Racks of two workers with 8 accelerators each.
    PlanInput racks(int count, std::int64_t freeOnEach)
    {
        PlanInput input;
        input.urgentLocalWait = Milliseconds(1800);
        for (int rack = 0; rack < count; ++rack) {
            for (int number = 0; number < 2; ++number) {
                PlanWorker worker;
                worker.id = WorkerId("w" + std::to_string(rack) + "-" + std::to_string(number));
                worker.rack = "r" + std::to_string(rack);
                worker.labels = &labels;
                worker.capacity = { 32000, 64000, 8 };
                worker.free = { 32000, 64000, freeOnEach };
                input.workers.push_back(worker);
            }
        }
        return input;
    }

    PlanStep gangOf(const StepSpec& spec, int priority)
    {
        PlanStep step;
        step.job = JobId("j");
        step.spec = &spec;
        step.priority = priority;
        for (int index = 0; index < spec.taskCount; ++index)
            step.tasks.push_back(index);
        return step;
    }

    StepSpec localGang(int tasks, std::int64_t accelerators)
    {
        StepSpec spec;
        spec.taskCount = tasks;
        spec.each = { 1000, 1000, accelerators };
        spec.gang = true;
        spec.rackLocal = true;
        spec.estimate = Milliseconds(2500);
        return spec;
    }

    PlanRunning running(const std::string& worker, int priority, bool guaranteed)
    {
        PlanRunning row;
        row.job = JobId("other");
        row.tasks = { 0 };
        row.room[WorkerId(worker)] = { 1000, 1000, 8 };
        row.priority = priority;
        row.guaranteed = guaranteed;
        return row;
    }

} // namespace

// Guards against spreading a rack-local gang that fits in one rack.
TEST_CASE("a rack-local gang is placed in one rack")
{
    PlanInput input = racks(3, 8);
    const StepSpec spec = localGang(2, 8);
    input.steps.push_back(gangOf(spec, 1));
    const Plan plan = makePlan(input);
    REQUIRE(plan.placements.size() == 2);
    REQUIRE(plan.placements[0].worker.value().substr(0, 2) == plan.placements[1].worker.value().substr(0, 2));
}

// Guards against the RECLAIM seen on the bench (tidyroom-jo mix, seed 844374216615): guaranteed work waited behind work
// of the same priority that was beyond its account's guarantee.
TEST_CASE("guaranteed work reclaims room from urgent work beyond a guarantee, and from no guaranteed work")
{
    PlanInput input = racks(1, 0);
    const StepSpec spec = localGang(1, 8);
    PlanStep step = gangOf(spec, 0);
    step.guaranteed = true;
    input.now = Milliseconds(1000);
    input.steps.push_back(step);
    input.running = { running("w0-0", 0, /*guaranteed=*/true), running("w0-1", 0, /*guaranteed=*/false) };
    const Plan plan = makePlan(input);
    REQUIRE(plan.stops == std::vector<std::size_t> { 1 });
    input.running[1].guaranteed = true;
    REQUIRE(makePlan(input).stops.empty());
}

// Guards against the RECLAIM seen on the bench (frescura-hq quiet-1, seed 840808457952, beside load): small urgent work
// on every worker left none for a guaranteed task that needs a whole one.
TEST_CASE("urgent work is packed, and smaller urgent work yields at last")
{
    PlanInput input = racks(2, 6);
    input.workers[2].urgentAccelerators = 2;
    StepSpec small = localGang(1, 1);
    small.rackLocal = false;
    input.steps.push_back(gangOf(small, 0));
    const Plan packed = makePlan(input);
    REQUIRE(packed.placements.size() == 1);
    REQUIRE(packed.placements[0].worker == input.workers[2].id);

    const StepSpec whole = localGang(1, 8);
    input.steps = { gangOf(whole, 0) };
    input.steps[0].guaranteed = true;
    for (const PlanWorker& worker : input.workers) {
        input.running.push_back(running(worker.id.value(), 0, /*guaranteed=*/true));
        input.running.back().room[worker.id] = { 1000, 1000, 2 };
    }
    input.now = Milliseconds(1000);
    REQUIRE(makePlan(input).stops.empty());
    input.now = Milliseconds(1500);
    REQUIRE(makePlan(input).stops.size() == 1);
}

// Guards against stopping more work while room is already being freed.
TEST_CASE("room that is being freed is waited for")
{
    PlanInput input = racks(1, 0);
    const StepSpec spec = localGang(1, 8);
    input.steps.push_back(gangOf(spec, 0));
    input.running = { running("w0-0", 2, false) };
    input.workers[1].leaving = { 1000, 1000, 8 };
    const Plan plan = makePlan(input);
    REQUIRE(plan.stops.empty());
    REQUIRE(plan.placements.empty());
}

// Guards against the RECLAIM seen on the bench (tidyroom-jo mix, seed 844374216615): the room kept for a gang moved
// from rack to rack with every plan, and smaller work filled what had been freed.
TEST_CASE("room for a gang is kept in the rack where it was kept before")
{
    PlanInput input = racks(2, 0);
    for (PlanWorker& worker : input.workers)
        worker.leaving = { 1000, 1000, 8 };
    input.workers[0].leaving = {};
    input.workers[0].free = { 32000, 64000, 8 };
    const StepSpec spec = localGang(2, 8);
    input.steps.push_back(gangOf(spec, 0));
    for (const std::string rack : { "0", "1" }) {
        const std::set<WorkerId> workers { WorkerId("w" + rack + "-0"), WorkerId("w" + rack + "-1") };
        input.steps[0].heldWorkers = workers;
        const Plan plan = makePlan(input);
        REQUIRE(plan.held.size() == 1);
        REQUIRE(plan.held[0].workers == workers);
    }
}

// Guards against the waste seen on the bench (tidyroom-jo-grown trouble-1): a gang wider than a rack had work stopped,
// its hold moved to workers that were still being left, and batch work filled what had been freed, to be stopped next.
TEST_CASE("room that was freed for a gang wider than a rack stays its own")
{
    PlanInput input = racks(3, 0);
    StepSpec wide = localGang(4, 8);
    wide.rackLocal = false;
    StepSpec filler = localGang(1, 1);
    filler.gang = false;
    filler.rackLocal = false;
    input.steps = { gangOf(wide, 0) };
    for (const PlanWorker& worker : input.workers)
        input.running.push_back(running(worker.id.value(), 2, false));
    const Plan first = makePlan(input);
    REQUIRE(first.stops.size() == 4);
    REQUIRE(first.held.size() == 1);
    // Two of the four workers are free now; on two others work is stopping for another reason.
    input.running.clear();
    int freed = 0;
    for (PlanWorker& worker : input.workers) {
        const bool held = first.held[0].workers.count(worker.id) > 0;
        if (held && freed++ < 2)
            worker.free = worker.capacity;
        else
            worker.leaving = worker.capacity;
    }
    input.steps[0].heldWorkers = first.held[0].workers;
    input.steps.push_back(gangOf(filler, 2));
    REQUIRE(makePlan(input).placements.empty());
}

// Guards against the RECLAIM seen on the bench (frescura-hq quiet-1, seed 840808457952): guaranteed work that could no
// longer end in time was overtaken by newer work again and again.
TEST_CASE("guaranteed work is not overtaken by newer guaranteed work")
{
    PlanInput input = racks(1, 8);
    input.workers.pop_back();
    input.now = Milliseconds(10000);
    const StepSpec spec = localGang(1, 8);
    for (const Milliseconds arrivedAt : { Milliseconds(9900), Milliseconds(8000) }) {
        PlanStep step = gangOf(spec, 0);
        step.job = JobId(arrivedAt < Milliseconds(9000) ? "older" : "newer");
        step.guaranteed = true;
        step.arrivedAt = arrivedAt;
        step.remaining = Milliseconds(2500);
        step.objectiveAt = arrivedAt + Milliseconds(4000);
        step.lateUntil = arrivedAt + Milliseconds(12000);
        input.steps.push_back(step);
    }
    const Plan plan = makePlan(input);
    REQUIRE(plan.placements.size() == 1);
    REQUIRE(plan.placements[0].task.job == JobId("older"));
}

// Guards against the cause of that RECLAIM: a job of one task is no gang, and only gangs made others yield.
TEST_CASE("an urgent task that is not in a gang makes others yield")
{
    PlanInput input = racks(1, 0);
    StepSpec spec = localGang(1, 8);
    spec.gang = false;
    spec.rackLocal = false;
    input.steps.push_back(gangOf(spec, 0));
    input.running = { running("w0-0", 2, false) };
    REQUIRE(makePlan(input).stops.size() == 1);
}

// Guards against work that is started and stopped again with each urgent job, which threw away more work on the grown
// sites than urgent work takes.
TEST_CASE("less urgent work leaves the reserve of urgent work free, as whole workers")
{
    PlanInput input = racks(2, 8);
    input.workers[1].free.accelerators = 4;
    input.workers[1].urgentAccelerators = 4;
    StepSpec filler = localGang(28, 1);
    filler.gang = false;
    filler.rackLocal = false;
    input.steps = { gangOf(filler, 1) };
    REQUIRE(makePlan(input).placements.size() == 28);
    input.urgentReserve = 13; // the four beside urgent work and one empty worker
    const Plan plan = makePlan(input);
    REQUIRE(plan.placements.size() == 16);
    for (const Placement& placement : plan.placements)
        REQUIRE(placement.worker != input.workers[1].id);
    input.steps = { gangOf(filler, 0) };
    REQUIRE(makePlan(input).placements.size() == 28);
}

// Guards against a job that waits and whose log does not say why.
TEST_CASE("a plan tells why a step waits")
{
    const StepSpec spec = localGang(2, 8);
    PlanInput input = racks(2, 8);
    input.workers[0].free = {};
    input.workers[2].free = {};
    input.steps.push_back(gangOf(spec, 1));
    input.now = Milliseconds(100);
    Plan plan = makePlan(input);
    REQUIRE(plan.waiting.size() == 1);
    REQUIRE(plan.waiting[0].tasks == 2);
    REQUIRE(plan.waiting[0].reason == WaitReason::WaitsForRack);
    input.workers[0].leaving = input.workers[0].capacity;
    REQUIRE(makePlan(input).waiting.at(0).reason == WaitReason::RoomIsFreed);
    input.workers[0].leaving = {};
    input.workers[1].free = {};
    input.now = Milliseconds(60000);
    REQUIRE(makePlan(input).waiting.at(0).reason == WaitReason::NoRoom);
    input.workers[1].free = input.workers[1].capacity;
    REQUIRE(makePlan(input).waiting.empty());
}

// Guards against more tasks of a step on one worker than it allows.
TEST_CASE("the spread limit of a step holds")
{
    PlanInput input = racks(1, 8);
    StepSpec spec = localGang(4, 1);
    spec.gang = false;
    spec.rackLocal = false;
    spec.maximumPerWorker = 1;
    input.steps.push_back(gangOf(spec, 1));
    REQUIRE(makePlan(input).placements.size() == 2);
}

// Guards against starting on workers without the label that a step requires.
TEST_CASE("a step runs only on workers with its label")
{
    PlanInput input = racks(1, 8);
    StepSpec spec = localGang(1, 1);
    spec.workerLabel = "b";
    input.steps.push_back(gangOf(spec, 1));
    REQUIRE(makePlan(input).placements.empty());
}

} // namespace rosemarylink::jobs::internal
