#include "SimCluster.h"

#include <catch2/catch.hpp>

// The failures that operators of similar systems reported. docs/incidents/README.md names the test for each.
namespace rosemarylink::jobs {

namespace {

    SimCluster& startWorkers(SimCluster& cluster, int racks, int perRack)
    {
        cluster.addWorkers(racks, perRack);
        cluster.world.run(Milliseconds(1500));
        return cluster;
    }

    std::size_t indexOf(const SimCluster& cluster, const SimInstance* instance)
    {
        std::size_t index = 0;
        while (cluster.instances.at(index).get() != instance)
            ++index;
        return index;
    }

} // namespace

// Guards against giving up or repeating the work of a worker that was only silent for a while.
TEST_CASE("runs of a worker that is silent for less than its lease continue")
{
    SimCluster cluster(2);
    startWorkers(cluster, 1, 2);
    cluster.submit("batch", "a1", oneStep(2, 8, Milliseconds(9000), /*gang=*/true));
    cluster.world.run(Milliseconds(1000));
    cluster.fleet.silent = { WorkerId("w0-0"), WorkerId("w0-1") };
    cluster.world.run(Milliseconds(3500));
    cluster.fleet.silent.clear();
    cluster.world.run(Milliseconds(8000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.startsOf(JobId("a1")) == 2);
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against the opposite fault: lease renewals that never arrive made the owner wait for a silent worker for as
// long as the silence lasted, although its runs had ended with their lease.
TEST_CASE("runs of a worker that stays silent start elsewhere once their lease has expired")
{
    SimCluster cluster(1);
    startWorkers(cluster, 1, 2);
    cluster.submit("batch", "a1", oneStep(1, 8, Milliseconds(5000), /*gang=*/false));
    cluster.world.run(Milliseconds(500));
    const bool onFirst = cluster.fleet.runningOn(WorkerId("w0-0")) == 1;
    cluster.fleet.silent = { WorkerId(onFirst ? "w0-0" : "w0-1") };
    cluster.world.run(Milliseconds(20000));
    CHECK(cluster.fleet.violations().empty());
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against commands of two owners around a hand-over, and against an owner that acts on a lease which ran out
// while its process was paused.
TEST_CASE("an owner that was paused beyond its lease sends no command when it resumes")
{
    const Milliseconds pause(GENERATE(1700, 2500, 6000, 9000));
    SimCluster cluster(2);
    startWorkers(cluster, 1, 4);
    for (int number = 0; number < 4; ++number)
        cluster.submit("batch", "a" + std::to_string(number), oneStep(3, 4, Milliseconds(4000), number % 2 == 0));
    cluster.world.run(Milliseconds(300));
    SimInstance* const owner = cluster.currentOwner();
    REQUIRE(owner != nullptr);
    cluster.submit("urgent", "u1", oneStep(2, 8, Milliseconds(500), /*gang=*/true), 1 - indexOf(cluster, owner));
    owner->pause(pause);
    cluster.world.run(Milliseconds(40000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.staleCommands == 0);
    for (const std::string id : { "a0", "a1", "a2", "a3", "u1" })
        CHECK(cluster.storedState(id) == JobState::Completed);
}

// Guards against using a worker that left before the owner's process was replaced.
TEST_CASE("a new owner gives no work to a worker that has left")
{
    SimCluster cluster(2);
    startWorkers(cluster, 1, 2);
    cluster.fleet.setEntry(WorkerId("w0-0"), /*listed=*/false);
    cluster.currentOwner()->kill();
    cluster.addInstance();
    cluster.world.run(Milliseconds(12000));
    cluster.submit("batch", "a1", oneStep(4, 8, Milliseconds(500), /*gang=*/false), 2);
    for (int turn = 0; turn < 40; ++turn) {
        cluster.world.run(Milliseconds(100));
        REQUIRE(cluster.fleet.runningOn(WorkerId("w0-0")) == 0);
    }
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against accepting a withdrawn key after a restart.
TEST_CASE("an instance that restarts refuses a key that has been withdrawn")
{
    SimCluster cluster(2);
    startWorkers(cluster, 1, 2);
    const JobSpec job = oneStep(1, 1, Milliseconds(500), /*gang=*/false);
    REQUIRE(cluster.submit("batch", "a1", job, 1).outcome == AdmissionOutcome::Accepted);
    cluster.putConfiguration("another-key");
    cluster.instances[1]->kill();
    cluster.addInstance();
    for (int turn = 0; turn < 30; ++turn) {
        cluster.world.run(Milliseconds(20));
        const AdmissionOutcome outcome = cluster.submit("batch", "b" + std::to_string(turn), job, 2).outcome;
        REQUIRE((outcome == AdmissionOutcome::NoKey || outcome == AdmissionOutcome::NotRun));
    }
}

// Guards against one malformed record that ends or blocks a process.
TEST_CASE("malformed records in the store affect nothing but themselves")
{
    SimCluster cluster(2);
    startWorkers(cluster, 1, 2);
    for (const std::string value : { "", "{", "[]", "null", "\xff", R"({"state":7})", R"({"steps":"x"})" }) {
        cluster.store.put(keys::job(JobId("bad")), value);
        cluster.store.put(keys::progress(JobId("bad2")), value);
        cluster.store.put(keys::cancellation(JobId("bad3")), value);
        cluster.store.put("workers/bad", value);
        cluster.world.run(Milliseconds(300));
        cluster.currentOwner()->kill();
        cluster.addInstance();
        cluster.world.run(Milliseconds(9000));
        REQUIRE(cluster.currentOwner() != nullptr);
    }
    const std::size_t last = cluster.instances.size() - 1;
    cluster.submit("batch", "a1", oneStep(2, 8, Milliseconds(500), /*gang=*/true), last);
    cluster.world.run(Milliseconds(5000));
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

} // namespace rosemarylink::jobs
