#include "SimCluster.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

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

    // Whether an owner that reads the stored fleet record now waits for all runs on the worker.
    bool isWaitedFor(const SimCluster& cluster, const WorkerId& worker)
    {
        const Record* const record = cluster.store.find(keys::fleet);
        bool listed = false;
        for (const nlohmann::json& entry : record ? nlohmann::json::parse(record->value) : nlohmann::json::array()) {
            listed = listed || entry == worker.value();
            if (!entry.is_object() || entry.at("worker") != worker.value() || !entry.contains("jobs"))
                continue;
            std::set<JobId> recorded;
            for (const nlohmann::json& job : entry.at("jobs"))
                recorded.insert(JobId(job.get<std::string>()));
            const std::set<JobId> present = cluster.fleet.jobsOn(worker);
            if (!std::includes(recorded.begin(), recorded.end(), present.begin(), present.end()))
                return false;
        }
        return listed;
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

// Guards against two runs of a task at a time: an owner that was cut off from the store kept the runs of a worker alive
// that the next owner could not reach, and which it took for over after the longest lease.
TEST_CASE("an owner that is cut off from the store renews no worker's lease beyond what the next owner waits for")
{
    const int cutFor = GENERATE(4000, 6000, 7500, 9000, 12000, 15000, 30000);
    CAPTURE(cutFor);
    SimCluster cluster(1);
    cluster.addWorkers(2, 1);
    cluster.world.run(Milliseconds(3000));
    const WorkerId cutOff("w0-0");
    JobSpec job = oneStep(2, 4, Milliseconds(40000), /*gang=*/false);
    cluster.submit("batch", "a0", job);
    job.steps[0].workerLabel = "r0";
    job.steps[0].estimate = Milliseconds(9000);
    cluster.submit("batch", "a1", job);
    job.steps[0].workerLabel = "";
    cluster.submit("batch", "a2", job);
    cluster.world.run(Milliseconds(2000));
    REQUIRE(cluster.fleet.runningOn(cutOff) > 0);
    SimInstance& owner = *cluster.currentOwner();
    owner.store.disconnected = true;
    owner.workers.unreachable = { WorkerId("w1-0") };
    cluster.addInstance().workers.unreachable = { cutOff };
    cluster.world.run(Milliseconds(cutFor));
    owner.store.disconnected = false;
    cluster.instances[1]->workers.unreachable.clear();
    cluster.world.run(Milliseconds(60000));
    CHECK(cluster.fleet.violations().empty());
    for (const std::string id : { "a0", "a1", "a2" })
        CHECK(cluster.storedState(id) == JobState::Completed);
}

// Guards against runs that are given up because no owner can renew them during an outage of the store that is shorter
// than a worker's lease.
TEST_CASE("runs continue through an outage of the store of 6 s")
{
    const SimStore::Mode outage = GENERATE(SimStore::Mode::Silent, SimStore::Mode::Refusing);
    const int offset = GENERATE(range(0, 2000, 250));
    CAPTURE(outage, offset);
    SimCluster cluster(2);
    cluster.addWorkers(2, 2);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(32, 1, Milliseconds(15000), /*gang=*/false));
    cluster.world.run(Milliseconds(2000 + offset));
    REQUIRE(cluster.fleet.running() == 32);
    cluster.store.mode = outage;
    cluster.world.run(Milliseconds(6000));
    cluster.store.mode = SimStore::Mode::Up;
    cluster.world.run(Milliseconds(15000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 32);
    CHECK(cluster.storedState("a0") == JobState::Completed);
}

// Guards against work on a worker that the stored fleet record does not list: a write that takes a worker out may still
// be on its way, or have taken effect without a response, when the worker responds again.
TEST_CASE("each worker with runs is in the stored fleet record while writes are lost, late or refused")
{
    const int seed = GENERATE(range(1, 21));
    CAPTURE(seed);
    SimCluster cluster(1);
    cluster.addWorkers(2, 3);
    cluster.world.run(Milliseconds(3000));
    std::mt19937 random(static_cast<unsigned>(seed));
    const auto draw = [&random](int from, int to) { return std::uniform_int_distribution<>(from, to)(random); };
    for (int turn = 0; turn < 120; ++turn) {
        const std::string id = "j" + std::to_string(turn);
        cluster.store.lostResponseShare = 0;
        cluster.store.refusesWrites = false;
        cluster.submit("batch", id, oneStep(draw(1, 12), draw(1, 8), Milliseconds(draw(50, 4000)), /*gang=*/false));
        cluster.store.lostResponseShare = draw(0, 3) * 0.25;
        cluster.store.lostResponseWriteDelay = Milliseconds(draw(0, 2) * 700);
        cluster.store.refusesWrites = draw(0, 4) == 0;
        if (draw(0, 5) == 0)
            cluster.fleet.silent.clear();
        else if (draw(0, 3) == 0)
            cluster.fleet.silent.insert(WorkerId("w" + std::to_string(draw(0, 1)) + "-" + std::to_string(draw(0, 2))));
        for (int step = draw(10, 200); step > 0; --step) {
            cluster.world.run(Milliseconds(10));
            for (const WorkerId& worker : cluster.fleet.ids()) {
                if (cluster.fleet.runningOn(worker) > 0 && !isWaitedFor(cluster, worker))
                    FAIL(worker.value() + " is missing from " + cluster.store.find(keys::fleet)->value);
            }
        }
    }
    CHECK(cluster.fleet.violations().empty());
}

// Guards against a process that becomes the owner again while it shuts down: the flush before its resignation never
// completed because the ownership was lost meanwhile.
TEST_CASE("a process that loses its ownership while it shuts down does not acquire it again")
{
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    cluster.store.refusesWrites = true;
    cluster.world.run(Milliseconds(500));
    SimInstance* const owner = cluster.currentOwner();
    REQUIRE(owner != nullptr);
    REQUIRE(cluster.fleet.running() == 1);
    owner->shutDown();
    cluster.world.run(Milliseconds(100));
    REQUIRE(owner->ownership.held());
    owner->ownership.reportConflict();
    cluster.store.refusesWrites = false;
    cluster.world.run(Milliseconds(10000));
    CHECK(cluster.currentOwner() == nullptr);
    cluster.addInstance();
    cluster.world.run(Milliseconds(5000));
    CHECK(cluster.currentOwner() == cluster.instances.back().get());
}

} // namespace rosemarylink::jobs
