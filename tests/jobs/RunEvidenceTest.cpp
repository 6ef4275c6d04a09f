#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

// Guards against two runs of a task at a time: a worker that was cut off from the instances and from the store counted
// as ended because no connection to it could be established and its registration had expired.
TEST_CASE("tasks of a worker that is cut off from the store and all instances start elsewhere only after its lease")
{
    const bool resets = GENERATE(false, true);
    const bool draining = GENERATE(false, true);
    const int unlistedAfter = GENERATE(0, 1500, 4500);
    const int cutFor = GENERATE(5500, 30000);
    CAPTURE(resets, draining, unlistedAfter, cutFor);
    SimCluster cluster(2);
    cluster.addWorkers(2, 2);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(16, 1, Milliseconds(9000), /*gang=*/false));
    cluster.world.run(Milliseconds(1000));
    const WorkerId worker("w0-0");
    REQUIRE(cluster.fleet.runningOn(worker) > 0);
    cluster.fleet.setEntry(worker, /*listed=*/true, draining);
    cluster.world.run(Milliseconds(1200));
    cluster.fleet.cutResets = resets;
    cluster.fleet.silent = { worker };
    cluster.world.run(Milliseconds(unlistedAfter));
    cluster.fleet.setEntry(worker, /*listed=*/false);
    cluster.world.run(Milliseconds(cutFor - unlistedAfter));
    cluster.fleet.silent.clear();
    cluster.fleet.setEntry(worker, /*listed=*/true);
    cluster.world.run(Milliseconds(30000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.storedState("a0") == JobState::Completed);
}

// Guards against waiting for extensions of a lease that a crashed worker never received: its tasks started again only
// after a lease that counted from the last attempt to renew it.
TEST_CASE("tasks of a worker that has ended for good start elsewhere one lease after its last response")
{
    SimCluster cluster(1);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(16, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.fleet.startsOf(JobId("a0")) == 16);
    cluster.fleet.crashFor(WorkerId("w0-0"), Milliseconds(1000000));
    const Milliseconds crashedAt = cluster.world.now();
    cluster.fleet.add(WorkerId("spare"), "r0", { 32000, 64000, 8 });
    while (cluster.fleet.startsOf(JobId("a0")) == 16 && cluster.world.now() < crashedAt + Milliseconds(20000))
        cluster.world.run(Milliseconds(10));
    CHECK(cluster.world.now() - crashedAt <= Milliseconds(6300));
    CHECK(cluster.fleet.violations().empty());
}

} // namespace rosemarylink::jobs
