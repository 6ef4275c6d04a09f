#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include <optional>

namespace rosemarylink::jobs {

namespace {

    const JobSpec shortJob = oneStep(2, 1, Milliseconds(500), /*gang=*/false);
    const JobSpec longJob = oneStep(2, 1, Milliseconds(20000), /*gang=*/false);

    // Keys of the accounts "acme", which is the owner of most jobs below, and "beta".
    const std::string keyOfAcme = "key";
    const std::string keyOfBeta = "key-of-beta";
    const std::string noKey;

    // A cluster with workers whose instances have read the configuration.
    class AccessCluster : public SimCluster {
    public:
        AccessCluster()
        {
            addWorkers(1, 2);
            world.run(Milliseconds(3000));
        }

        AdmissionOutcome submitted(
            const std::string& queue, const std::string& id, const std::string& key, const JobSpec& job = longJob)
        {
            return submit(queue, id, job, 0, Milliseconds(3000), key).outcome;
        }
        AdmissionOutcome queried(const std::string& queue, const std::string& id, const std::string& key)
        {
            return query(queue, id, 1, key).outcome;
        }
        AdmissionOutcome cancelled(const std::string& queue, const std::string& id, const std::string& key)
        {
            return cancel(queue, id, 1, key).outcome;
        }

        // Replaces a job's progress record by one without the fields that earlier versions did not write.
        void makeProgressOld(const std::string& id)
        {
            nlohmann::json record = nlohmann::json::parse(store.find(keys::progress(JobId(id)))->value);
            record.erase("account");
            if (!isFinal(*storedState(id)))
                record.erase("queue");
            store.put(keys::progress(JobId(id)), record.dump());
        }
    };

} // namespace

// Guards against the review's case where the key of one account reads and cancels the jobs of another.
TEST_CASE("a job is unknown to callers with a key of another account")
{
    AccessCluster cluster;
    REQUIRE(cluster.submitted("batch", "a1", keyOfAcme) == AdmissionOutcome::Accepted);
    CHECK(cluster.queried("batch", "a1", keyOfBeta) == AdmissionOutcome::NoJob);
    CHECK(cluster.cancelled("batch", "a1", keyOfBeta) == AdmissionOutcome::NoJob);
    cluster.world.run(Milliseconds(3000));
    CHECK(cluster.queried("batch", "a1", keyOfBeta) == AdmissionOutcome::NoJob);
    CHECK(cluster.cancelled("sweep", "a1", keyOfBeta) == AdmissionOutcome::NoJob);
    CHECK(cluster.storedState("a1") == JobState::Active);
    CHECK(cluster.fleet.running() == 2);
    CHECK(cluster.queried("batch", "a1", keyOfAcme) == AdmissionOutcome::Accepted);
    CHECK(cluster.cancelled("batch", "a1", keyOfAcme) == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(3000));
    CHECK(cluster.storedState("a1") == JobState::Cancelled);
}

// Guards against the same for a job that has ended, whose submission record with the account is gone.
TEST_CASE("a job that has ended is unknown to callers with a key of another account")
{
    AccessCluster cluster;
    REQUIRE(cluster.submitted("batch", "a1", keyOfAcme, shortJob) == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(4000));
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
    REQUIRE(cluster.store.find(keys::job(JobId("a1"))) == nullptr);
    CHECK(cluster.queried("batch", "a1", keyOfBeta) == AdmissionOutcome::NoJob);
    CHECK(cluster.cancelled("batch", "a1", keyOfBeta) == AdmissionOutcome::NoJob);
    CHECK(cluster.query("batch", "a1", 1, keyOfAcme).state == JobState::Completed);
}

// Guards against telling an account that its job is accepted when the id is that of another account's job, which it
// could neither follow nor cancel.
TEST_CASE("a submission with the id of another account's job is refused for good")
{
    AccessCluster cluster;
    cluster.configurationPadding = GENERATE(0, 40000); // a large configuration takes another way
    cluster.putConfiguration();
    cluster.world.run(Milliseconds(1000));
    REQUIRE(cluster.submitted("batch", "a1", keyOfAcme, shortJob) == AdmissionOutcome::Accepted);
    CHECK(cluster.submitted("batch", "a1", keyOfBeta, shortJob) == AdmissionOutcome::Invalid);
    CHECK(cluster.submitted("batch", "a1", keyOfAcme, shortJob) == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(4000));
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
    CHECK(cluster.submitted("batch", "a1", keyOfBeta, shortJob) == AdmissionOutcome::Invalid);
    CHECK(cluster.submitted("batch", "a1", keyOfAcme, shortJob) == AdmissionOutcome::Accepted);
    CHECK(cluster.fleet.startsOf(JobId("a1")) == 2);
}

// Guards against the same where the submission's own write got no response and may have stored the job.
TEST_CASE("an unresolved submission is refused once another account's job with its id is found")
{
    AccessCluster cluster;
    cluster.store.lostResponseShare = 1;
    cluster.store.lostResponseWriteDelay = Milliseconds(6000);
    // Between two attempts of the write, which follow each other after 150 ms.
    cluster.world.after(Milliseconds(250), [&cluster] {
        cluster.store.lostResponseShare = 0;
        cluster.instances[1]->admission.submit(
            { "host", "/batch/a1", keyOfAcme, Milliseconds(3000) }, []() -> Result<JobSpec> { return longJob; },
            [](const AdmissionResponse&) {});
    });
    CHECK(cluster.submitted("batch", "a1", keyOfBeta) == AdmissionOutcome::Invalid);
    cluster.world.run(Milliseconds(8000));
    CHECK(cluster.queried("batch", "a1", keyOfAcme) == AdmissionOutcome::Accepted);
    CHECK(cluster.queried("batch", "a1", keyOfBeta) == AdmissionOutcome::NoJob);
}

// Guards against an account that keeps another's submissions from being stored by cancelling their ids beforehand, and
// against a cancellation of the owner that is undone by a later one of another account.
TEST_CASE("a cancellation before the submission counts for the account of its key only")
{
    AccessCluster cluster;
    REQUIRE(cluster.cancelled("batch", "a1", keyOfBeta) == AdmissionOutcome::NoJob);
    CHECK(cluster.submitted("batch", "a1", keyOfAcme) == AdmissionOutcome::Accepted);
    REQUIRE(cluster.cancelled("batch", "a2", keyOfAcme) == AdmissionOutcome::NoJob);
    REQUIRE(cluster.cancelled("batch", "a2", keyOfBeta) == AdmissionOutcome::NoJob);
    CHECK(cluster.submitted("batch", "a2", keyOfAcme) == AdmissionOutcome::NotRun);
    CHECK(cluster.submitted("batch", "a2", keyOfBeta) == AdmissionOutcome::NotRun);
    cluster.world.run(Milliseconds(3000));
    CHECK(cluster.fleet.startsOf(JobId("a1")) == 2);
    CHECK(cluster.fleet.startsOf(JobId("a2")) == 0);
}

// Guards against telling another account that its cancellation has ended the job: its withdrawal got no response, then
// the owner's submission and cancellation took effect.
TEST_CASE("an unresolved cancellation of another account is not taken for the owner's")
{
    AccessCluster cluster;
    cluster.store.lostResponseShare = 1;
    cluster.store.lostResponseWriteDelay = Milliseconds(60000);
    std::optional<AdmissionOutcome> cancelled;
    cluster.instances[1]->admission.cancel({ "host", "/batch/a1", keyOfBeta, Milliseconds(9000) },
        [&cancelled](const AdmissionResponse& response) { cancelled = response.outcome; });
    cluster.world.run(Milliseconds(200));
    cluster.store.lostResponseShare = 0;
    REQUIRE(cluster.submitted("batch", "a1", keyOfAcme) == AdmissionOutcome::Accepted);
    REQUIRE(cluster.cancel("batch", "a1", 0, keyOfAcme).outcome == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(3000));
    CHECK(cluster.storedState("a1") == JobState::Cancelled);
    CHECK(cancelled == AdmissionOutcome::NoJob);
}

// Guards against a check that keeps out callers of a queue that needs no key, and against such a queue as a way around
// the check for the jobs of the others.
TEST_CASE("a queue without keys serves its own jobs only, with any key or none")
{
    AccessCluster cluster;
    REQUIRE(cluster.submitted("open", "o1", noKey) == AdmissionOutcome::Accepted);
    REQUIRE(cluster.submitted("open", "o2", keyOfAcme) == AdmissionOutcome::Accepted);
    for (const std::string& key : { noKey, keyOfAcme, keyOfBeta }) {
        CAPTURE(key);
        CHECK(cluster.submitted("open", "o1", key) == AdmissionOutcome::Accepted);
        CHECK(cluster.submitted("open", "o2", key) == AdmissionOutcome::Accepted);
        CHECK(cluster.queried("open", "o1", key) == AdmissionOutcome::Accepted);
        CHECK(cluster.queried("open", "o2", key) == AdmissionOutcome::Accepted);
    }
    CHECK(cluster.cancelled("open", "o1", keyOfBeta) == AdmissionOutcome::Accepted);
    CHECK(cluster.cancelled("open", "o2", noKey) == AdmissionOutcome::Accepted);
    CHECK(cluster.cancelled("open", "o3", noKey) == AdmissionOutcome::NoJob);
    CHECK(cluster.submitted("open", "o3", keyOfAcme) == AdmissionOutcome::NotRun);

    REQUIRE(cluster.submitted("batch", "a1", keyOfAcme) == AdmissionOutcome::Accepted);
    CHECK(cluster.queried("open", "a1", noKey) == AdmissionOutcome::NoJob);
    CHECK(cluster.cancelled("open", "a1", noKey) == AdmissionOutcome::NoJob);
    CHECK(cluster.submitted("open", "a1", noKey) == AdmissionOutcome::Invalid);
    CHECK(cluster.cancelled("open", "a2", noKey) == AdmissionOutcome::NoJob);
    CHECK(cluster.submitted("batch", "a2", keyOfAcme) == AdmissionOutcome::Accepted);
}

// Guards against jobs that are lost to their callers because their records were written by an earlier version.
TEST_CASE("a progress record without an account can be read with any key")
{
    AccessCluster cluster;
    REQUIRE(cluster.submitted("batch", "a1", keyOfAcme, shortJob) == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(4000));
    REQUIRE(cluster.storedState("a1") == JobState::Completed);
    cluster.makeProgressOld("a1");
    CHECK(cluster.query("batch", "a1", 1, keyOfAcme).state == JobState::Completed);
    CHECK(cluster.query("batch", "a1", 1, keyOfBeta).state == JobState::Completed);
    CHECK(cluster.submitted("batch", "a1", keyOfAcme, shortJob) == AdmissionOutcome::Accepted);

    // The submission record of a job that has not ended has always had the account.
    for (const auto& instance : cluster.instances)
        instance->kill();
    REQUIRE(cluster.instances.size() == 2);
    cluster.addInstance();
    cluster.addInstance();
    cluster.world.run(Milliseconds(4000));
    const auto submitted = cluster.submit("batch", "a2", longJob, 2, Milliseconds(3000), keyOfAcme);
    REQUIRE(submitted.outcome == AdmissionOutcome::Accepted);
    cluster.makeProgressOld("a2");
    CHECK(cluster.query("batch", "a2", 3, keyOfBeta).outcome == AdmissionOutcome::Accepted);
    CHECK(cluster.cancel("batch", "a2", 3, keyOfBeta).outcome == AdmissionOutcome::NoJob);
    CHECK(cluster.cancel("batch", "a2", 3, keyOfAcme).outcome == AdmissionOutcome::Accepted);
}

// Guards against a check that costs a call to the store, since each is priced.
TEST_CASE("the check of the account costs no call to the store")
{
    AccessCluster cluster;
    int calls = 0;
    const auto countCalls = [&cluster, &calls](const auto& request) {
        cluster.query("batch", "none", 1); // confirms the configuration
        calls = 0;
        cluster.instances[1]->faultyStore.faultFor = [&calls](StoreCall call, const std::string& key) {
            const bool background = key == "config" || key == keys::ownership || call == StoreCall::Watch;
            calls += background ? 0 : 1;
            return CallFault::None;
        };
        request();
        cluster.instances[1]->faultyStore.faultFor = nullptr;
        return calls;
    };
    REQUIRE(cluster.instances[0]->ownership.valid());
    CHECK(countCalls([&] { cluster.submit("batch", "a1", longJob, 1); }) == 1);
    CHECK(countCalls([&] { cluster.queried("batch", "a1", keyOfAcme); }) == 1);
    CHECK(countCalls([&] { cluster.queried("batch", "a1", keyOfBeta); }) == 1);
    CHECK(countCalls([&] { cluster.cancelled("batch", "a1", keyOfBeta); }) == 1);
    CHECK(countCalls([&] { cluster.cancelled("batch", "a1", keyOfAcme); }) == 2);
}

} // namespace rosemarylink::jobs
