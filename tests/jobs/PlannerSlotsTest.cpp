#include "GangReservations.h"
#include "PlanFixtures.h"
#include "PlannerFleet.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rosemarylink::jobs::internal {

namespace {

    Resources drawDemand()
    {
        // Zero is drawn in each dimension about every second time.
        const auto draw = [](std::int64_t most) {
            return *rc::gen::weightedOneOf<std::int64_t>(
                { { 1, rc::gen::just<std::int64_t>(0) }, { 1, rc::gen::inRange<std::int64_t>(1, most) } });
        };
        return { draw(40000), draw(70000), draw(10) };
    }

    // Counts one by one.
    int countSlowly(const Resources& perTask, Resources available, int limit)
    {
        int count = 0;
        while (count < limit && perTask.fitsIn(available)) {
            available -= perTask;
            ++count;
        }
        return count;
    }

} // namespace

// Guards against an owner that exceeds its memory, because it lists a place for each task without demands that fits on
// a worker (review/8). The only worker of the gang's kind is suspect after a failed run.
TEST_CASE("a reservation for a gang without demands has as many places as the gang has tasks")
{
    PlanInput input = makeRacks(2, 8);
    const std::set<std::string> other { "b" };
    input.workers[3].labels = &other;
    input.workers[3].suspect = true;
    StepSpec spec = rackLocalGang(2, 0);
    spec.perTask = {};
    spec.rackLocal = GENERATE(false, true);
    spec.workerLabel = "b";
    input.steps = { stepOf(spec, 1) };
    const Plan plan = makePlan(input);
    CHECK(plan.placements.empty());
    REQUIRE(plan.reservations.size() == 1);
    CHECK(plan.reservations[0].workers == std::set<WorkerId> { input.workers[3].id });
}

// Guards against the same fault and against sums of counts that overflow: counts of places exceed the number of tasks
// that a step has to place.
TEST_CASE("counts of places are bounded by the step's tasks, whatever the tasks demand")
{
    rc::prop("counts are bounded and exact", [] {
        PlanInput input = makeRacks(*rc::gen::inRange(1, 5), *rc::gen::inRange<std::int64_t>(0, 9));
        for (PlanWorker& worker : input.workers) {
            worker.suspect = *rc::gen::arbitrary<bool>();
            worker.releasing = { 1000, 1000, *rc::gen::inRange<std::int64_t>(0, 3) };
            worker.expectedEnds = { { Milliseconds(500), { 1000, 1000, 1 } } };
        }
        StepSpec spec = rackLocalGang(*rc::gen::inRange(1, 40), 0);
        spec.perTask = drawDemand();
        spec.gang = *rc::gen::arbitrary<bool>();
        spec.rackLocal = *rc::gen::arbitrary<bool>();
        spec.maximumPerWorker = *rc::gen::inRange(0, 3);
        input.steps = { stepOf(spec, *rc::gen::inRange(0, 3)) };
        PlanStep& step = input.steps[0];
        // Some of the step's tasks may have been placed before.
        step.tasks.resize(static_cast<std::size_t>(*rc::gen::inRange(1, spec.taskCount + 1)));
        input.running = { runningWork(input.workers[0].id.value(), 2, false) };
        input.running[0].ranFor = Milliseconds(5000);
        input.mayPreemptForOthers = true;
        input.now = Milliseconds(*rc::gen::inRange(0, 5000));
        const int tasks = static_cast<int>(step.tasks.size());

        PlannerFleet fleet(input);
        for (const FleetWorker* worker : fleet.all()) {
            RC_ASSERT(PlannerFleet::countFitting(spec.perTask, worker->free, step.tasks.size())
                == countSlowly(spec.perTask, worker->free, tasks));
            for (const bool includeReleasing : { false, true })
                RC_ASSERT(fleet.capacityOn(step, *worker, includeReleasing) <= tasks);
        }
        RC_ASSERT(fleet.selectAnywhere(step, step.tasks.size()).size() <= step.tasks.size());
        const FleetWorkers reserved = GangReservations(fleet, input.now).reserve(step, /*oneRack=*/false);
        RC_ASSERT(reserved.empty() || reserved.size() == step.tasks.size());
        const Plan plan = makePlan(input);
        RC_ASSERT(plan.placements.size() <= step.tasks.size());
        RC_ASSERT(!spec.gang || plan.placements.empty() || plan.placements.size() == step.tasks.size());
    });
}

} // namespace rosemarylink::jobs::internal
