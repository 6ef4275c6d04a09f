#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <set>

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

// Guards against losing or repeating running tasks when the owner is killed.
TEST_CASE("a new owner adopts the runs of the previous owner")
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
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
    REQUIRE(cluster.fleet.startsOf(JobId("a1")) == 4);
}

// Guards against two simultaneous runs of a task: a run that is being stopped is missing from reports, and a new owner
// started its task elsewhere before the run had ended.
TEST_CASE("a new owner waits for stops by the previous owner to finish")
{
    SimFleet::Options options;
    options.stopTime = Milliseconds(400);
    SimCluster cluster(2, options);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(300));
    // The urgent job preempts the batch job, whose task then has to wait.
    JobSpec batch = oneStep(2, 8, Milliseconds(20000), /*gang=*/false);
    cluster.submit("batch", "a1", batch);
    cluster.world.run(Milliseconds(500));
    cluster.submit("urgent", "u1", oneStep(1, 8, Milliseconds(500), /*gang=*/true));
    cluster.world.run(Milliseconds(20));
    SimInstance* const owner = cluster.currentOwner();
    REQUIRE(owner != nullptr);
    owner->ownership.resign();
    owner->owner.end();
    cluster.fleet.add(WorkerId("w-new"), "r0", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(30000));
    CHECK(joined(cluster.fleet.violations()).empty());
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
    REQUIRE(cluster.storedState("u1") == JobState::Completed);
}

// Guards against two simultaneous runs of a task: the lease of adopted runs was treated as already expired.
TEST_CASE("adopted runs on a worker that becomes unreachable are not repeated before their lease expires")
{
    SimCluster cluster(2);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(300));
    cluster.submit("batch", "a1", oneStep(1, 1, Milliseconds(9000), /*gang=*/false));
    cluster.world.run(Milliseconds(500));
    killOwner(cluster);
    // The workers respond to the new owner's first poll and then become unreachable while their runs continue.
    while (!cluster.currentOwner())
        cluster.world.run(Milliseconds(5));
    cluster.world.run(Milliseconds(60));
    cluster.fleet.silent = { WorkerId("w0-0"), WorkerId("w0-1") };
    cluster.world.run(Milliseconds(4000));
    cluster.fleet.silent.clear();
    cluster.world.run(Milliseconds(20000));
    CHECK(joined(cluster.fleet.violations()).empty());
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against repeating the runs of a worker that never responds to the new owner.
TEST_CASE("tasks of an unreachable worker are not restarted before its lease expires on its slow clock")
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
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against exceeding the maximum number of attempts: a new owner may receive the ends of several runs of a task
// in any order.
TEST_CASE("failed runs are counted regardless of the order in which their ends are reported")
{
    JobSpec spec = oneStep(1, 1, Milliseconds(500), /*gang=*/false);
    Job job = makeJob(spec, Revision(1));
    TaskProgress& task = job.occurrences.edit(0)[0].tasks.edit(0);
    task.run = 3;
    for (int run : { 3, 1, 2, 3 })
        task.failedRuns.insert(run);
    REQUIRE(task.failedRuns.size() == 3);
    Job loaded = makeJob(spec, Revision(1));
    REQUIRE(applyProgressRecord(progressRecord(job), loaded));
    REQUIRE(loaded.occurrences[0][0].tasks[0].failedRuns == task.failedRuns);
}

// Guards against exceeding the maximum number of attempts when failures could not be stored before a takeover.
TEST_CASE("a task is not started after its last attempt has failed, even across a takeover during a store outage")
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
    REQUIRE(cluster.storedState("a1") == JobState::Failed);
    REQUIRE(cluster.fleet.startsOf(JobId("a1")) == 3);
}

// Guards against waiting for the leases of workers that left before the takeover.
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
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against losing accepted jobs when all instances are killed at once.
TEST_CASE("accepted jobs survive a crash of all instances")
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
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
    REQUIRE(cluster.storedState("a2") == JobState::Completed);
}

// Guards against an overloaded owner: after all instances had been killed, one with an eighth of a core and a link of
// 10 Mbit/s became the owner of 350 workers although larger instances were available (found with bench setup
// tidyroom-jo-grown trouble-3).
TEST_CASE("an instance with little capacity lets larger ones become the owner")
{
    const InstanceCapacity small { 0.12, 10 };
    SimCluster cluster(0);
    cluster.addInstance(small);
    SimInstance& second = cluster.addInstance();
    cluster.addInstance(small);
    cluster.world.run(Milliseconds(1500));
    REQUIRE(cluster.currentOwner() == &second);
    // Without a larger instance, a small one becomes the owner.
    second.kill();
    cluster.world.run(Milliseconds(5000));
    REQUIRE(cluster.currentOwner() != nullptr);
    REQUIRE(cluster.currentOwner() != &second);
}

// Guards against an ownership that moves with each step of a rolling restart, because the instances that are stopped
// next acquire it (found with the sweep's day of bench setup tidyroom-jo-large at 97 instances, where urgent jobs ended
// late during each takeover).
TEST_CASE("a rolling restart of all instances moves the ownership at most twice")
{
    constexpr std::size_t count = 6;
    SimCluster cluster(count);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(2000));
    int takeovers = 0;
    std::set<SimInstance*> old;
    for (const auto& instance : cluster.instances)
        old.insert(instance.get());
    while (!old.empty()) {
        // The worst order: the owner is next, unless it has been started during the restart.
        SimInstance* stopped = cluster.currentOwner();
        if (old.count(stopped) == 0)
            stopped = *old.begin();
        else
            ++takeovers;
        old.erase(stopped);
        stopped->shutDown();
        cluster.world.run(Milliseconds(100));
        stopped->kill();
        cluster.addInstance().store.distance = Milliseconds(12); // those that are still to be stopped are closer
        cluster.world.run(Milliseconds(900));
        REQUIRE(cluster.currentOwner() != nullptr);
    }
    CHECK(takeovers <= 2);
}

// Guards against a fleet without an owner where no instance has been started since the owner was.
TEST_CASE("an owner that stops is replaced soon by an instance that is as old")
{
    SimCluster cluster(2);
    cluster.world.run(Milliseconds(2000));
    SimInstance* const first = cluster.currentOwner();
    REQUIRE(first != nullptr);
    first->shutDown();
    cluster.world.run(Milliseconds(400));
    REQUIRE(cluster.currentOwner() != nullptr);
    CHECK(cluster.currentOwner() != first);
}

// Guards against an owner that lists the workers more often after each loss of the store's history, until the lists
// fill its link.
TEST_CASE("the owner lists the workers once a second however often the store forgets its history")
{
    SimCluster cluster(1);
    cluster.addWorkers(1, 4);
    cluster.world.run(Milliseconds(3000));
    const int& lists = cluster.currentOwner()->store.lists["workers/"];
    for (int loss = 0; loss < 5; ++loss) {
        cluster.store.put("unrelated", "x");
        cluster.store.forgetHistory();
        cluster.world.run(Milliseconds(3000));
    }
    const int before = lists;
    cluster.world.run(Milliseconds(10000));
    CHECK(lists - before <= 11);
    CHECK(lists - before >= 9);
}

// Guards against urgent jobs that wait after a takeover until the stops of the previous owner are over everywhere,
// which takes two reports of each worker and one longest stop between them.
TEST_CASE(
    "a job that is submitted after a takeover starts before the workers are reconciled if they guard their capacity")
{
    const bool guards = GENERATE(true, false);
    SimFleet::Options options;
    options.stopTime = Milliseconds(900);
    SimCluster cluster(2, options);
    for (const auto& instance : cluster.instances)
        instance->catalog.guardsCapacity = guards;
    cluster.addWorkers(2, 2);
    cluster.world.run(Milliseconds(300));
    // Work on all workers, one of which is being stopped when the owner ends.
    cluster.submit("batch", "a1", oneStep(8, 2, Milliseconds(9000), /*gang=*/false));
    cluster.world.run(Milliseconds(500));
    cluster.cancel("batch", "a1");
    cluster.world.run(Milliseconds(20));
    SimInstance* const owner = cluster.currentOwner();
    REQUIRE(owner != nullptr);
    owner->ownership.resign();
    owner->owner.end();
    cluster.world.run(Milliseconds(300));
    REQUIRE(cluster.currentOwner() != nullptr);
    const std::size_t other = cluster.currentOwner() == cluster.instances[0].get() ? 0 : 1;
    cluster.submit("urgent", "u1", oneStep(2, 4, Milliseconds(500), /*gang=*/true), other);
    cluster.world.run(Milliseconds(200));
    CHECK((cluster.fleet.startsOf(JobId("u1")) == 2) == guards);
    cluster.world.run(Milliseconds(20000));
    CHECK(joined(cluster.fleet.violations()).empty());
    CHECK(cluster.storedState("u1") == JobState::Completed);
}

} // namespace rosemarylink::jobs
