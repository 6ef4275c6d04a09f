#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <random>
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

// Guards against a task that never runs again, and room that stays taken, because the end of its stopped run was
// discarded before the owner saw it.
TEST_CASE("a task starts again although the end of its stopped run is never listed")
{
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(1, 8, Milliseconds(5000), /*gang=*/false));
    cluster.world.run(Milliseconds(500));
    REQUIRE(cluster.fleet.runningOn(holder) == 1);
    cluster.instances[0]->faultyWorkers.changeReport = [](const WorkerId& id, WorkerReport& report) {
        if (id == holder)
            report.ended.clear();
    };
    cluster.submit("urgent", "u0", oneStep(1, 8, Milliseconds(20000), /*gang=*/false));
    addSpareWorkers(cluster);
    cluster.world.run(Milliseconds(5500));
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 1);
    cluster.world.run(Milliseconds(4500));
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 2);
    cluster.world.run(Milliseconds(10000));
    CHECK(cluster.storedState("a0") == JobState::Completed);
    CHECK(cluster.fleet.violations() == std::vector<std::string>());
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

// Guards against two runs of a task at a time: the lease of a start on a worker whose clock had last been read long ago
// ended later than the owner's limit allows, so that a new owner did not wait for a start that was carried out late.
TEST_CASE("a late start by the previous owner on a worker that had been idle has no lease beyond a new owner's wait")
{
    const int idleFor = GENERATE(10000, 60000, 120000, 250000);
    const int lateBy = GENERATE(600, 1500, 4000);
    CAPTURE(idleFor, lateBy);
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(idleFor));
    cluster.fleet.delayedCommandShare = 1;
    cluster.fleet.commandDelay = Milliseconds(lateBy);
    cluster.submit("batch", "a0", oneStep(1, 8, Milliseconds(20000), /*gang=*/false));
    cluster.world.run(Milliseconds(100));
    cluster.fleet.silent = { holder };
    cluster.instances[0]->ownership.resign();
    cluster.instances[0]->owner.end();
    cluster.instances[0]->kill();
    cluster.fleet.delayedCommandShare = 0;
    addSpareWorkers(cluster);
    cluster.addInstance();
    cluster.world.run(Milliseconds(60000));
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 2);
    CHECK(cluster.storedState("a0") == JobState::Completed);
    CHECK(cluster.fleet.violations() == std::vector<std::string>());
}

// Guards against work that waits for a worker whose clock had last been read so long ago that the lease of its first
// start command is over on that clock.
TEST_CASE("work starts at once on a worker that has been idle for minutes")
{
    const int idleFor = GENERATE(250000, 400000);
    CAPTURE(idleFor);
    SimFleet::Options options;
    options.clockRate = 1;
    SimCluster cluster(1, options);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(idleFor));
    int commands = 0;
    cluster.instances[0]->faultyWorkers.faultFor = [&commands](WorkerCall call, const WorkerId&) {
        commands += call == WorkerCall::Start ? 1 : 0;
        return CallFault::None;
    };
    cluster.submit("batch", "a0", oneStep(1, 8, Milliseconds(20000), /*gang=*/false));
    cluster.world.run(Milliseconds(150));
    CHECK(cluster.fleet.runningOn(holder) == 1);
    CHECK(commands == (idleFor > 300000 ? 2 : 1)); // the first one is refused as late
    cluster.world.run(Milliseconds(25000));
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 1);
    CHECK(cluster.storedState("a0") == JobState::Completed);
}

// Guards against two runs of a task at a time: a worker that was cut off from its owner and got little processor time
// ended its runs a moment after its lease, when they had started elsewhere.
TEST_CASE("runs that a cut-off worker ends a little late, when its lease is over, do not run a second time meanwhile")
{
    const int late = GENERATE(50, 100, 200, 240);
    const double clockRate = GENERATE(0.98, 0.985);
    CAPTURE(late, clockRate);
    SimFleet::Options options;
    options.clockRate = clockRate;
    SimCluster cluster(1, options);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(1, 8, Milliseconds(20000), /*gang=*/false));
    cluster.world.run(Milliseconds(1000));
    REQUIRE(cluster.fleet.runningOn(holder) == 1);
    addSpareWorkers(cluster);
    cluster.fleet.silent = { holder };
    cluster.world.run(Milliseconds(4000));
    const Milliseconds leaseEnd = cluster.fleet.leaseEnd(holder);
    REQUIRE(leaseEnd > cluster.world.now());
    cluster.world.run(leaseEnd - cluster.world.now() - Milliseconds(1));
    REQUIRE(cluster.fleet.runningOn(holder) == 1);
    cluster.fleet.standStill(holder, Milliseconds(late), Milliseconds(1));
    cluster.world.run(Milliseconds(60000));
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 2);
    CHECK(cluster.storedState("a0") == JobState::Completed);
    CHECK(cluster.fleet.violations() == std::vector<std::string>());
}

// Guards against decisions that take the time at which a response is handled for that at which it was made, in plays in
// which the owner and the workers get little processor time: responses are handled seconds late, the owner stands
// still, and workers that are cut off come back around the end of their leases.
TEST_CASE("no task runs twice while the owner and the workers get little processor time")
{
    const int seed = GENERATE(range(1, 25));
    const int instances = GENERATE(1, 2);
    CAPTURE(seed, instances);
    std::mt19937 random(static_cast<unsigned>(seed));
    const auto draw = [&random](int from, int to) { return std::uniform_int_distribution<>(from, to)(random); };
    SimCluster cluster(instances);
    cluster.addWorkers(2, 3);
    cluster.world.run(Milliseconds(3000));
    for (const auto& instance : cluster.instances) {
        instance->faultyWorkers.delayFor = [&](WorkerCall, const WorkerId&) {
            return Milliseconds(draw(0, 4) == 0 ? draw(200, 2500) : draw(0, 30));
        };
    }
    const auto anyWorker
        = [&draw] { return WorkerId("w" + std::to_string(draw(0, 1)) + "-" + std::to_string(draw(0, 2))); };
    for (int turn = 0; turn < 120; ++turn) {
        const std::string id = "j" + std::to_string(turn);
        const bool urgent = draw(0, 3) == 0;
        cluster.submit(urgent ? "urgent" : "batch", id,
            oneStep(draw(1, 6), draw(1, 4), Milliseconds(draw(150, 2500)), /*gang=*/false), 0, Milliseconds(4900));
        if (turn % 3 == 0)
            cluster.fleet.standStill(anyWorker(), Milliseconds(draw(100, 1500)), Milliseconds(draw(1, 300)));
        if (turn % 7 == 0) {
            if (SimInstance* const owner = cluster.currentOwner())
                owner->pause(Milliseconds(draw(100, 1500)));
        }
        if (turn % 10 == 0) {
            const WorkerId cutOff = anyWorker();
            cluster.fleet.silent.insert(cutOff);
            cluster.world.after(
                Milliseconds(draw(500, 8500)), [&cluster, cutOff] { cluster.fleet.silent.erase(cutOff); });
        }
        cluster.world.run(Milliseconds(draw(50, 700)));
    }
    cluster.world.run(Milliseconds(60000));
    CHECK(cluster.fleet.violations() == std::vector<std::string>());
}

} // namespace rosemarylink::jobs
