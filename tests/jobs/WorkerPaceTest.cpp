#include "WorkerPace.h"
#include "PlanFixtures.h"
#include "SimCluster.h"
#include "StragglerMoves.h"
#include "WorkerFailures.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    Straggler stragglerOf(const StepSpec& spec, Milliseconds remaining)
    {
        Straggler work;
        work.job = JobId("j");
        work.spec = &spec;
        for (int index = 0; index < spec.taskCount; ++index)
            work.tasks.push_back(index);
        work.slowTasks = 1;
        work.remaining = remaining;
        work.duration = spec.estimate;
        return work;
    }

    MoveInput moveInput(const Straggler& work)
    {
        MoveInput input;
        input.stragglers = { work };
        input.soundWorkers = makeRacks(2, 8).workers;
        input.stopTime = Milliseconds(400);
        return input;
    }

    // Marks the first worker as six times slower than the others, and lets the step's job have its objective there.
    PlanInput inputWithSlowWorker(const StepSpec& spec, int priority)
    {
        PlanInput input = makeRacks(2, 8);
        input.workers[0].pace = 1.0 / 6;
        input.steps = { stepOf(spec, priority) };
        PlanStep& step = input.steps[0];
        step.remaining = spec.estimate;
        step.objectiveAt = spec.estimate * 3 + Milliseconds(3000);
        step.lateDeadline = step.objectiveAt * 3;
        return input;
    }

    std::size_t placedOn(const PlanInput& input, const WorkerId& worker)
    {
        const Plan plan = makePlan(input);
        return static_cast<std::size_t>(std::count_if(plan.placements.begin(), plan.placements.end(),
            [&worker](const Placement& placement) { return placement.worker == worker; }));
    }

} // namespace

// Guards against taking all workers for slow because a step's declared duration is too short.
TEST_CASE("a step's duration is the median of its tasks once several have shown their pace")
{
    StepDurations durations;
    CHECK(durations.expected(Milliseconds(2000)) == Milliseconds(2000));
    durations.observe(0, Milliseconds(6000));
    durations.observe(1, Milliseconds(5800));
    CHECK(durations.expected(Milliseconds(2000)) == Milliseconds(2000));
    durations.observe(2, Milliseconds(36000));
    CHECK(durations.expected(Milliseconds(2000)) == Milliseconds(6000));
}

// Guards against using a slow worker again as soon as it is empty, and against never using it again.
TEST_CASE("a slow worker is remembered until it shows another pace or for a limited time")
{
    WorkerPaces paces;
    const WorkerId worker("w");
    paces.observe(worker, 0.2, Milliseconds(1000));
    CHECK(paces.find(worker, Milliseconds(9000)));
    CHECK_FALSE(paces.find(worker, Milliseconds(1000) + WorkerPaces::slowMemory));
    paces.observe(worker, 0.8, Milliseconds(2000));
    CHECK_FALSE(paces.find(worker, Milliseconds(2000)));
}

// Guards against a new owner that places work on the slow workers again, and against a record that stops it.
TEST_CASE("slow workers survive in their record with their age, and a malformed record is refused")
{
    const Timestamp wallClock = timestampFromMilliseconds(1700000000000);
    WorkerPaces paces;
    paces.observe(WorkerId("w"), 0.2, Milliseconds(1000));
    const std::string record = paces.record(Milliseconds(3000), wallClock);
    WorkerPaces next;
    REQUIRE(next.load(record, Milliseconds(50000), wallClock + Milliseconds(4000)));
    REQUIRE(next.find(WorkerId("w"), Milliseconds(50000)));
    CHECK(next.find(WorkerId("w"), Milliseconds(50000))->seenAt == Milliseconds(44000));
    WorkerPaces late;
    REQUIRE(late.load(record, Milliseconds(50000), wallClock + WorkerPaces::slowMemory));
    CHECK(late.empty());
    const std::string malformed = GENERATE(as<std::string>(), "", "[]", "{}", R"({"slow":[{"worker":"w"}]})",
        R"({"slow":[{"worker":"w","pace":0,"seenAt":1}]})", R"({"slow":[{"worker":"w","pace":900,"seenAt":1}]})",
        R"({"slow":[{"worker":7,"pace":200,"seenAt":1}]})");
    CHECK_FALSE(late.load(malformed, Milliseconds(0), wallClock));
    CHECK(late.empty());
}

// Guards against gangs and urgent tasks that wait for a member on a slow worker (fifty slow workers of 350 made a day
// lose half of its value).
TEST_CASE("urgent tasks and gangs are placed on sound workers while a few workers are slow")
{
    StepSpec spec = rackLocalGang(4, 8);
    spec.rackLocal = false;
    spec.gang = GENERATE(true, false);
    const int priority = GENERATE(0, 1);
    PlanInput input = inputWithSlowWorker(spec, priority);
    CHECK(placedOn(input, input.workers[0].id) == 0);
    // Where a large part of the pool is slow, pace says nothing about a worker.
    for (PlanWorker& worker : input.workers)
        worker.pace = 1.0 / 6;
    CHECK(placedOn(input, input.workers[0].id) == 1);
}

// Guards against leaving capacity idle that still serves work with a distant objective.
TEST_CASE("a slow worker runs tasks that end in time there")
{
    StepSpec spec = rackLocalGang(4, 8);
    spec.rackLocal = false;
    spec.gang = false;
    PlanInput input = inputWithSlowWorker(spec, 2);
    input.steps[0].objectiveAt = spec.estimate * 7;
    CHECK(placedOn(input, input.workers[0].id) == 1);
    input.steps[0].objectiveAt = spec.estimate * 5;
    CHECK(placedOn(input, input.workers[0].id) == 0);
}

// Guards against a worker that stays unused after it has become sound again, and against a gang that finds out that it
// has not.
TEST_CASE("a slow worker that has been empty for a while gets a single task that can afford it")
{
    StepSpec spec = rackLocalGang(8, 4);
    spec.rackLocal = false;
    spec.gang = false;
    PlanInput input = inputWithSlowWorker(spec, 2);
    input.workers[0].mayBeProbed = true;
    CHECK(placedOn(input, input.workers[0].id) == 1);
    // One task in all, also of several steps.
    input.steps.push_back(input.steps[0]);
    input.steps[1].job = JobId("k");
    CHECK(placedOn(input, input.workers[0].id) == 1);
    input.steps.pop_back();
    input.steps[0].priority = 0;
    CHECK(placedOn(input, input.workers[0].id) == 0);
    input.steps[0].priority = 2;
    spec.gang = true;
    CHECK(placedOn(input, input.workers[0].id) == 0);
}

// Guards against work that never starts because all workers with its label stay slow.
TEST_CASE("a step uses slow workers after it has waited for long")
{
    StepSpec spec = rackLocalGang(1, 8);
    spec.rackLocal = false;
    spec.workerLabel = "b";
    PlanInput input = inputWithSlowWorker(spec, 1);
    const std::set<std::string> otherLabels { "b" };
    input.workers[0].labels = &otherLabels;
    CHECK(makePlan(input).placements.empty());
    input.now = Milliseconds(15000);
    CHECK(placedOn(input, input.workers[0].id) == 1);
}

// Guards against a worker that is taken for bad after one failure, which tasks have by their own fault, and against one
// that keeps failing what it starts.
TEST_CASE("a worker is unreliable after two recent failures, unless it completes most of its runs")
{
    WorkerFailures failures;
    failures.addFailure(Milliseconds(1000));
    CHECK_FALSE(failures.isUnreliable(Milliseconds(1000)));
    failures.addFailure(Milliseconds(2000));
    CHECK(failures.isUnreliable(Milliseconds(2000)));
    CHECK_FALSE(failures.isUnreliable(Milliseconds(12000)));
    for (int run = 0; run < 8; ++run)
        failures.addSuccess(Milliseconds(2500));
    CHECK_FALSE(failures.isUnreliable(Milliseconds(2500)));
}

// Guards against guaranteed work that does not start in time because the free workers are slow.
TEST_CASE("guaranteed work uses a slow worker after a part of the time in which it must start")
{
    StepSpec spec = rackLocalGang(4, 8);
    spec.rackLocal = false;
    PlanInput input = inputWithSlowWorker(spec, 0);
    input.steps[0].guaranteed = true;
    CHECK(makePlan(input).placements.empty());
    input.now = input.urgentRackWait / 4;
    CHECK(makePlan(input).placements.size() == 4);
}

// Guards against throwing work away that would have ended first, and against moves that gain nothing.
TEST_CASE("work is moved off a slow worker only if it ends clearly sooner elsewhere and there is room")
{
    StepSpec spec = rackLocalGang(4, 8);
    spec.rackLocal = GENERATE(true, false);
    CHECK(chooseMoves(moveInput(stragglerOf(spec, spec.estimate * 5))).size() == (spec.rackLocal ? 0 : 1));
    StepSpec pair = rackLocalGang(2, 8);
    Straggler work = stragglerOf(pair, pair.estimate * 5);
    CHECK(chooseMoves(moveInput(work)).size() == 1);
    work.remaining = pair.estimate;
    CHECK(chooseMoves(moveInput(work)).empty());
    work.remaining = pair.estimate * 3 / 2;
    work.savedPercent = 90; // a checkpoint makes the move cheap
    CHECK(chooseMoves(moveInput(work)).size() == 1);
    work.remaining = pair.estimate * 5;
    work.moves = 2;
    CHECK(chooseMoves(moveInput(work)).empty());
    work.moves = 0;
    // Capacity that the planner would not give to it does not count.
    StepSpec withData = pair;
    withData.rackLocal = false;
    withData.dataRack = "r9";
    CHECK(chooseMoves(moveInput(stragglerOf(withData, pair.estimate * 5))).empty());
    StepSpec spread = pair;
    spread.rackLocal = false;
    spread.maximumPerWorker = 1;
    Straggler limited = stragglerOf(spread, pair.estimate * 5);
    for (const PlanWorker& worker : makeRacks(2, 8).workers)
        limited.tasksOn[worker.id] = 1;
    CHECK(chooseMoves(moveInput(limited)).empty());
    MoveInput full = moveInput(work);
    for (PlanWorker& worker : full.soundWorkers)
        worker.free = {};
    CHECK(chooseMoves(full).empty());
}

// Guards against moving less urgent work to the places that an urgent gang needs.
TEST_CASE("urgent work is moved first where there is room for one move only")
{
    StepSpec spec = rackLocalGang(1, 8);
    spec.rackLocal = false;
    MoveInput input = moveInput(stragglerOf(spec, spec.estimate * 9));
    input.stragglers[0].priority = 1;
    input.stragglers.push_back(stragglerOf(spec, spec.estimate * 5));
    input.soundWorkers.resize(1);
    CHECK(chooseMoves(input) == std::vector<std::size_t> { 1 });
}

// Guards against a gang that waits for its slow member while other workers are free, against learning the run times of
// slow workers, and against a later gang that is placed on the slow worker again, also by the next owner.
TEST_CASE("a gang on a slow worker goes on elsewhere, and later work avoids the worker")
{
    const bool observes = GENERATE(true, false);
    SimCluster cluster(2);
    for (const auto& instance : cluster.instances) {
        PoolLimits limits;
        limits.observeWorkers = observes;
        instance->owner.setLimits(limits);
    }
    cluster.addWorkers(1, 4);
    const WorkerId slow = cluster.fleet.ids().front();
    cluster.fleet.slowness[slow] = 6;
    cluster.world.run(Milliseconds(1500));
    cluster.submit("batch", "g1", oneStep(3, 8, Milliseconds(3000), /*gang=*/true));
    cluster.submit("batch", "f1", oneStep(1, 8, Milliseconds(3000), /*gang=*/true));
    cluster.world.run(Milliseconds(9000));
    CHECK(cluster.fleet.violations().empty());
    // Each of the four workers has one task, so that one job is on the slow one and is moved once the other has ended.
    const bool bothCompleted
        = cluster.storedState("g1") == JobState::Completed && cluster.storedState("f1") == JobState::Completed;
    CHECK(bothCompleted == observes);
    if (!observes)
        return;
    cluster.currentOwner()->kill();
    cluster.world.run(Milliseconds(3000));
    cluster.submit("urgent", "u1", oneStep(3, 8, Milliseconds(2000), /*gang=*/true), 1);
    cluster.world.run(Milliseconds(300));
    CHECK(cluster.fleet.runningOn(slow) == 0);
    cluster.world.run(Milliseconds(2500));
    CHECK(cluster.storedState("u1") == JobState::Completed);
}

} // namespace rosemarylink::jobs::internal
