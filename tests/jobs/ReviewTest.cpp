#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

// Guards against a task that waits for hours: the end of a lease that a restarted worker was granted on the clock of
// its earlier process was read on the new process's clock, which starts anew.
TEST_CASE("the lease of a worker that has restarted is not measured on the clock of its earlier process")
{
    const int uptime = GENERATE(5000, 60000, 200000);
    const int downFor = GENERATE(300, 700, 1500);
    CAPTURE(uptime, downFor);
    const WorkerId worker("w0-0");
    const WorkerId spare("spare");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(uptime));
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(2000));
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    cluster.fleet.crashFor(worker, Milliseconds(downFor));
    for (int turn = 0; turn < 200 && cluster.fleet.startsOf(JobId("a0")) < 2; ++turn)
        cluster.world.run(Milliseconds(100));
    REQUIRE(cluster.fleet.startsOf(JobId("a0")) == 2);
    cluster.world.run(Milliseconds(2000));
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    cluster.fleet.silent = { worker };
    cluster.fleet.add(spare, "r0", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(16000));
    CHECK(cluster.fleet.runningOn(spare) == 1);
    CHECK(cluster.fleet.violations().empty());
}

} // namespace rosemarylink::jobs
