#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

// Guards against two runs of a task at a time: a poll of a worker that had been removed was taken for one of the worker
// that was registered under the same id later, and its failure took an extension of that one's lease back.
TEST_CASE("the response to a poll of a removed worker says nothing about the one that is registered again")
{
    const int startsBefore = GENERATE(0, 1);
    const int runsFor = GENERATE(range(400, 8000, 300));
    CAPTURE(startsBefore, runsFor);
    const WorkerId worker("w0-0");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    if (startsBefore > 0)
        cluster.submit("batch", "b0", oneStep(startsBefore, 1, Milliseconds(300), /*gang=*/false));
    cluster.world.run(Milliseconds(3000)); // the worker is known to have survived the start
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    const Milliseconds cutAt = cluster.world.now();
    const Milliseconds cutAgainAt = cutAt + Milliseconds(14000 + runsFor);
    // The failures of the polls during the first cut arrive before the second one.
    cluster.instances[0]->faultyWorkers.delayFor = [&](WorkerCall call, const WorkerId&) {
        const Milliseconds since = cluster.world.now() - cutAt;
        const bool late = call == WorkerCall::Poll && since > Milliseconds(0) && since < Milliseconds(8000);
        return late ? cutAgainAt - cluster.world.now() - Milliseconds(800) : Milliseconds(0);
    };
    cluster.fleet.silent = { worker };
    cluster.fleet.setEntry(worker, /*listed=*/false);
    cluster.world.run(Milliseconds(12000));
    cluster.fleet.silent.clear();
    cluster.fleet.setEntry(worker, /*listed=*/true);
    cluster.world.run(cutAgainAt - cluster.world.now());
    REQUIRE(cluster.fleet.startsOf(JobId("a0")) == 2);
    cluster.fleet.silent = { worker };
    cluster.fleet.add(WorkerId("spare"), "r0", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(15000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 3);
}

} // namespace rosemarylink::jobs
