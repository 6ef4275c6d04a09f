#include "PlanFixtures.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    // Tasks that may start one by one and run slower when they are spread over racks. The declared time is so long that
    // no test reaches it.
    StepSpec rackLocalTasks(int tasks)
    {
        StepSpec spec = rackLocalGang(tasks, 1);
        spec.gang = false;
        spec.estimate = Milliseconds(40000);
        return spec;
    }

    std::set<std::string> racksOf(const PlanInput& input, const Plan& plan)
    {
        std::set<std::string> racks;
        for (const Placement& placement : plan.placements) {
            const auto worker = std::find_if(input.workers.begin(), input.workers.end(),
                [&placement](const PlanWorker& row) { return row.id == placement.worker; });
            REQUIRE(worker != input.workers.end());
            racks.insert(worker->rack);
        }
        return racks;
    }

} // namespace

// Guards against a step that starts nowhere in an idle pool for as long as its declared time, because only workers of
// the rack that it does not name are considered (review/7).
TEST_CASE("a rack-local step that is no gang and names no rack starts at once in one rack")
{
    PlanInput input = makeRacks(3, 8);
    input.workers[2].free.accelerators = 6; // best fit: the rack in which the least stays free
    const StepSpec spec = rackLocalTasks(10);
    input.steps = { stepOf(spec, GENERATE(0, 1)) };
    const Plan plan = makePlan(input);
    CHECK(plan.placements.size() == 10);
    CHECK(racksOf(input, plan) == std::set<std::string> { "r1" });
}

// Guards against tasks that make the running tasks of their step slower, because they start in another rack.
TEST_CASE("further tasks of a rack-local step start in the rack of its active tasks")
{
    PlanInput input = makeRacks(3, 2);
    input.workers[0].free.accelerators = 8;
    const StepSpec spec = rackLocalTasks(10);
    input.steps = { stepOf(spec, 1) };
    input.steps[0].tasks.resize(6);
    input.steps[0].activeTasks[input.workers[4].id] = 4;
    const Plan plan = makePlan(input);
    CHECK(plan.placements.size() == 4);
    CHECK(racksOf(input, plan) == std::set<std::string> { "r2" });
    REQUIRE(plan.waiting.size() == 1);
    CHECK(plan.waiting[0].reason == WaitReason::WaitsForRack);
}

// Guards against a step that waits for a whole rack, or for as long as its declared time, while most of the pool is
// free.
TEST_CASE("a rack-local step uses what one rack has, and other racks after 2 s if most of the pool is free")
{
    const std::int64_t freeOnEach = GENERATE(3, 5); // of 8
    const bool mostlyFree = freeOnEach == 5;
    PlanInput input = makeRacks(2, freeOnEach);
    const StepSpec spec = rackLocalTasks(12);
    input.steps = { stepOf(spec, 1) };
    const std::size_t inOneRack = static_cast<std::size_t>(2 * freeOnEach);
    const Plan first = makePlan(input);
    CHECK(first.placements.size() == inOneRack);
    CHECK(racksOf(input, first).size() == 1);
    input.now = Milliseconds(1999);
    CHECK(makePlan(input).placements.size() == inOneRack);
    input.now = Milliseconds(2000);
    CHECK(makePlan(input).placements.size() == (mostlyFree ? 12 : inOneRack));
}

// Guards against a step that waits for as long as its declared time for a rack that has no worker for it.
TEST_CASE("a step whose data rack has no worker for it does not wait for that rack")
{
    PlanInput input = makeRacks(2, 3);
    StepSpec spec = rackLocalTasks(2);
    spec.rackLocal = false;
    spec.dataRack = "r9";
    SECTION("the rack is unknown") { }
    SECTION("its workers are too small")
    {
        spec.dataRack = "r0";
        spec.perTask.accelerators = 3;
        input.workers[0].capacity.accelerators = 2;
        input.workers[0].free.accelerators = 2;
        input.workers[1].capacity.accelerators = 2;
        input.workers[1].free.accelerators = 2;
    }
    input.steps = { stepOf(spec, 1) };
    CHECK(makePlan(input).placements.size() == 2);
}

// Guards against a step of which nothing starts in a mostly free pool, because there is no room for all of its tasks
// twice.
TEST_CASE("a step that is no gang starts where there is room for twice one task if most of the pool is free")
{
    PlanInput input = makeRacks(2, 8);
    input.workers[0].free.accelerators = 0;
    input.workers[1].free.accelerators = 0;
    StepSpec spec = rackLocalTasks(40);
    spec.dataRack = "r0"; // which has no room
    spec.rackLocal = false;
    input.steps = { stepOf(spec, 1) };
    input.now = Milliseconds(1999);
    CHECK(makePlan(input).placements.empty());
    input.now = Milliseconds(2000);
    // Half of the room, so that it had room twice over.
    CHECK(makePlan(input).placements.size() == 8);
    for (PlanWorker& worker : input.workers) {
        worker.capacity.accelerators = 1;
        worker.free.accelerators = 0;
    }
    input.workers[2].capacity.accelerators = 2;
    input.workers[3].free.accelerators = 1;
    input.workers[2].schedulable = false; // so that half of the rest is free
    input.workers[1].capacity.accelerators = 0;
    CHECK(makePlan(input).placements.empty()); // room for one task only
}

} // namespace rosemarylink::jobs::internal
