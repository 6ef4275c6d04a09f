#include "PlanFixtures.h"
#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <random>

namespace rosemarylink::jobs {

namespace {

    JobSpec overlapping(
        int occurrences, int tasks, std::int64_t accelerators, Milliseconds runTime, const SimWorld& world)
    {
        JobSpec job = oneStep(tasks, accelerators, runTime, /*gang=*/false);
        job.occurrences = occurrences;
        job.firstDue = world.clock().now();
        job.interval = Milliseconds(2000);
        return job;
    }

} // namespace

// Guards against a pool in which nothing ends: occurrences of a guaranteed job that overlapped and did not fit beside
// each other stopped each other's tasks in turn, and another account's guaranteed job never began.
TEST_CASE("overlapping occurrences of a guaranteed job do not stop each other in turn")
{
    const int tasks = GENERATE(2, 3, 4);
    CAPTURE(tasks);
    SimCluster cluster(1);
    cluster.addWorkers(2, 2);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("urgent", "timed", overlapping(6, tasks, 8, Milliseconds(8000), cluster.world));
    cluster.world.run(Milliseconds(9000));
    cluster.submit(
        "urgent", "other", oneStep(1, 8, Milliseconds(1000), /*gang=*/false), 0, Milliseconds(3000), "key-of-beta");
    cluster.world.run(Milliseconds(2900));
    CHECK(cluster.fleet.startsOf(JobId("other")) >= 1);
    cluster.world.run(Milliseconds(100000));
    CHECK(cluster.storedState("timed") == JobState::Completed);
    CHECK(cluster.storedState("other") == JobState::Completed);
    CHECK(cluster.fleet.startsOf(JobId("timed")) <= 2 * 6 * tasks);
    CHECK(cluster.fleet.violations().empty());
}

// Guards against cycles of preemption in any mix of work: no task is stopped again and again without work ending.
TEST_CASE("no unit of work is stopped without bound under full load")
{
    const int seed = GENERATE(range(1, 21));
    CAPTURE(seed);
    std::mt19937 random(static_cast<unsigned>(seed));
    const auto draw = [&random](int from, int to) { return std::uniform_int_distribution<>(from, to)(random); };
    SimCluster cluster(1);
    cluster.addWorkers(2, 2);
    cluster.world.run(Milliseconds(3000));
    int tasks = 0;
    std::vector<std::string> ids;
    for (int number = 0; number < 12; ++number) {
        ids.push_back("j" + std::to_string(number));
        JobSpec job = oneStep(draw(1, 4), draw(1, 8), Milliseconds(draw(500, 4000)), draw(0, 2) == 0);
        if (job.steps[0].gang)
            job.steps[0].taskCount = draw(1, 3);
        if (draw(0, 1) == 0) {
            job.occurrences = draw(2, 4);
            job.firstDue = cluster.world.clock().now();
            job.interval = Milliseconds(draw(300, 2500));
        }
        tasks += job.occurrences * job.steps[0].taskCount;
        const char* const queues[] = { "urgent", "urgent", "batch" };
        cluster.submit(
            queues[draw(0, 2)], ids.back(), job, 0, Milliseconds(3000), draw(0, 1) == 0 ? "key" : "key-of-beta");
        cluster.world.run(Milliseconds(draw(0, 1200)));
    }
    cluster.world.run(Milliseconds(200000));
    int starts = 0;
    for (const std::string& id : ids) {
        CHECK(cluster.storedState(id) == JobState::Completed);
        starts += cluster.fleet.startsOf(JobId(id));
    }
    CHECK(starts <= 10 * tasks);
    CHECK(cluster.fleet.violations().empty());
}

namespace internal {

    // Guards against two units that may stop each other: each pair is tried in both directions.
    TEST_CASE("of two units of guaranteed work at most one may preempt the other")
    {
        StepSpec specs[4];
        specs[0] = rackLocalGang(1, 8);
        specs[0].gang = false;
        specs[1] = rackLocalGang(6, 8);
        specs[1].gang = false;
        specs[2] = rackLocalGang(2, 8);
        specs[3] = rackLocalGang(4, 4);
        const auto preempts = [](const StepSpec& waiting, const StepSpec& running) {
            PlanInput input = makeRacks(1, 0);
            input.now = Milliseconds(1700);
            input.steps = { stepOf(waiting, 0) };
            input.steps[0].guaranteed = true;
            for (const PlanWorker& worker : input.workers) {
                if (running.gang && !input.running.empty()) {
                    input.running[0].resources[worker.id] = { 1000, 1000, 8 };
                    continue;
                }
                input.running.push_back(runningWork(worker.id.value(), 0, /*guaranteed=*/true));
                input.running.back().unitAccelerators = unitAccelerators(running);
            }
            return !makePlan(input).preemptions.empty();
        };
        for (const StepSpec& one : specs) {
            for (const StepSpec& other : specs)
                CHECK_FALSE((preempts(one, other) && preempts(other, one)));
        }
        CHECK(preempts(specs[2], specs[0]));
    }

} // namespace internal

} // namespace rosemarylink::jobs
