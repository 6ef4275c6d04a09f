#include "AllocationMeter.h"
#include "PlanFixtures.h"
#include "StragglerMoves.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rosemarylink::jobs::internal {

namespace {

    // A decision may take this much for each worker, run and task. The owner's budget for a worker with its tasks is
    // 26 KB; see docs/CAPACITY.md.
    constexpr std::size_t bytesForEach = 1024;
    constexpr std::size_t bytesForAll = 64 * 1024;

    // Stops a decision without a bound.
    constexpr std::size_t meterLimit = 512UL * 1024 * 1024;

    // The most tasks that a step can have; see checkJobSpec().
    constexpr int mostTasks = 2000;

    std::size_t allowedBytes(const PlanInput& input)
    {
        std::size_t count = input.workers.size() + input.running.size();
        for (const PlanWorker& worker : input.workers)
            count += worker.expectedEnds.size();
        for (const PlanStep& step : input.steps)
            count += step.tasks.size();
        return bytesForAll + bytesForEach * count;
    }

    std::size_t peakBytesOfPlan(const PlanInput& input)
    {
        const AllocationMeter meter(meterLimit);
        makePlan(input);
        return meter.peakBytes();
    }

    // Fills all cores of a worker with two runs that may be stopped for urgent work.
    void fillCores(PlanInput& input, PlanWorker& worker)
    {
        worker.free.milliCores = 0;
        for (int number = 0; number < 2; ++number) {
            PreemptibleWork work = runningWork(worker.id.value(), 2, /*guaranteed=*/false);
            work.resources[worker.id] = { worker.capacity.milliCores / 2, 1000, 0 };
            work.ranFor = Milliseconds(5000);
            work.lostCoreSeconds = 1;
            input.running.push_back(work);
            worker.expectedEnds.push_back({ Milliseconds(1000 * (number + 1)), work.resources[worker.id] });
        }
    }

    // Tasks that fit on a worker in any number, or by the thousand.
    Resources drawSmallDemand()
    {
        const auto draw = [] { return *rc::gen::element<std::int64_t>(0, 0, 0, 1); };
        return *rc::gen::arbitrary<bool>() ? Resources {} : Resources { draw(), draw(), draw() };
    }

    rc::Gen<bool> oneIn(std::size_t count)
    {
        return rc::gen::weightedElement<bool>({ { 1, true }, { count - 1, false } });
    }

} // namespace

// Guards against an owner that exceeds its memory because it lists a place for each task of a step on each worker, as
// those of small tasks fit by the thousand where a single run is stopped.
TEST_CASE("the memory of a preemption does not grow with the product of workers and tasks")
{
    PlanInput input = makeRacks(100, 8);
    for (PlanWorker& worker : input.workers)
        fillCores(input, worker);
    StepSpec spec = rackLocalGang(mostTasks, 0);
    spec.perTask = { 1, 0, 0 };
    spec.rackLocal = false;
    spec.gang = GENERATE(false, true);
    input.steps = { stepOf(spec, 0) };
    CHECK(makePlan(input).preemptions.size() == 1);
    CHECK(peakBytesOfPlan(input) <= allowedBytes(input));
}

// Guards against the same fault and that of review/8, where a gang without demands was to get a place for each of the
// 2^31 tasks that fit on a worker, on every path of a plan.
TEST_CASE("the memory of a plan is bounded by workers, runs and tasks, whatever the tasks demand")
{
    rc::prop("the memory of a plan is bounded", [] {
        PlanInput input = makeRacks(*rc::gen::inRange(1, 20), *rc::gen::inRange<std::int64_t>(0, 9));
        const std::set<std::string> rareLabels { "b" };
        const std::size_t rare = *rc::gen::inRange<std::size_t>(0, input.workers.size());
        for (PlanWorker& worker : input.workers) {
            worker.suspect = *oneIn(8);
            worker.pace = *oneIn(8) ? 0.2 : 1;
            if (*rc::gen::arbitrary<bool>())
                fillCores(input, worker);
        }
        input.workers[rare].labels = &rareLabels;
        input.workers[rare].suspect = !*oneIn(4);
        std::vector<StepSpec> specs(*rc::gen::inRange<std::size_t>(1, 4));
        for (StepSpec& spec : specs) {
            spec = rackLocalGang(*rc::gen::inRange(1, mostTasks + 1), 0);
            spec.perTask = drawSmallDemand();
            spec.gang = !*oneIn(4);
            spec.rackLocal = *rc::gen::arbitrary<bool>();
            spec.maximumPerWorker = *rc::gen::element(0, 0, 1, mostTasks);
            spec.workerLabel = *rc::gen::element<std::string>("", "b");
            spec.dataRack = *rc::gen::element<std::string>("", "", "r0", "elsewhere");
            input.steps.push_back(stepOf(spec, *rc::gen::inRange(0, 3)));
            input.steps.back().guaranteed = *rc::gen::arbitrary<bool>();
        }
        input.mayPreemptForOthers = true;
        input.now = Milliseconds(*rc::gen::inRange(0, 5000));
        RC_ASSERT(peakBytesOfPlan(input) <= allowedBytes(input));
    });
}

// Guards against the same fault where work is moved off slow workers.
TEST_CASE("the memory of moves is bounded by workers and tasks, whatever the tasks demand")
{
    rc::prop("the memory of moves is bounded", [] {
        PlanInput fleet = makeRacks(*rc::gen::inRange(1, 20), *rc::gen::inRange<std::int64_t>(0, 9));
        StepSpec spec = rackLocalGang(*rc::gen::inRange(1, mostTasks + 1), 0);
        spec.perTask = drawSmallDemand();
        spec.rackLocal = *rc::gen::arbitrary<bool>();
        spec.maximumPerWorker = *rc::gen::element(0, 1, mostTasks);
        Straggler work;
        work.spec = &spec;
        work.tasks = stepOf(spec, 1).tasks;
        work.slowTasks = static_cast<std::size_t>(*rc::gen::inRange(1, spec.taskCount + 1));
        work.remaining = Milliseconds(60000);
        work.duration = Milliseconds(1000);
        MoveInput input { { work }, fleet.workers, Milliseconds(400) };
        const AllocationMeter meter(meterLimit);
        chooseMoves(input);
        RC_ASSERT(meter.peakBytes() <= bytesForAll + bytesForEach * (fleet.workers.size() + work.tasks.size()));
    });
}

// Guards against an owner with a run for each of any number of tasks that demand nothing, which all fit on the workers.
TEST_CASE("no more tasks are placed than the owner can keep runs, and gangs as a whole or not at all")
{
    const Resources nothing;
    const std::size_t limit = GENERATE(std::size_t(0), std::size_t(7), std::size_t(30));
    PlanInput input = makeRacks(2, 8);
    StepSpec spec = rackLocalGang(20, 0);
    spec.perTask = nothing;
    StepSpec single = spec;
    single.gang = false;
    single.rackLocal = false;
    input.steps = { stepOf(single, 2), stepOf(spec, 0) };
    input.steps[1].job = JobId("gang");
    input.maximumStarts = limit;
    const Plan plan = makePlan(input);
    CHECK(plan.placements.size() <= limit);
    const auto ofGang = std::count_if(plan.placements.begin(), plan.placements.end(),
        [](const Placement& placement) { return placement.task.job == JobId("gang"); });
    CHECK((ofGang == 0 || ofGang == 20));
    CHECK(plan.placements.size() == (limit == 30 ? 30 : std::min(limit, std::size_t(20))));
}

} // namespace rosemarylink::jobs::internal
