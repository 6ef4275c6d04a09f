#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

namespace {

    SimCluster& started(SimCluster& cluster, int racks, int perRack)
    {
        cluster.addWorkers(racks, perRack);
        cluster.world.run(Milliseconds(1500));
        return cluster;
    }

} // namespace

// Guards against a second start while the first order may still be carried out.
TEST_CASE("orders without an answer that are carried out later never make two runs")
{
    SimCluster cluster(1);
    started(cluster, 2, 3);
    cluster.fleet.lateOrders = 0.2;
    for (int number = 0; number < 12; ++number)
        cluster.submit("batch", "a" + std::to_string(number), oneStep(3, 2, Milliseconds(700), number % 2 == 0));
    cluster.world.run(Milliseconds(20000));
    cluster.fleet.lateOrders = 0;
    cluster.world.run(Milliseconds(30000));
    CHECK(cluster.fleet.violations().empty());
    for (int number = 0; number < 12; ++number)
        REQUIRE(cluster.stored("a" + std::to_string(number)) == JobState::Completed);
}

// Guards against the waste seen on the bench: members that start from different checkpoints begin anew.
TEST_CASE("all members of a gang start from the same checkpoint")
{
    SimCluster cluster(1);
    started(cluster, 1, 2);
    JobSpec gang = oneStep(2, 8, Milliseconds(4000), /*gang=*/true);
    gang.steps[0].checkpointing = true;
    cluster.submit("batch", "g1", gang);
    cluster.world.run(Milliseconds(1000));
    cluster.submit("urgent", "u1", oneStep(1, 8, Milliseconds(500), /*gang=*/true));
    cluster.world.run(Milliseconds(15000));
    REQUIRE(cluster.stored("g1") == JobState::Completed);
    REQUIRE(cluster.fleet.checkpointsUsed.size() == 2);
    const auto value = [](const std::string& use) { return use.substr(use.find(' ')); };
    REQUIRE(value(cluster.fleet.checkpointsUsed[0]) == value(cluster.fleet.checkpointsUsed[1]));
}

// Guards against starting what a caller has cancelled, and against work that goes on.
TEST_CASE("a cancelled job stops and starts nothing more")
{
    SimCluster cluster(2);
    started(cluster, 1, 2);
    cluster.submit("batch", "c1", oneStep(20, 4, Milliseconds(1000), /*gang=*/false));
    cluster.world.run(Milliseconds(500));
    REQUIRE(cluster.cancel("batch", "c1", 1).outcome == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(1000));
    const int starts = cluster.fleet.startsOf(JobId("c1"));
    REQUIRE(cluster.fleet.running() == 0);
    cluster.world.run(Milliseconds(5000));
    REQUIRE(cluster.fleet.startsOf(JobId("c1")) == starts);
    REQUIRE(cluster.query("batch", "c1", 1).state == JobState::Cancelled);
    REQUIRE(cluster.cancel("batch", "c1", 1).outcome == AdmissionOutcome::NoJob);
}

// Guards against starting a step before those that it waits for are done.
TEST_CASE("steps start in the order of their dependencies")
{
    SimCluster cluster(1);
    started(cluster, 1, 2);
    JobSpec job = oneStep(2, 1, Milliseconds(1000), /*gang=*/false);
    job.steps.push_back(job.steps[0]);
    job.steps[1].after = { 0 };
    cluster.submit("batch", "s1", job);
    cluster.world.run(Milliseconds(900));
    REQUIRE(cluster.fleet.startsOf(JobId("s1")) == 2);
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.fleet.startsOf(JobId("s1")) == 4);
    REQUIRE(cluster.stored("s1") == JobState::Completed);
}

// Guards against new work on a worker that is leaving.
TEST_CASE("a draining worker gets no new work")
{
    SimCluster cluster(1);
    started(cluster, 1, 2);
    cluster.fleet.setEntry(WorkerId("w0-0"), true, /*draining=*/true);
    cluster.world.run(Milliseconds(1500));
    cluster.submit("batch", "d1", oneStep(2, 8, Milliseconds(1000), /*gang=*/false));
    cluster.world.run(Milliseconds(700));
    REQUIRE(cluster.fleet.running() == 1);
}

// Guards against a guaranteed job that waits behind borrowed work.
TEST_CASE("urgent guaranteed work preempts within the time to reclaim")
{
    SimCluster cluster(1);
    started(cluster, 1, 2);
    cluster.submit("sweep", "b1", oneStep(16, 1, Milliseconds(30000), /*gang=*/false));
    cluster.world.run(Milliseconds(1000));
    REQUIRE(cluster.fleet.running() == 16);
    cluster.submit("urgent", "u1", oneStep(2, 8, Milliseconds(1000), /*gang=*/true));
    cluster.world.run(Milliseconds(2000));
    REQUIRE(cluster.fleet.startsOf(JobId("u1")) == 2);
}

// Guards against a lost ownership that goes on giving orders.
TEST_CASE("an owner that is cut off from the store stops starting work before its lease ends")
{
    SimCluster cluster(2);
    started(cluster, 1, 2);
    SimInstance* const owner = cluster.currentOwner();
    REQUIRE(owner != nullptr);
    owner->store.cut = true;
    cluster.world.run(Milliseconds(1800));
    REQUIRE_FALSE(owner->ownership.valid());
    cluster.world.run(Milliseconds(4000));
    REQUIRE(cluster.currentOwner() != nullptr);
    REQUIRE(cluster.currentOwner() != owner);
}

// Guards against tasks that last and are taken as done or as failed for good.
TEST_CASE("tasks that last are started again however they end, until their job is cancelled")
{
    SimCluster cluster(2);
    started(cluster, 1, 2);
    JobSpec job = oneStep(2, 2, Milliseconds(1500), /*gang=*/false);
    job.steps[0].lasting = true;
    cluster.submit("batch", "s1", job);
    cluster.fleet.failuresLeft["s1.0.0"] = 6;
    cluster.world.run(Milliseconds(12000));
    CHECK(cluster.stored("s1") == JobState::Active);
    CHECK(cluster.fleet.running() == 2);
    CHECK(cluster.fleet.startsOf(JobId("s1")) >= 12);
    cluster.currentOwner()->kill();
    cluster.world.run(Milliseconds(6000));
    CHECK(cluster.fleet.running() == 2);
    cluster.cancel("batch", "s1", cluster.currentOwner() == cluster.instances[0].get() ? 0 : 1);
    cluster.world.run(Milliseconds(3000));
    CHECK(cluster.fleet.running() == 0);
    CHECK(cluster.stored("s1") == JobState::Cancelled);
    CHECK(cluster.fleet.violations().empty());
}

// Guards against stopping more lasting tasks than may be away.
TEST_CASE("tasks that must not be away do not yield to urgent work")
{
    SimCluster cluster(1);
    started(cluster, 1, 1);
    JobSpec job = oneStep(1, 8, Milliseconds(60000), /*gang=*/false);
    job.steps[0].lasting = true;
    job.steps[0].preemptible = false;
    cluster.submit("batch", "s1", job);
    cluster.world.run(Milliseconds(500));
    cluster.submit("urgent", "u1", oneStep(1, 8, Milliseconds(500), /*gang=*/true));
    cluster.world.run(Milliseconds(4000));
    CHECK(cluster.fleet.startsOf(JobId("s1")) == 1);
    CHECK(cluster.fleet.startsOf(JobId("u1")) == 0);
}

// Guards against a reserve for urgent work that keeps others waiting after urgent work has gone. A job with room counts
// as forgotten after 3 s.
TEST_CASE("work that needs all workers starts soon after the last urgent job")
{
    SimCluster cluster(1);
    started(cluster, 2, 8);
    cluster.submit("urgent", "u1", oneStep(8, 8, Milliseconds(1000), /*gang=*/true));
    cluster.world.run(Milliseconds(1500));
    cluster.submit("batch", "a1", oneStep(16, 8, Milliseconds(500), /*gang=*/true));
    cluster.world.run(Milliseconds(3000));
    CHECK(cluster.fleet.startsOf(JobId("a1")) == 16);
}

} // namespace rosemarylink::jobs
