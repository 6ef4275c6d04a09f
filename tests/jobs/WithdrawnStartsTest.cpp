#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

namespace {

    // Makes an owner whose start commands are queued: more tasks are placed than commands may be on their way, and the
    // responses to the first commands arrive late.
    void queueStarts(SimCluster& cluster, const std::string& job, bool gang)
    {
        cluster.addWorkers(/*racks=*/2, /*perRack=*/4);
        cluster.world.run(Milliseconds(1500));
        cluster.currentOwner()->faultyWorkers.delayFor
            = [](WorkerCall call, const WorkerId&) { return Milliseconds(call == WorkerCall::Start ? 1500 : 0); };
        cluster.submit("batch", job, oneStep(200, 0, Milliseconds(6000), gang));
        cluster.world.run(Milliseconds(100));
        cluster.currentOwner()->faultyWorkers.delayFor = nullptr;
    }

    // A worker to which all starts are still queued.
    WorkerId withoutRuns(const SimCluster& cluster)
    {
        for (const WorkerId& id : cluster.fleet.ids()) {
            if (cluster.fleet.runningOn(id) == 0)
                return id;
        }
        FAIL("all workers have runs");
        return {};
    }

} // namespace

// Guards against sending a queued start although its worker has begun to drain since the start was planned. The
// platform forbids starts on a worker some time after its registration says that it drains.
TEST_CASE("a queued start is not sent to a worker that has begun to drain meanwhile")
{
    const bool gang = GENERATE(false, true);
    CAPTURE(gang);
    SimCluster cluster(1);
    queueStarts(cluster, "d1", gang);
    const WorkerId worker = withoutRuns(cluster);
    cluster.fleet.setEntry(worker, /*listed=*/true, /*draining=*/true);
    for (int step = 0; step < 300; ++step) {
        cluster.world.run(Milliseconds(100));
        REQUIRE(cluster.fleet.runningOn(worker) == 0);
    }
    CHECK(cluster.fleet.violations().empty());
    REQUIRE(cluster.storedState("d1") == JobState::Completed);
}

// Guards against repeating a start command without a response on a worker that drains: the earlier command may not have
// been executed, so that the repeated one would start the run.
TEST_CASE("a start command without a response is not repeated on a worker that has begun to drain")
{
    SimCluster cluster(1);
    cluster.addWorkers(/*racks=*/1, /*perRack=*/2);
    cluster.world.run(Milliseconds(1500));
    const WorkerId worker("w0-0");
    int attempts = 0;
    // No command gets a response, and the worker begins to drain after the first one.
    cluster.currentOwner()->faultyWorkers.faultFor = [&](WorkerCall call, const WorkerId& id) {
        attempts += call == WorkerCall::Start && id == worker ? 1 : 0;
        return CallFault::None;
    };
    cluster.fleet.delayedCommandShare = 1;
    cluster.fleet.commandDelay = Milliseconds(60000);
    // The first command is sent 300 ms before the owner lists the workers, and times out 200 ms after that.
    std::map<std::string, int>& lists = cluster.currentOwner()->store.lists;
    for (const int known = lists["workers/"]; lists["workers/"] == known;)
        cluster.world.run(Milliseconds(5));
    cluster.world.run(Milliseconds(700));
    cluster.submit("batch", "d1", oneStep(2, 8, Milliseconds(1000), /*gang=*/false));
    cluster.fleet.setEntry(worker, /*listed=*/true, /*draining=*/true);
    cluster.world.run(Milliseconds(450));
    cluster.fleet.delayedCommandShare = 0;
    const int attemptsBefore = attempts;
    REQUIRE(attemptsBefore == 1);
    cluster.world.run(Milliseconds(20000));
    CHECK(attempts == attemptsBefore);
    CHECK(cluster.fleet.violations().empty());
    REQUIRE(cluster.storedState("d1") == JobState::Completed);
}

} // namespace rosemarylink::jobs
