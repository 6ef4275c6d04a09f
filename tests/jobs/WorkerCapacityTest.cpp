#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <random>

namespace rosemarylink::jobs {

namespace {

    std::string joined(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const std::string& line : lines)
            text += line + "\n";
        return text;
    }

    // Submits jobs of several kinds, which preempt each other, while capacities shrink and grow.
    void changeCapacities(SimCluster& cluster, unsigned seed, int changes)
    {
        std::mt19937 random(seed);
        JobSpec lasting = oneStep(4, 1, Milliseconds(600000), /*gang=*/false);
        lasting.steps[0].longRunning = true;
        cluster.submit("batch", "l1", lasting);
        const char* const queues[] = { "urgent", "batch", "sweep" };
        for (int change = 0; change < changes; ++change) {
            const std::vector<WorkerId> up = cluster.fleet.ids();
            const std::int64_t accelerators = static_cast<std::int64_t>(random() % 9);
            cluster.fleet.setCapacity(
                up[random() % up.size()], { accelerators * 4000, accelerators * 8000, accelerators });
            JobSpec job = oneStep(static_cast<int>(1 + random() % 6), static_cast<std::int64_t>(1 + random() % 4),
                Milliseconds(300 + static_cast<std::int64_t>(random() % 4000)), /*gang=*/random() % 2 == 0);
            job.steps[0].checkpointing = random() % 2 == 0;
            cluster.submit(queues[random() % 3], "j" + std::to_string(change), job);
            if (random() % 4 == 0)
                cluster.cancel("batch", "j" + std::to_string(random() % static_cast<unsigned>(change + 1)));
            cluster.world.run(Milliseconds(static_cast<std::int64_t>(random() % 500)));
        }
    }

} // namespace

// Guards against starts beyond the capacity of workers that start whatever they are told, while it shrinks and grows.
TEST_CASE("no start exceeds the capacity that a worker has shown, while it shrinks and grows")
{
    const unsigned seed = GENERATE(range(1u, 21u));
    CAPTURE(seed);
    SimCluster cluster(2);
    cluster.fleet.admitsAnything = true;
    for (const auto& instance : cluster.instances)
        instance->catalog.guardsCapacity = false;
    cluster.addWorkers(2, 4);
    cluster.world.run(Milliseconds(300));
    changeCapacities(cluster, seed, 120);
    CHECK(cluster.fleet.running() > 0);
    CHECK(joined(cluster.fleet.violations()) == "");
}

// Guards against starts beyond the capacity after starts were late or a new owner took over.
TEST_CASE("no start exceeds a changing capacity although starts are late and the owner is killed")
{
    const unsigned seed = GENERATE(range(1u, 21u));
    CAPTURE(seed);
    SimCluster cluster(3);
    cluster.fleet.admitsAnything = true;
    for (const auto& instance : cluster.instances)
        instance->catalog.guardsCapacity = false;
    cluster.fleet.lostCommandResponseShare = 0.1;
    cluster.addWorkers(2, 4);
    cluster.world.run(Milliseconds(300));
    changeCapacities(cluster, seed, 60);
    SimInstance* const owner = cluster.currentOwner();
    REQUIRE(owner != nullptr);
    owner->kill();
    cluster.addInstance();
    for (auto& instance : cluster.instances) {
        if (!instance->timers.killed) {
            std::swap(cluster.instances.front(), instance);
            break;
        }
    }
    for (const WorkerId& id : cluster.fleet.ids())
        cluster.fleet.setCapacity(id, { 16000, 32000, 3 });
    cluster.world.run(Milliseconds(20000));
    CHECK(joined(cluster.fleet.violations()) == "");
}

// Guards against work that never runs again on workers that have grown back.
TEST_CASE("work starts on a worker that has grown back")
{
    SimCluster cluster(2);
    cluster.fleet.admitsAnything = true;
    for (const auto& instance : cluster.instances)
        instance->catalog.guardsCapacity = false;
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(300));
    for (const WorkerId& id : cluster.fleet.ids())
        cluster.fleet.setCapacity(id, { 4000, 8000, 1 });
    cluster.world.run(Milliseconds(6000));
    cluster.submit("batch", "a1", oneStep(2, 8, Milliseconds(500), /*gang=*/true));
    cluster.world.run(Milliseconds(2000));
    CHECK(cluster.fleet.startsOf(JobId("a1")) == 0);
    for (const WorkerId& id : cluster.fleet.ids())
        cluster.fleet.setCapacity(id, { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(3000));
    CHECK(cluster.storedState("a1") == JobState::Completed);
    CHECK(joined(cluster.fleet.violations()) == "");
}

} // namespace rosemarylink::jobs
