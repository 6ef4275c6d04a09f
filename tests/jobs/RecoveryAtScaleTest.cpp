#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

namespace {

    // The store lease of the instances that were killed.
    constexpr Milliseconds leaseTime { 1500 };

    // The time within which guaranteed work must start on the users' platform.
    constexpr Milliseconds reclaimTime { 2900 };

    constexpr int racks = 27;
    constexpr int workersPerRack = 20;
    constexpr int tasksOfJob = 40;

    // A cluster of 540 workers in which jobs of low priority use every accelerator.
    void fill(SimCluster& cluster)
    {
        cluster.addWorkers(racks, workersPerRack);
        cluster.world.run(Milliseconds(3000));
        for (int number = 0; number < racks * workersPerRack * 8 / tasksOfJob; ++number)
            cluster.submit(
                "sweep", "s" + std::to_string(number), oneStep(tasksOfJob, 1, Milliseconds(30000), /*gang=*/false));
        cluster.world.run(Milliseconds(3000));
        REQUIRE(cluster.fleet.running() == racks * workersPerRack * 8);
    }

} // namespace

// Guards against a takeover whose length grows with the fleet, so that guaranteed work waits for the recovery of all
// workers after a loss of power.
TEST_CASE("guaranteed work starts in time after all instances of a full fleet of 540 workers were killed")
{
    SimCluster cluster(2);
    fill(cluster);
    for (const auto& instance : cluster.instances)
        instance->kill();
    cluster.world.run(Milliseconds(500));
    cluster.addInstance();
    const Milliseconds restartedAt = cluster.world.now();
    REQUIRE(cluster.submit("urgent", "u1", oneStep(2, 8, Milliseconds(1000), /*gang=*/true), 2).outcome
        == AdmissionOutcome::Accepted);
    while (cluster.fleet.startsOf(JobId("u1")) < 2 && cluster.world.now() - restartedAt < leaseTime + reclaimTime)
        cluster.world.run(Milliseconds(10));
    CHECK(cluster.fleet.startsOf(JobId("u1")) == 2);
    // The new owner adopts what has run on meanwhile: only what was preempted starts again.
    cluster.world.run(Milliseconds(40000));
    int restarts = 0;
    for (int number = 0; number < racks * workersPerRack * 8 / tasksOfJob; ++number)
        restarts += cluster.fleet.startsOf(JobId("s" + std::to_string(number))) - tasksOfJob;
    CHECK(restarts <= 16);
    CHECK(cluster.fleet.violations().empty());
}

// Guards against work that stays unplaced after the owner is lost together with a part of the fleet, while the store is
// slow.
TEST_CASE("all work runs again after the owner and 96 of 540 workers restarted beside a slow store")
{
    SimCluster cluster(2);
    fill(cluster);
    const std::size_t owner = cluster.currentOwner() == cluster.instances[0].get() ? 0 : 1;
    cluster.store.oneWayLatency = Milliseconds(150);
    for (int number = 0; number < 96; ++number)
        cluster.fleet.crash(WorkerId("w" + std::to_string(number % racks) + "-" + std::to_string(number / racks)));
    cluster.instances[owner]->kill();
    cluster.world.run(Milliseconds(1000));
    for (int number = 0; number < 96; ++number)
        cluster.fleet.restart(WorkerId("w" + std::to_string(number % racks) + "-" + std::to_string(number / racks)));
    const Milliseconds restartedAt = cluster.world.now();
    while (
        cluster.fleet.running() < racks * workersPerRack * 8 && cluster.world.now() - restartedAt < Milliseconds(12000))
        cluster.world.run(Milliseconds(100));
    CHECK(cluster.fleet.running() == racks * workersPerRack * 8);
    CHECK(cluster.fleet.violations().empty());
}

} // namespace rosemarylink::jobs
