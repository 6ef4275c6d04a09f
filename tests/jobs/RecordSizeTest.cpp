#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <limits>

namespace rosemarylink::jobs {

namespace {

    constexpr int tasks = 60;
    const JobSpec shortJob = oneStep(2, 1, Milliseconds(500), /*gang=*/false);
    const JobSpec wideJob = oneStep(tasks, 1, Milliseconds(6000), /*gang=*/false);

    // Below the size of the progress record of `wideJob` once its tasks have started.
    constexpr std::size_t smallValue = 800;

    // A job with a step of many tasks per element.
    JobSpec jobOf(const std::vector<int>& taskCounts, bool checkpointing = false)
    {
        JobSpec job = wideJob;
        job.steps.resize(taskCounts.size(), job.steps.front());
        for (std::size_t step = 0; step < taskCounts.size(); ++step) {
            job.steps[step].taskCount = taskCounts[step];
            job.steps[step].checkpointing = checkpointing;
        }
        return job;
    }

} // namespace

// Guards against an owner that stores nothing any more, because the store rejects each write that contains the progress
// record of one job that has outgrown its limit.
TEST_CASE("a progress record that exceeds the store's limit does not keep those of other jobs from being stored")
{
    SimCluster cluster;
    cluster.addWorkers(2, 4);
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.submit("urgent", "a", wideJob).outcome == AdmissionOutcome::Accepted);
    cluster.store.valueBytes = smallValue;
    REQUIRE(cluster.submit("urgent", "b", shortJob).outcome == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(4000));
    CHECK(cluster.storedState("b") == JobState::Completed);
    cluster.world.run(Milliseconds(6000));
    // The record of a job that has ended is small.
    CHECK(cluster.storedState("a") == JobState::Completed);
    CHECK(cluster.fleet.startsOf(JobId("a")) == tasks);
    const std::string metrics = cluster.currentOwner()->registry.renderPrometheus();
    CHECK(metrics.find("rosemarylink_oversized_records_total 1") != std::string::npos);
    CHECK(cluster.fleet.violations().empty());
}

// Guards against a job whose progress is not stored because its workers report long checkpoints.
TEST_CASE("a progress record that would exceed the store's limit is stored without the checkpoints")
{
    SimCluster cluster(1);
    cluster.addWorkers(1, 2);
    cluster.store.valueBytes = 4000;
    cluster.world.run(Milliseconds(3000));
    cluster.instances[0]->faultyWorkers.changeReport = [](const WorkerId&, WorkerReport& report) {
        for (auto& run : report.running)
            run.checkpoint = std::string(3000, 'c');
    };
    JobSpec job = oneStep(4, 1, Milliseconds(6000), /*gang=*/false);
    job.steps.front().checkpointing = true;
    job.steps.push_back(shortJob.steps.front()); // its ends are recorded while the first step runs
    REQUIRE(cluster.submit("batch", "a", job).outcome == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(4000));
    CHECK(cluster.storedState("a") == JobState::Active);
    const std::string record = cluster.store.find(keys::progress(JobId("a")))->value;
    CHECK(record.find("[1,true,1,") != std::string::npos);
    CHECK(record.find("[3,false,1,") != std::string::npos);
    CHECK(record.find("ccc") == std::string::npos);
    cluster.world.run(Milliseconds(6000));
    CHECK(cluster.storedState("a") == JobState::Completed);
}

// Guards against accepting a job that the store cannot record.
TEST_CASE("a job whose records would exceed the store's limit is refused as invalid")
{
    SimCluster cluster;
    cluster.world.run(Milliseconds(3000));
    const std::vector<int> steps(16, 2000);
    CHECK(cluster.submit("batch", "a1", jobOf(steps)).outcome == AdmissionOutcome::Invalid);
    CHECK(cluster.submit("batch", "a2", jobOf({ 2000, 2000 }, /*checkpointing=*/true)).outcome
        == AdmissionOutcome::Accepted);
    JobSpec repeated = jobOf({ 800 });
    repeated.occurrences = 100;
    CHECK(cluster.submit("batch", "a3", repeated).outcome == AdmissionOutcome::Invalid);
    JobSpec escaped = shortJob;
    escaped.payload = std::string(200000, '\x01'); // six bytes each in the record
    const AdmissionResponse refused = cluster.submit("batch", "a4", escaped);
    CHECK(refused.outcome == AdmissionOutcome::Invalid);
    CHECK(refused.reason.find("1048576 bytes") != std::string::npos);
    escaped.payload = std::string(200000, 'x');
    CHECK(cluster.submit("batch", "a5", escaped).outcome == AdmissionOutcome::Accepted);
    for (const char* const id : { "a1", "a3", "a4" })
        CHECK_FALSE(cluster.storedState(id).has_value());
    const std::string metrics = cluster.instances[0]->registry.renderPrometheus();
    CHECK(metrics.find("rosemarylink_caller_answers_total{outcome=\"invalid\"} 3") != std::string::npos);
}

// Guards against sums of demands that overflow, so that one job counts as guaranteed whatever its account holds and
// keeps capacity from other work, although no worker can ever run it.
TEST_CASE("a job that demands more than any worker can have is refused at once")
{
    SimCluster cluster;
    cluster.addWorkers(2, 4);
    cluster.world.run(Milliseconds(3000));
    constexpr std::int64_t large = std::numeric_limits<std::int64_t>::max() / 2;
    for (const Resources& demand :
        { Resources { large, 0, 0 }, Resources { 0, large, 0 }, Resources { 0, 0, large } }) {
        JobSpec job = shortJob;
        job.steps[0].perTask = demand;
        const std::string id
            = "large-" + std::to_string(demand.accelerators > 0) + std::to_string(demand.megabytes > 0);
        const AdmissionResponse refused = cluster.submit("urgent", id, job);
        CHECK(refused.outcome == AdmissionOutcome::Invalid);
        CHECK(refused.reason.find("more than a worker can have") != std::string::npos);
    }
    REQUIRE(cluster.submit("batch", "a", shortJob).outcome == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(2000));
    CHECK(cluster.storedState("a") == JobState::Completed);
}

} // namespace rosemarylink::jobs
