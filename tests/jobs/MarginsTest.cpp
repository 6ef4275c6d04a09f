#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <utility>

namespace rosemarylink::jobs {

namespace {

    const WorkerId holder("w0-0"); // the worker on which the first run of the task is stopped

    // Adds workers that have room for what the holder loses.
    void addSpareWorkers(SimCluster& cluster)
    {
        for (const char* const name : { "spare-0", "spare-1" })
            cluster.fleet.add(WorkerId(name), "r1", { 32000, 64000, 8 });
    }

} // namespace

// Guards against two runs of a task at a time: a run whose stop had been accepted counted as stopped a few milliseconds
// after the longest stop, while its worker stood still in the middle of the stop.
TEST_CASE("a run whose worker stands still while it is being stopped does not run a second time")
{
    const bool confirmed = GENERATE(true, false);
    const int standsStillFor = GENERATE(300, 430, 600, 1000);
    CAPTURE(confirmed, standsStillFor);
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.instances[0]->faultyWorkers.faultFor = [&](WorkerCall call, const WorkerId& id) {
        if (call == WorkerCall::Stop && id == holder)
            cluster.world.after(Milliseconds(3),
                [&] { cluster.fleet.standStill(holder, Milliseconds(standsStillFor), Milliseconds(60)); });
        return CallFault::None;
    };
    cluster.fleet.lostCommandResponseShare = confirmed ? 0 : 1;
    cluster.submit("batch", "a0", oneStep(1, 8, Milliseconds(20000), /*gang=*/false));
    cluster.world.run(Milliseconds(confirmed ? 500 : 100));
    cluster.fleet.lostCommandResponseShare = 0;
    REQUIRE(cluster.fleet.runningOn(holder) == 1);
    cluster.submit("urgent", "u0", oneStep(1, 8, Milliseconds(20000), /*gang=*/false));
    addSpareWorkers(cluster);
    cluster.world.run(Milliseconds(60000));
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 2);
    CHECK(cluster.storedState("a0") == JobState::Completed);
    CHECK(cluster.fleet.violations().empty());
}

// Guards against two runs of a task at a time: a new owner took the runs on a worker for known a few milliseconds after
// the longest stop, while the worker stood still in the middle of a stop by the previous owner.
TEST_CASE("a new owner waits for a stop during which the worker stands still")
{
    const int standsStillFor = GENERATE(300, 430, 600, 1000);
    CAPTURE(standsStillFor);
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(1, 8, Milliseconds(20000), /*gang=*/false));
    cluster.world.run(Milliseconds(500));
    REQUIRE(cluster.fleet.runningOn(holder) == 1);
    addSpareWorkers(cluster);
    cluster.world.run(Milliseconds(2000));
    const FencingToken token = cluster.instances[0]->ownership.token();
    cluster.instances[0]->kill();
    SimInstance& next = cluster.addInstance();
    // A stop by the previous owner arrives just before the new owner's first poll.
    SimWorkerClient late(cluster.world, cluster.fleet);
    bool stopped = false;
    next.faultyWorkers.faultFor = [&](WorkerCall call, const WorkerId& id) {
        if (call == WorkerCall::Poll && id == holder && !std::exchange(stopped, true)) {
            late.stop(cluster.fleet.entry(holder), { JobId("a0"), 0, 0, 0 }, 1, token, [](const CommandResponse&) {});
            cluster.world.after(Milliseconds(3),
                [&] { cluster.fleet.standStill(holder, Milliseconds(standsStillFor), Milliseconds(60)); });
        }
        return CallFault::None;
    };
    cluster.world.run(Milliseconds(60000));
    CHECK(stopped);
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 2);
    CHECK(cluster.storedState("a0") == JobState::Completed);
    CHECK(cluster.fleet.violations().empty());
}

} // namespace rosemarylink::jobs
