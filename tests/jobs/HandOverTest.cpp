#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

namespace {

    // Has the store refuse the instance's writes of progress and serve all other calls.
    void refuseProgress(SimInstance& instance)
    {
        instance.faultyStore.faultFor = [](StoreCall call, const std::string& key) {
            const bool progress = key.compare(0, keys::progressPrefix.size(), keys::progressPrefix) == 0;
            return call == StoreCall::Commit && progress ? CallFault::Refused : CallFault::None;
        };
    }

    void endOwnership(SimInstance& instance)
    {
        instance.ownership.resign();
        instance.owner.end();
    }

} // namespace

// Guards against a second start of a task that is done: the owner had handled the end and not stored it, and its fleet
// record let the next owner start the task while the worker with the end was silent.
TEST_CASE("a new owner waits for a silent worker whose ends the previous owner has not stored")
{
    const bool registered = GENERATE(true, false);
    const int silentBefore = GENERATE(range(200, 4000, 400));
    CAPTURE(registered, silentBefore);
    SimCluster cluster(1);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(3000));
    SimInstance* const owner = cluster.currentOwner();
    cluster.submit("batch", "a0", oneStep(1, 8, Milliseconds(2000), /*gang=*/false));
    cluster.world.run(Milliseconds(1000));
    const WorkerId silent(cluster.fleet.runningOn(WorkerId("w0-0")) == 1 ? "w0-0" : "w0-1");
    refuseProgress(*owner);
    while (cluster.fleet.running() > 0)
        cluster.world.run(Milliseconds(1));
    cluster.world.run(Milliseconds(20));
    cluster.fleet.silent = { silent };
    cluster.fleet.setEntry(silent, registered);
    cluster.world.run(Milliseconds(silentBefore));
    endOwnership(*owner);
    cluster.addInstance();
    cluster.world.run(Milliseconds(600));
    cluster.fleet.silent.clear();
    cluster.fleet.setEntry(silent, true);
    cluster.world.run(Milliseconds(10000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 1);
    CHECK(cluster.storedState("a0") == JobState::Completed);
}

// Guards against an ownership whose record is removed under it while its store lease is renewed: the record was that of
// an earlier acquisition, which the store had executed late.
TEST_CASE("an ownership that is valid has its record in the store, however late acquisitions are executed")
{
    const int lateBy = GENERATE(range(0, 3000, 150));
    CAPTURE(lateBy);
    SimCluster cluster(1);
    SimInstance& instance = *cluster.instances[0];
    int acquisitions = 0;
    instance.faultyStore.faultFor = [&](StoreCall call, const std::string& key) {
        if (call == StoreCall::Commit && key == keys::ownership) {
            cluster.store.lostResponseShare = ++acquisitions <= 3 ? 1 : 0;
            cluster.store.lostResponseWriteDelay = Milliseconds(lateBy);
        } else if (call == StoreCall::EndLease) {
            instance.store.disconnected = true;
        }
        cluster.world.after(Milliseconds(0), [&cluster, &instance] {
            cluster.store.lostResponseShare = 0;
            instance.store.disconnected = false;
        });
        return CallFault::None;
    };
    for (int turn = 0; turn < 1000; ++turn) {
        cluster.world.run(Milliseconds(10));
        if (turn == 200)
            cluster.addInstance();
        for (const auto& candidate : cluster.instances) {
            if (!candidate->ownership.valid())
                continue;
            const Record* const record = cluster.store.find(keys::ownership);
            REQUIRE(record != nullptr);
            REQUIRE(record->revision.value() == candidate->ownership.token().value());
        }
    }
    CHECK(cluster.currentOwner() != nullptr);
}

} // namespace rosemarylink::jobs
