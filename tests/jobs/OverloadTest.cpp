#include "PlanFixtures.h"
#include "SimCluster.h"
#include "StepOrder.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs::internal {

namespace {

    StepSpec smallTasks(int count, Milliseconds estimate)
    {
        StepSpec spec = rackLocalGang(count, 1);
        spec.gang = false;
        spec.rackLocal = false;
        spec.estimate = estimate;
        return spec;
    }

    // A worker that one run of eight accelerators occupies until `end`.
    void occupy(PlanWorker& worker, Milliseconds end)
    {
        worker.free.accelerators = 0;
        worker.expectedEnds = { { end, { 0, 0, 8 } } };
    }

    // Small tasks of low priority that fill a worker, with the loss if each were stopped.
    void fillWithTasks(PlanInput& input, PlanWorker& worker, Milliseconds lostTime)
    {
        worker.free.accelerators = 0;
        for (int number = 0; number < 8; ++number) {
            PreemptibleWork work = runningWork(worker.id.value(), 2, /*guaranteed=*/false);
            work.resources[worker.id] = { 1000, 1000, 1 };
            work.lostTime = lostTime;
            work.ranFor = Milliseconds(3000);
            work.lostCoreSeconds = static_cast<double>(lostTime.count()) / 1000.0 * 9.0;
            input.running.push_back(work);
        }
    }

} // namespace

// Guards against wide gangs that starve while capacity idles: each freed worker went to smaller work first (found with
// bench setup tidyroom-jo-large scale-2, where gangs of 17 to 46 whole workers waited 40 s or never started).
TEST_CASE("workers that become free first are held for a waiting gang against lower priorities")
{
    PlanInput input = makeRacks(2, 8);
    for (std::size_t busy : { 1, 2, 3 })
        occupy(input.workers[busy], Milliseconds(2000));
    StepSpec wide = rackLocalGang(4, 8);
    wide.rackLocal = false;
    const StepSpec longTasks = smallTasks(8, Milliseconds(6000));
    input.steps = { stepOf(longTasks, 2), stepOf(wide, 1) };
    const Plan plan = makePlan(input);
    CHECK(plan.placements.empty());
    REQUIRE(plan.reservations.size() == 1);
    CHECK(plan.reservations[0].workers.size() == 4);
    CHECK(plan.waiting.at(0).reason == WaitReason::Reserved);
    // Tasks that end before the gang can start use the held worker.
    const StepSpec shortTasks = smallTasks(8, Milliseconds(1000));
    input.steps[0] = stepOf(shortTasks, 2);
    CHECK(makePlan(input).placements.size() == 8);
}

// Guards against holding workers for a gang that would start on others first.
TEST_CASE("a gang is given the rack that becomes free first")
{
    PlanInput input = makeRacks(3, 0);
    for (std::size_t number = 0; number < input.workers.size(); ++number)
        occupy(input.workers[number], number / 2 == 1 ? Milliseconds(900) : Milliseconds(4000));
    const StepSpec gang = rackLocalGang(2, 8);
    input.steps = { stepOf(gang, 1) };
    const Plan plan = makePlan(input);
    REQUIRE(plan.reservations.size() == 1);
    CHECK(plan.reservations[0].workers == std::set<WorkerId> { WorkerId("w1-0"), WorkerId("w1-1") });
}

// Guards against a pool that idles behind the widest gangs: only the first waiting gang holds its workers against gangs
// of its own priority.
TEST_CASE("a narrow gang passes all waiting gangs of its priority but the first")
{
    PlanInput input = makeRacks(4, 0);
    for (std::size_t number = 0; number < 7; ++number)
        occupy(input.workers[number], number < 2 ? Milliseconds(1000) : Milliseconds(9000));
    input.workers[7].free.accelerators = 8;
    StepSpec wide = rackLocalGang(8, 8);
    wide.rackLocal = false;
    const StepSpec pair = rackLocalGang(2, 8); // holds the first rack
    StepSpec narrow = rackLocalGang(1, 8);
    narrow.estimate = Milliseconds(8000);
    input.steps = { stepOf(pair, 1), stepOf(wide, 1), stepOf(narrow, 1) };
    CHECK(makePlan(input).placements.size() == 1);
    input.steps.erase(input.steps.begin());
    CHECK(makePlan(input).placements.empty());
}

// Guards against stopping work on many workers for a task that needs one of them whole (found with bench setup
// tidyroom-jo-large scale-2: 5,841 of 21,520 runs were stopped).
TEST_CASE("urgent work preempts only what makes room for it")
{
    PlanInput input = makeRacks(4, 0);
    for (PlanWorker& worker : input.workers)
        fillWithTasks(input, worker, Milliseconds(3000));
    // One cheap task on each worker must not attract the choice.
    for (std::size_t index = 0; index < input.running.size(); index += 8)
        input.running[index].lostCoreSeconds = 0;
    const StepSpec urgent = rackLocalGang(1, 8);
    input.steps = { stepOf(urgent, 0) };
    const Plan plan = makePlan(input);
    REQUIRE(plan.preemptions.size() == 8);
    REQUIRE(plan.reservations.size() == 1);
    for (const Preemption& preemption : plan.preemptions)
        CHECK(input.running[preemption.work].resources.begin()->first == *plan.reservations[0].workers.begin());
}

// Guards against throwing work away for a place that becomes free sooner than a stop takes effect (found with bench
// setup tidyroom-jo-large: 3,700 of 18,979 runs of scale-2 were stopped while 300 runs ended each second).
TEST_CASE("urgent work waits for other work to end by itself where enough of it does")
{
    PlanInput input = makeRacks(4, 0);
    for (PlanWorker& worker : input.workers)
        fillWithTasks(input, worker, Milliseconds(100));
    input.workers[0].free.accelerators = 2;
    const StepSpec urgent = smallTasks(4, Milliseconds(2500));
    StepSpec gang = urgent;
    gang.gang = GENERATE(true, false);
    const StepSpec other = smallTasks(2, Milliseconds(2500));
    input.steps = { stepOf(gang, 0), stepOf(other, 1) };
    for (PlanStep& step : input.steps) {
        step.objectiveAt = Milliseconds(4000);
        step.lateDeadline = Milliseconds(12000);
    }
    SECTION("it waits as long as a stop would take, and keeps the place that it has found")
    {
        input.releasedCoresPerSecond = 1000;
        const Plan plan = makePlan(input);
        CHECK(plan.preemptions.empty());
        CHECK(plan.placements.size() == (gang.gang ? 0 : 2));
        CHECK(plan.waiting.at(0).reason == WaitReason::EndsExpected);
        REQUIRE(plan.planAgainAt);
        input.now = *plan.planAgainAt;
        CHECK(input.now <= Milliseconds(250));
        CHECK(makePlan(input).preemptions.size() == 2);
    }
    SECTION("it does not wait where too little ends")
    {
        input.releasedCoresPerSecond = GENERATE(0, 10);
        CHECK(makePlan(input).preemptions.size() == 2);
    }
}

// Guards against stopping a wide gang that cannot resume for a small urgent job that would be late all the same (found
// with bench setup tidyroom-jo-large scale-1: 60,651 core-seconds of gangs lost to urgent jobs of 5 tasks).
TEST_CASE("urgent work that ends late stops no work that loses much more than its own")
{
    PlanInput input = makeRacks(4, 0);
    PreemptibleWork wide = runningWork("w0-0", 1, /*guaranteed=*/false);
    for (const PlanWorker& worker : input.workers)
        wide.resources[worker.id] = { 1000, 1000, 8 };
    wide.ranFor = wide.lostTime = Milliseconds(4000);
    wide.cores = 8 * 65;
    wide.lostCoreSeconds = wide.cores * 4;
    input.running = { wide };
    input.releasedCoresPerSecond = 100;
    const StepSpec urgent = smallTasks(4, Milliseconds(2500));
    input.steps = { stepOf(urgent, 0) };
    PlanStep& step = input.steps[0];
    step.remaining = urgent.estimate;
    step.lateDeadline = Milliseconds(12000);
    SECTION("one that can still be in time waits for a part of its slack")
    {
        step.objectiveAt = Milliseconds(9000);
        input.now = Milliseconds(1000);
        CHECK(makePlan(input).preemptions.empty());
        input.now = Milliseconds(1500);
        CHECK(makePlan(input).preemptions.size() == 1);
    }
    SECTION("a late one is not kept out for good")
    {
        step.objectiveAt = Milliseconds(4000);
        input.now = Milliseconds(1600);
        CHECK(makePlan(input).preemptions.empty());
        input.now = Milliseconds(10000);
        CHECK(makePlan(input).preemptions.size() == 1);
    }
    SECTION("guaranteed work starts in time although it stops such work")
    {
        step.objectiveAt = Milliseconds(4000);
        step.guaranteed = true;
        input.now = input.urgentRackWait / 4;
        CHECK(makePlan(input).preemptions.size() == 1);
    }
}

// Guards against stopping the same gang again and again: a checkpoint made it look free to stop, although it had only
// just been started again (found with bench setup tidyroom-jo-large scale-2, a gang that was stopped 90 ms and 50 ms
// after its starts).
TEST_CASE("work that was just started is preempted after work that has run for a while")
{
    PlanInput input = makeRacks(1, 0);
    for (PlanWorker& worker : input.workers) {
        PreemptibleWork work = runningWork(worker.id.value(), 1, /*guaranteed=*/false);
        work.cores = 72;
        work.lostCoreSeconds = input.running.empty() ? 7 : 40;
        work.ranFor = input.running.empty() ? Milliseconds(50) : Milliseconds(3000);
        input.running.push_back(work);
    }
    const StepSpec urgent = rackLocalGang(1, 8);
    input.steps = { stepOf(urgent, 0) };
    const Plan plan = makePlan(input);
    REQUIRE(plan.preemptions.size() == 1);
    CHECK(plan.preemptions[0].work == 1);
}

// Guards against gangs that wait behind work of a lower priority that could resume later without loss, and against
// throwing work away for a gang that is not urgent.
TEST_CASE("a gang that is not urgent preempts only work of lower priorities that loses little")
{
    const bool resumable = GENERATE(true, false);
    PlanInput input = makeRacks(1, 0);
    input.mayPreemptForOthers = true;
    for (PlanWorker& worker : input.workers)
        fillWithTasks(input, worker, resumable ? Milliseconds(100) : Milliseconds(3000));
    const StepSpec gang = rackLocalGang(2, 8);
    input.steps = { stepOf(gang, 1) };
    CHECK(makePlan(input).preemptions.size() == (resumable ? 16 : 0));
    input.steps = { stepOf(gang, 2) };
    CHECK(makePlan(input).preemptions.empty());
    // Work that has just been started would otherwise be stopped again and again.
    input.steps = { stepOf(gang, 1) };
    for (PreemptibleWork& work : input.running)
        work.ranFor = Milliseconds(300);
    CHECK(makePlan(input).preemptions.empty());
}

// Guards against a backlog that makes everything behind it late: work without remaining value held its place before
// work that could still be of use. Guards as well against starving that work.
TEST_CASE("work that has lost its value comes last until it has waited too long")
{
    const StepSpec spec = smallTasks(1, Milliseconds(1000));
    PlanInput input = makeRacks(1, 0);
    input.now = Milliseconds(40000);
    for (const char* const name : { "lost", "useful" }) {
        PlanStep step = stepOf(spec, name == std::string("lost") ? 1 : 2);
        step.job = JobId(name);
        step.remaining = Milliseconds(1000);
        input.steps.push_back(step);
    }
    input.steps[0].lateDeadline = Milliseconds(30000);
    input.steps[1].objectiveAt = Milliseconds(60000);
    CHECK(orderSteps(input).front()->job == JobId("useful"));
    input.now = Milliseconds(50000);
    CHECK(orderSteps(input).front()->job == JobId("lost"));
}

} // namespace rosemarylink::jobs::internal

namespace rosemarylink::jobs {

// Replays the load of bench setup tidyroom-jo-large scale-2 at a small size: a flow of small jobs of a lower priority
// that exceeds the pool, and a gang that needs most of the workers whole. Guards against starving the gang.
TEST_CASE("a wide gang starts within a few run times of the small jobs that overload the pool")
{
    SimCluster cluster(1);
    cluster.addWorkers(2, 8);
    cluster.world.run(Milliseconds(1500));
    int submitted = 0;
    const auto flow = [&](Milliseconds duration) {
        for (const Milliseconds end = cluster.world.now() + duration; cluster.world.now() < end;) {
            cluster.submit("sweep", "s" + std::to_string(submitted++), oneStep(10, 1, Milliseconds(1500), false));
            cluster.world.run(Milliseconds(90));
        }
    };
    flow(Milliseconds(3000));
    cluster.submit("batch", "wide", oneStep(12, 8, Milliseconds(2000), /*gang=*/true));
    flow(Milliseconds(5000));
    CHECK(cluster.fleet.startsOf(JobId("wide")) == 12);
    cluster.world.run(Milliseconds(60000));
    CHECK(cluster.storedState("wide") == JobState::Completed);
    for (int number = 0; number < submitted; ++number)
        CHECK(cluster.storedState("s" + std::to_string(number)) == JobState::Completed);
    CHECK(cluster.fleet.violations().empty());
}

// Replays the load of bench setup tidyroom-jo-large scale-2 between its bursts: a full pool in which a hundred tasks
// end each second, and urgent jobs that each need more than the headroom. Guards against stopping work for them.
TEST_CASE("urgent jobs in a full pool start soon without a stop of other work")
{
    SimCluster cluster(1);
    cluster.addWorkers(2, 8);
    cluster.world.run(Milliseconds(1500));
    int submitted = 0;
    const auto flow = [&](Milliseconds duration) {
        for (const Milliseconds end = cluster.world.now() + duration; cluster.world.now() < end;) {
            cluster.submit("sweep", "s" + std::to_string(submitted++), oneStep(10, 1, Milliseconds(1000), false));
            cluster.world.run(Milliseconds(65));
        }
    };
    flow(Milliseconds(4000));
    for (int number = 1; number <= 5; ++number) {
        const std::string id = "u" + std::to_string(number);
        cluster.submit("urgent", id, oneStep(4 * number, 1, Milliseconds(800), /*gang=*/number % 2 == 0));
        flow(Milliseconds(700));
        CHECK(cluster.fleet.startsOf(JobId(id)) == 4 * number);
    }
    cluster.world.run(Milliseconds(20000));
    for (int number = 0; number < submitted; ++number)
        CHECK(cluster.fleet.startsOf(JobId("s" + std::to_string(number))) == 10);
    CHECK(cluster.fleet.violations().empty());
}

// Guards against a job that fails because its attempts are all spent on the same faulty workers (found with bench setup
// tidyroom-jo-large trouble-1 and trouble-3: urgent gangs failed within 0.6 s while 8% of the workers failed their
// runs).
TEST_CASE("the attempts of a job are not spent on faulty workers")
{
    const bool gang = GENERATE(true, false);
    SimCluster cluster(1);
    cluster.addWorkers(1, 10);
    cluster.fleet.faulty = { WorkerId("w0-0"), WorkerId("w0-1") };
    cluster.world.run(Milliseconds(1500));
    for (int number = 0; number < 8; ++number) {
        const std::string id = "u" + std::to_string(number);
        cluster.submit("urgent", id, oneStep(4, 4, Milliseconds(600), gang));
        cluster.world.run(Milliseconds(2500));
        CHECK(cluster.storedState(id) == JobState::Completed);
    }
    CHECK(cluster.fleet.violations().empty());
}

} // namespace rosemarylink::jobs
