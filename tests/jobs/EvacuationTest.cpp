#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <set>

namespace rosemarylink::jobs {

namespace {

    // The owner lists the evacuations once a second, so that it knows of one within this time if nothing fails.
    constexpr Milliseconds known { 1200 };

    const std::string prefix = SimCatalog().evacuationPrefix();

    void startWorkers(SimCluster& cluster, int racks, int perRack)
    {
        cluster.enableEvacuations();
        cluster.addWorkers(racks, perRack);
        cluster.world.run(Milliseconds(1500));
    }

    // Tasks of which one fills a worker.
    JobSpec wholeWorkers(int tasks, Milliseconds runTime, bool gang = false)
    {
        return oneStep(tasks, 8, runTime, gang);
    }

    int runningOnRack(const SimCluster& cluster, const std::string& rack)
    {
        int running = 0;
        for (const WorkerId& id : cluster.fleet.ids())
            running += cluster.fleet.entry(id).rack == rack ? cluster.fleet.runningOn(id) : 0;
        return running;
    }

    // Runs the simulation until the owner has sent a further list of the evacuations.
    void awaitList(SimCluster& cluster)
    {
        std::map<std::string, int>& lists = cluster.currentOwner()->store.lists;
        for (const int sent = lists[prefix]; lists[prefix] == sent;)
            cluster.world.run(Milliseconds(5));
    }

    // Lets the instance's lists of evacuations get no response until then.
    void loseLists(SimCluster& cluster, SimInstance& instance, Milliseconds until)
    {
        instance.faultyStore.faultFor = [&cluster, until](StoreCall call, const std::string& key) {
            const bool lost = call == StoreCall::List && key == prefix && cluster.world.now() < until;
            return lost ? CallFault::NoResponse : CallFault::None;
        };
    }

    std::string violationsOf(const SimCluster& cluster)
    {
        std::string text;
        for (const std::string& line : cluster.fleet.violations())
            text += line + "\n";
        return text;
    }

} // namespace

// Guards against starts in an evacuated domain, against moving or losing the work that runs there, and against a domain
// that stays unused after its evacuation was revoked.
TEST_CASE("no task starts in an evacuated domain until the evacuation is revoked, and running tasks go on there")
{
    SimCluster cluster(1);
    startWorkers(cluster, 2, 2);
    // Longer than a lease, so that the leases have to be renewed.
    cluster.submit("batch", "a1", wholeWorkers(4, Milliseconds(9000)));
    cluster.world.run(Milliseconds(500));
    cluster.evacuate("r0", known);
    cluster.world.run(Milliseconds(8000));
    REQUIRE(runningOnRack(cluster, "r0") == 2);
    cluster.submit("batch", "a2", wholeWorkers(6, Milliseconds(1000)));
    cluster.world.run(Milliseconds(8000));
    CHECK(violationsOf(cluster).empty());
    CHECK(cluster.fleet.startsOf(JobId("a1")) == 4);
    CHECK(cluster.storedState("a1") == JobState::Completed);
    CHECK(cluster.storedState("a2") == JobState::Completed);
    cluster.revokeEvacuation("r0");
    cluster.submit("batch", "a3", wholeWorkers(4, Milliseconds(3000)));
    cluster.world.run(known);
    REQUIRE(runningOnRack(cluster, "r0") == 2);
}

// Guards against an owner that starts tasks before it has read the evacuations that were requested before it took over.
TEST_CASE("an owner that took over starts nothing before it knows the evacuations")
{
    const bool listsLost = GENERATE(false, true);
    CAPTURE(listsLost);
    SimCluster cluster(3);
    startWorkers(cluster, 2, 2);
    cluster.submit("batch", "a1", wholeWorkers(1, Milliseconds(14000)), 2);
    cluster.world.run(Milliseconds(500));
    SimInstance* const former = cluster.currentOwner();
    REQUIRE(former != cluster.instances[2].get());
    former->kill();
    cluster.evacuate("r0", Milliseconds(0));
    const Milliseconds lostUntil = cluster.world.now() + Milliseconds(listsLost ? 6000 : 0);
    for (const auto& instance : cluster.instances)
        loseLists(cluster, *instance, lostUntil);
    cluster.submit("batch", "a2", wholeWorkers(5, Milliseconds(800)), 2);
    cluster.world.run(Milliseconds(5500));
    REQUIRE(cluster.currentOwner() != nullptr);
    CHECK((cluster.fleet.startsOf(JobId("a2")) == 0) == listsLost);
    cluster.world.run(Milliseconds(12000));
    CHECK(violationsOf(cluster).empty());
    CHECK(cluster.fleet.startsOf(JobId("a1")) == 1);
    CHECK(cluster.storedState("a1") == JobState::Completed);
    REQUIRE(cluster.storedState("a2") == JobState::Completed);
}

// Guards against starts by an owner that was cut off from the store when the evacuation was requested, and by the same
// instance when it reaches the store again.
TEST_CASE("an owner that is cut off from the store starts nothing in a domain that is evacuated meanwhile")
{
    SimCluster cluster(2);
    startWorkers(cluster, 2, 2);
    cluster.submit("batch", "a1", wholeWorkers(200, Milliseconds(300)));
    cluster.world.run(Milliseconds(500));
    SimInstance* const former = cluster.currentOwner();
    former->store.disconnected = true;
    // The store lease of the owner is over by then.
    cluster.evacuate("r0", Milliseconds(1900));
    cluster.world.run(Milliseconds(6000));
    REQUIRE(cluster.currentOwner() != former);
    former->store.disconnected = false;
    cluster.world.run(Milliseconds(3000));
    cluster.currentOwner()->kill();
    cluster.world.run(Milliseconds(30000));
    CHECK(violationsOf(cluster).empty());
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against starts by an owner that renews its store lease but does not get the list of evacuations, and against
// losing its running work.
TEST_CASE("starts cease before an unknown evacuation could apply, and running work goes on")
{
    SimCluster cluster(1);
    startWorkers(cluster, 2, 2);
    cluster.submit("batch", "a1", wholeWorkers(1, Milliseconds(11000)));
    cluster.submit("batch", "a2", wholeWorkers(200, Milliseconds(300)));
    cluster.world.run(Milliseconds(500));
    loseLists(cluster, *cluster.currentOwner(), cluster.world.now() + Milliseconds(9000));
    cluster.evacuate("r0");
    cluster.world.run(Milliseconds(4000));
    const int starts = cluster.fleet.startsOf(JobId("a2"));
    cluster.world.run(Milliseconds(4900));
    CHECK(cluster.fleet.startsOf(JobId("a2")) == starts);
    cluster.world.run(Milliseconds(60000));
    CHECK(violationsOf(cluster).empty());
    CHECK(cluster.fleet.startsOf(JobId("a1")) == 1);
    CHECK(cluster.storedState("a1") == JobState::Completed);
    REQUIRE(cluster.storedState("a2") == JobState::Completed);
}

// Guards against waiting for the timeout of a lost list while the evacuation that it names is not known.
TEST_CASE("a lost response to a list of the evacuations is made up for by a parallel one")
{
    SimCluster cluster(1);
    startWorkers(cluster, 2, 2);
    cluster.submit("batch", "a1", wholeWorkers(100, Milliseconds(300)));
    awaitList(cluster);
    cluster.world.run(Milliseconds(50));
    // Only the next list is lost.
    loseLists(cluster, *cluster.currentOwner(), cluster.world.now() + Milliseconds(1300));
    cluster.evacuate("r0", known + Milliseconds(500));
    cluster.world.run(Milliseconds(30000));
    CHECK(violationsOf(cluster).empty());
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against sending starts that were queued when the evacuation became known.
TEST_CASE("queued starts are not sent to a domain that is evacuated meanwhile")
{
    const bool gang = GENERATE(false, true);
    CAPTURE(gang);
    SimCluster cluster(1);
    startWorkers(cluster, 2, 8);
    // The first 128 commands get their responses, for which the others wait, after the evacuation has become known.
    cluster.currentOwner()->faultyWorkers.delayFor
        = [](WorkerCall call, const WorkerId&) { return Milliseconds(call == WorkerCall::Start ? 1500 : 0); };
    cluster.submit("batch", "a1", oneStep(200, 0, Milliseconds(6000), gang));
    cluster.world.run(Milliseconds(100));
    cluster.currentOwner()->faultyWorkers.delayFor = nullptr;
    REQUIRE(cluster.fleet.startsOf(JobId("a1")) == 128);
    cluster.evacuate(runningOnRack(cluster, "r0") > 64 ? "r0" : "r1", known);
    cluster.world.run(Milliseconds(40000));
    CHECK(violationsOf(cluster).empty());
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against repeating a start whose earlier command was not executed, against a command that is executed seconds
// after it was sent, and against a gang that is left incomplete by a member in the domain.
TEST_CASE("unanswered starts in an evacuated domain are withdrawn with their gang")
{
    const bool gang = GENERATE(false, true);
    CAPTURE(gang);
    SimCluster cluster(1);
    startWorkers(cluster, 3, 2);
    std::set<std::string> racks; // of the workers to which starts were sent
    cluster.currentOwner()->faultyWorkers.faultFor = [&](WorkerCall call, const WorkerId& id) {
        if (call == WorkerCall::Start)
            racks.insert(cluster.fleet.entry(id).rack);
        return CallFault::None;
    };
    // The commands time out 200 ms after the evacuation is known.
    awaitList(cluster);
    cluster.world.run(Milliseconds(700));
    cluster.fleet.delayedCommandShare = 1;
    cluster.fleet.commandDelay = Milliseconds(5300);
    cluster.submit("batch", "a1", wholeWorkers(4, Milliseconds(2000), gang));
    REQUIRE(racks.size() == 2); // the gang spans two domains
    cluster.fleet.delayedCommandShare = 0;
    cluster.evacuate(*racks.begin(), Milliseconds(0));
    cluster.world.run(Milliseconds(40000));
    CHECK(violationsOf(cluster).empty());
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against mixing up two evacuations, also across the owners of a rolling restart.
TEST_CASE("two domains are evacuated at once during a rolling restart, and one of them is revoked first")
{
    SimCluster cluster(2);
    startWorkers(cluster, 3, 2);
    cluster.submit("batch", "a1", wholeWorkers(150, Milliseconds(300)));
    cluster.submit("batch", "g1", wholeWorkers(4, Milliseconds(300), /*gang=*/true));
    cluster.evacuate("r0", known);
    cluster.evacuate("r1", known);
    for (int restart = 0; restart < 3; ++restart) {
        cluster.world.run(Milliseconds(2000));
        cluster.addInstance();
        SimInstance* const owner = cluster.currentOwner();
        REQUIRE(owner != nullptr);
        owner->shutDown();
        cluster.world.run(Milliseconds(50));
        owner->kill();
    }
    CHECK(runningOnRack(cluster, "r0") + runningOnRack(cluster, "r1") == 0);
    cluster.world.run(Milliseconds(2000));
    cluster.revokeEvacuation("r0");
    cluster.world.run(Milliseconds(3000));
    CHECK(runningOnRack(cluster, "r0") == 2);
    cluster.world.run(Milliseconds(30000));
    CHECK(violationsOf(cluster).empty());
    CHECK(cluster.storedState("g1") == JobState::Completed);
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against an evacuation that is forgotten because its key was removed and written again.
TEST_CASE("a key that is removed and written again evacuates its domain again")
{
    SimCluster cluster(1);
    startWorkers(cluster, 2, 2);
    cluster.submit("batch", "a1", wholeWorkers(300, Milliseconds(300)));
    cluster.evacuate("r0", known);
    cluster.world.run(Milliseconds(3000));
    // Between two lists.
    awaitList(cluster);
    cluster.world.run(Milliseconds(100));
    cluster.store.remove(prefix + "r0");
    cluster.world.run(Milliseconds(100));
    cluster.store.put(prefix + "r0", "{}");
    cluster.world.run(Milliseconds(3000));
    CHECK(runningOnRack(cluster, "r0") == 0);
    cluster.revokeEvacuation("r0");
    cluster.world.run(Milliseconds(2000));
    CHECK(runningOnRack(cluster, "r0") == 2);
    cluster.evacuate("r0", known);
    cluster.world.run(Milliseconds(3000));
    CHECK(runningOnRack(cluster, "r0") == 0);
    cluster.revokeEvacuation("r0");
    cluster.world.run(Milliseconds(40000));
    CHECK(violationsOf(cluster).empty());
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
}

// Guards against preempting work for a step that may not use the freed capacity, and against guarantees that are
// silently out of reach.
TEST_CASE("nothing is preempted in an evacuated domain, and guarantees that no longer fit are reported")
{
    SimCluster cluster(1);
    startWorkers(cluster, 2, 2);
    cluster.submit("sweep", "b1", oneStep(32, 1, Milliseconds(20000), /*gang=*/false));
    cluster.world.run(Milliseconds(500));
    cluster.evacuate("r0", known);
    cluster.world.run(Milliseconds(2000));
    cluster.submit("urgent", "u1", wholeWorkers(2, Milliseconds(1000), /*gang=*/true));
    cluster.world.run(Milliseconds(3000));
    CHECK(cluster.fleet.startsOf(JobId("u1")) == 2);
    CHECK(runningOnRack(cluster, "r0") == 16);
    const std::string metrics = cluster.currentOwner()->registry.renderPrometheus();
    CHECK(metrics.find("rosemarylink_evacuated_domains 1") != std::string::npos);
    CHECK(metrics.find("rosemarylink_evacuated_runs{failure_domain=\"r0\"} 16") != std::string::npos);
    CHECK(metrics.find("rosemarylink_unplaceable_guarantee_accelerators 8") != std::string::npos);
    CHECK(violationsOf(cluster).empty());
}

// Guards against a mistyped key that stops all starts or hides other evacuations.
TEST_CASE("a key that names no domain, or one without workers, changes nothing")
{
    SimCluster cluster(1);
    startWorkers(cluster, 2, 2);
    cluster.store.put(prefix, "{}");
    cluster.store.put(prefix + "nowhere", "[");
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a1", wholeWorkers(4, Milliseconds(3000)));
    cluster.world.run(Milliseconds(500));
    CHECK(cluster.fleet.running() == 4);
    const std::string metrics = cluster.currentOwner()->registry.renderPrometheus();
    CHECK(metrics.find("rosemarylink_odd_evacuations_total 1") != std::string::npos);
    CHECK(metrics.find("failure_domain=\"nowhere\"") == std::string::npos);
    cluster.evacuate("r0", known);
    cluster.submit("batch", "a2", wholeWorkers(8, Milliseconds(500)));
    cluster.world.run(Milliseconds(8000));
    CHECK(violationsOf(cluster).empty());
    REQUIRE(cluster.storedState("a2") == JobState::Completed);
}

// Guards against calls to the store and changed placement in deployments without evacuations.
TEST_CASE("without a timeout of evacuations the store is not asked for them")
{
    SimCluster cluster(2);
    cluster.addWorkers(2, 2);
    cluster.store.put(prefix + "r0", "{}");
    cluster.world.run(Milliseconds(1500));
    cluster.submit("batch", "a1", wholeWorkers(4, Milliseconds(3000)));
    cluster.world.run(Milliseconds(1000));
    CHECK(cluster.fleet.running() == 4);
    for (const auto& instance : cluster.instances) {
        CHECK(instance->store.lists.count(prefix) == 0);
        CHECK(instance->registry.renderPrometheus().find("evacuat") == std::string::npos);
    }
}

} // namespace rosemarylink::jobs
