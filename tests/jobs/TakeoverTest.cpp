#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

namespace {

    void killOwner(SimCluster& cluster)
    {
        SimInstance* const owner = cluster.currentOwner();
        REQUIRE(owner != nullptr);
        owner->kill();
    }

    std::string joined(const std::vector<std::string>& lines)
    {
        std::string text;
        for (const std::string& line : lines)
            text += line + "\n";
        return text;
    }

} // namespace

// Guards against losing or repeating running work when the owner dies.
TEST_CASE("a new owner adopts what runs")
{
    SimCluster cluster(3);
    cluster.addWorkers(2, 2);
    cluster.world.run(Milliseconds(300));
    cluster.submit("batch", "a1", oneStep(4, 8, Milliseconds(6000), /*gang=*/true), 2);
    cluster.world.run(Milliseconds(1000));
    REQUIRE(cluster.fleet.running() == 4);
    killOwner(cluster);
    cluster.world.run(Milliseconds(12000));
    CHECK(joined(cluster.fleet.violations()).empty());
    REQUIRE(cluster.stored("a1") == JobState::Completed);
    REQUIRE(cluster.fleet.startsOf(JobId("a1")) == 4);
}

// Guards against the first TWICE seen on the bench: a run that is being stopped is not listed, and the new owner
// started its task elsewhere before it had ended.
TEST_CASE("a new owner waits for stops of the earlier owner")
{
    SimFleet::Options options;
    options.stopTime = Milliseconds(400);
    SimCluster cluster(2, options);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(300));
    // The urgent job takes all room, so the batch job's tasks are stopped and wait.
    JobSpec batch = oneStep(2, 8, Milliseconds(20000), /*gang=*/false);
    cluster.submit("batch", "a1", batch);
    cluster.world.run(Milliseconds(500));
    cluster.submit("urgent", "u1", oneStep(1, 8, Milliseconds(500), /*gang=*/true));
    cluster.world.run(Milliseconds(20));
    SimInstance* const owner = cluster.currentOwner();
    REQUIRE(owner != nullptr);
    owner->ownership.leave();
    owner->owner.end();
    cluster.fleet.add(WorkerId("w-new"), "r0", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(30000));
    CHECK(joined(cluster.fleet.violations()).empty());
    REQUIRE(cluster.stored("a1") == JobState::Completed);
    REQUIRE(cluster.stored("u1") == JobState::Completed);
}

// Guards against the second TWICE seen on the bench: the lease of adopted runs was taken as over at once.
TEST_CASE("adopted runs on a worker that then goes silent are not repeated before their lease is over")
{
    SimCluster cluster(2);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(300));
    cluster.submit("batch", "a1", oneStep(1, 1, Milliseconds(9000), /*gang=*/false));
    cluster.world.run(Milliseconds(500));
    killOwner(cluster);
    // The new owner's first call is answered, then the workers fall silent and run on.
    while (!cluster.currentOwner())
        cluster.world.run(Milliseconds(5));
    cluster.world.run(Milliseconds(60));
    cluster.fleet.silent = { WorkerId("w0-0"), WorkerId("w0-1") };
    cluster.world.run(Milliseconds(4000));
    cluster.fleet.silent.clear();
    cluster.world.run(Milliseconds(20000));
    CHECK(joined(cluster.fleet.violations()).empty());
    REQUIRE(cluster.stored("a1") == JobState::Completed);
}

// Guards against repeating what a worker runs that does not answer the new owner at all.
TEST_CASE("a silent worker's tasks wait until its lease is over on a slow clock")
{
    SimCluster cluster(2);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(300));
    cluster.submit("batch", "a1", oneStep(2, 5, Milliseconds(8000), /*gang=*/false));
    cluster.world.run(Milliseconds(500));
    cluster.fleet.silent = { WorkerId("w0-0") };
    killOwner(cluster);
    cluster.world.run(Milliseconds(30000));
    CHECK(joined(cluster.fleet.violations()).empty());
    REQUIRE(cluster.stored("a1") == JobState::Completed);
}

// Guards against the BUDGET seen on the bench: ends of several runs of a task reach a new owner in any order.
TEST_CASE("failed runs count whatever the order in which their ends are seen")
{
    JobSpec spec = oneStep(1, 1, Milliseconds(500), /*gang=*/false);
    Job job = makeJob(spec, Revision(1));
    TaskProgress& task = job.occurrences[0][0].tasks[0];
    task.run = 3;
    for (int run : { 3, 1, 2, 3 })
        task.failedRuns.insert(run);
    REQUIRE(task.failedRuns.size() == 3);
    Job loaded = makeJob(spec, Revision(1));
    REQUIRE(applyProgressRecord(progressRecord(job), loaded));
    REQUIRE(loaded.occurrences[0][0].tasks[0].failedRuns == task.failedRuns);
}

TEST_CASE("a task is not started after its last attempt failed, across takeovers while the store is down")
{
    SimCluster cluster(2);
    cluster.addWorkers(3, 1);
    cluster.world.run(Milliseconds(300));
    cluster.fleet.failuresLeft["a1.0.0"] = 100;
    cluster.submit("batch", "a1", oneStep(1, 8, Milliseconds(300), /*gang=*/false));
    cluster.world.run(Milliseconds(100));
    cluster.store.mode = SimStore::Mode::Refusing;
    cluster.world.run(Milliseconds(900));
    killOwner(cluster);
    cluster.store.mode = SimStore::Mode::Up;
    cluster.world.run(Milliseconds(20000));
    REQUIRE(cluster.stored("a1") == JobState::Failed);
    REQUIRE(cluster.fleet.startsOf(JobId("a1")) == 3);
}

// Guards against waiting for the leases of workers that left long ago.
TEST_CASE("a takeover does not wait for workers that have left")
{
    SimCluster cluster(2);
    cluster.addWorkers(1, 3);
    cluster.world.run(Milliseconds(1500));
    cluster.fleet.crash(WorkerId("w0-2"));
    cluster.fleet.setEntry(WorkerId("w0-2"), false);
    cluster.world.run(Milliseconds(3000));
    killOwner(cluster);
    cluster.submit("batch", "a1", oneStep(1, 1, Milliseconds(500), /*gang=*/false), 1);
    cluster.world.run(Milliseconds(5000));
    REQUIRE(cluster.stored("a1") == JobState::Completed);
}

// Guards against losing accepted jobs when every instance goes at once.
TEST_CASE("all instances may go at once")
{
    SimCluster cluster(2);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(300));
    cluster.submit("batch", "a1", oneStep(2, 4, Milliseconds(5000), /*gang=*/true));
    cluster.submit("sweep", "a2", oneStep(9, 4, Milliseconds(1000), /*gang=*/false));
    for (const auto& instance : cluster.instances)
        instance->kill();
    cluster.world.run(Milliseconds(1000));
    cluster.addInstance();
    cluster.world.run(Milliseconds(25000));
    CHECK(joined(cluster.fleet.violations()).empty());
    REQUIRE(cluster.stored("a1") == JobState::Completed);
    REQUIRE(cluster.stored("a2") == JobState::Completed);
}

// Guards against the collapse seen on the bench (tidyroom-jo-grown trouble-3): after all instances had been killed, one
// with an eighth of a core and a link of 10 Mbit/s owned 350 workers while larger ones stood by.
TEST_CASE("an instance with little capacity leaves the ownership to larger ones")
{
    const InstanceCapacity small { 0.12, 10 };
    SimCluster cluster(0);
    cluster.addInstance(small);
    SimInstance& second = cluster.addInstance();
    cluster.addInstance(small);
    cluster.world.run(Milliseconds(1500));
    REQUIRE(cluster.currentOwner() == &second);
    // Without a larger one they serve themselves.
    second.kill();
    cluster.world.run(Milliseconds(5000));
    REQUIRE(cluster.currentOwner() != nullptr);
    REQUIRE(cluster.currentOwner() != &second);
}

} // namespace rosemarylink::jobs
