#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

// Guards against two runs of a task at a time: a start that waited behind others extended the lease of a worker after
// the fleet record had limited it, and the next owner did not wait for the extension.
TEST_CASE("a start that waited in the queue does not extend a lease that the fleet record limits")
{
    const int pollsLostFor = GENERATE(1200, 1500, 1800, 2200);
    const int blockedFor = GENERATE(3200, 3500, 3800);
    CAPTURE(pollsLostFor, blockedFor);
    const WorkerId silent("x");
    SimCluster cluster(2);
    cluster.addWorkers(4, 10);
    cluster.fleet.add(silent, "rx", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(3000));
    JobSpec pinned = oneStep(1, 1, Milliseconds(90000), /*gang=*/false);
    pinned.steps[0].workerLabel = "rx";
    cluster.submit("batch", "p0", pinned);
    cluster.world.run(Milliseconds(1000));
    REQUIRE(cluster.fleet.runningOn(silent) == 1);
    // Polls of the worker are lost, its commands are not.
    SimInstance* const owner = cluster.currentOwner();
    bool losesPolls = true;
    owner->faultyWorkers.faultFor = [&](WorkerCall call, const WorkerId& id) {
        if (losesPolls && call == WorkerCall::Poll && id == silent) {
            cluster.fleet.silent.insert(silent);
            cluster.world.after(Milliseconds(3), [&] {
                if (losesPolls)
                    cluster.fleet.silent.erase(silent);
            });
        }
        return CallFault::None;
    };
    cluster.world.run(Milliseconds(pollsLostFor));
    // Commands without a response fill the command window, so that starts wait in the queue.
    cluster.fleet.delayedCommandShare = 1;
    cluster.fleet.commandDelay = Milliseconds(200000);
    for (int rack = 0; rack < 4; ++rack) {
        JobSpec filling = oneStep(72, 1, Milliseconds(40000), /*gang=*/false);
        filling.steps[0].workerLabel = "r" + std::to_string(rack);
        cluster.submit("batch", "a" + std::to_string(rack), filling);
    }
    cluster.submit("batch", "b4", oneStep(7, 1, Milliseconds(40000), /*gang=*/false));
    cluster.world.run(Milliseconds(blockedFor));
    cluster.fleet.delayedCommandShare = 0;
    for (int waited = 0; waited < 600 && cluster.fleet.startsOf(JobId("b4")) == 0; waited += 2)
        cluster.world.run(Milliseconds(2));
    losesPolls = false;
    cluster.fleet.silent = { silent };
    cluster.world.run(Milliseconds(20));
    owner->ownership.resign();
    owner->owner.end();
    cluster.addInstance();
    cluster.world.run(Milliseconds(20000));
    CHECK(cluster.fleet.violations().empty());
}

// Guards against all accepted jobs standing still after a takeover because of a worker without runs, which is not
// polled and so may be gone unnoticed.
TEST_CASE("a takeover does not wait for a silent worker that had been idle")
{
    const int silentBefore = GENERATE(500, 15000);
    CAPTURE(silentBefore);
    SimCluster cluster(2);
    cluster.addWorkers(2, 4);
    cluster.world.run(Milliseconds(3000));
    JobSpec job = oneStep(4, 1, Milliseconds(700), /*gang=*/false);
    job.steps[0].workerLabel = "r1";
    for (int number = 1; number < 60; ++number) {
        job.steps.push_back(job.steps.front());
        job.steps.back().dependencies = { number - 1 };
    }
    cluster.submit("batch", "a0", job);
    cluster.world.run(Milliseconds(9000));
    cluster.fleet.silent = { WorkerId("w0-0") };
    cluster.world.run(Milliseconds(silentBefore));
    REQUIRE(cluster.currentOwner() != nullptr);
    cluster.currentOwner()->kill();
    cluster.addInstance();
    const int startsBefore = cluster.fleet.startsOf(JobId("a0"));
    cluster.world.run(Milliseconds(3500));
    CHECK(cluster.fleet.startsOf(JobId("a0")) > startsBefore);
    CHECK(cluster.fleet.violations().empty());
}

// Guards against work that waits for workers which the fleet record calls idle.
TEST_CASE("a job that needs idle workers starts on them at once")
{
    SimCluster cluster(1);
    cluster.addWorkers(2, 4);
    cluster.world.run(Milliseconds(20000));
    cluster.submit("urgent", "u0", oneStep(8, 8, Milliseconds(500), /*gang=*/true));
    cluster.world.run(Milliseconds(150));
    CHECK(cluster.fleet.startsOf(JobId("u0")) == 8);
}

// Guards against lost runs of a worker that was silent for a moment while the store accepted no writes.
TEST_CASE("runs of a worker that responds again continue although the store refuses writes")
{
    const int silentFor = GENERATE(400, 2000, 2400, 2800);
    CAPTURE(silentFor);
    SimCluster cluster(2);
    cluster.addWorkers(2, 2);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(32, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.fleet.runningOn(WorkerId("w0-0")) == 8);
    cluster.store.refusesWrites = true;
    cluster.fleet.silent = { WorkerId("w0-0") };
    cluster.world.run(Milliseconds(silentFor));
    cluster.fleet.silent.clear();
    cluster.world.run(Milliseconds(10000));
    CHECK(cluster.fleet.runningOn(WorkerId("w0-0")) == 8);
    REQUIRE(cluster.currentOwner() != nullptr);
}

// Guards against a store that is flooded with writes of the fleet record while it refuses them.
TEST_CASE("a refused write of the fleet record is repeated no more than seven times a second")
{
    SimCluster cluster(1);
    cluster.addWorkers(2, 2);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(32, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(3000));
    int writes = 0;
    cluster.currentOwner()->faultyStore.faultFor = [&writes](StoreCall call, const std::string& key) {
        writes += call == StoreCall::Commit && key == keys::fleet ? 1 : 0;
        return CallFault::None;
    };
    cluster.store.refusesWrites = true;
    cluster.fleet.silent = { WorkerId("w0-0") };
    cluster.world.run(Milliseconds(10000));
    CHECK(writes > 0);
    CHECK(writes <= 70);
}

} // namespace rosemarylink::jobs
