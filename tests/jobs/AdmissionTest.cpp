#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

namespace {

    const JobSpec smallJob = oneStep(2, 1, Milliseconds(500), /*gang=*/false);

} // namespace

// Guards against answering before the job is stored, which a power loss would then lose.
TEST_CASE("an accepted job is in the store before the answer")
{
    SimCluster cluster;
    cluster.world.run(Milliseconds(100));
    REQUIRE(cluster.submit("batch", "a1", smallJob).outcome == AdmissionOutcome::Accepted);
    REQUIRE(cluster.store.find(keys::job(JobId("a1"))) != nullptr);
    REQUIRE(cluster.stored("a1") == JobState::Queued);
    REQUIRE(cluster.store.countBelow(keys::waitingIn(QueueId("batch"))) == 1);
}

// Guards against running a job twice when a caller repeats its submission, at any instance and after its end.
TEST_CASE("a repeated submission is the same job")
{
    SimCluster cluster;
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(300));
    REQUIRE(cluster.submit("batch", "a1", smallJob, 0).outcome == AdmissionOutcome::Accepted);
    REQUIRE(cluster.submit("batch", "a1", smallJob, 1).outcome == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.stored("a1") == JobState::Completed);
    REQUIRE(cluster.submit("batch", "a1", smallJob, 1).outcome == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.fleet.startsOf(JobId("a1")) == 2);
}

// Guards against "not run" for a submission whose unanswered write takes effect later.
TEST_CASE("a submission whose write was left unanswered is never reported as not run")
{
    SimCluster cluster;
    cluster.world.run(Milliseconds(1200));
    cluster.store.lostAnswers = 1;
    cluster.store.lateBy = Milliseconds(4000);
    const AdmissionAnswer answer = cluster.submit("batch", "a1", smallJob);
    REQUIRE(answer.outcome == AdmissionOutcome::MayHaveRun);
    cluster.world.run(Milliseconds(5000));
    REQUIRE(cluster.stored("a1").has_value());
}

// Guards against holding a caller until its deadline, and against a refusal that is not true.
TEST_CASE("a store that refuses gives a prompt and true refusal")
{
    SimCluster cluster;
    cluster.world.run(Milliseconds(1200));
    cluster.store.mode = SimStore::Mode::Refusing;
    const Milliseconds before = cluster.world.now();
    const AdmissionAnswer answer = cluster.submit("batch", "a1", smallJob);
    REQUIRE(answer.outcome == AdmissionOutcome::NotRun);
    REQUIRE(answer.retryAfter > Milliseconds(0));
    REQUIRE(cluster.world.now() - before <= Milliseconds(1000));
    cluster.store.mode = SimStore::Mode::Up;
    cluster.world.run(Milliseconds(5000));
    REQUIRE_FALSE(cluster.stored("a1").has_value());
}

// Guards against admitting under a configuration that the operators have replaced.
TEST_CASE("a submission is decided by the newest configuration even before its event arrives")
{
    SimCluster cluster(1);
    cluster.world.run(Milliseconds(1200));
    REQUIRE(cluster.submit("batch", "a1", smallJob).outcome == AdmissionOutcome::Accepted);
    cluster.putConfiguration("another-key");
    REQUIRE(cluster.submit("batch", "a2", smallJob).outcome == AdmissionOutcome::NoKey);
    cluster.putConfiguration("key", "urgent");
    cluster.world.run(Milliseconds(1100));
    REQUIRE(cluster.submit("batch", "a3", smallJob).outcome == AdmissionOutcome::NoQueue);
}

// Guards against answers from a configuration that a cut instance can't know to be current.
TEST_CASE("an instance that can't confirm its configuration refuses instead of answering from an old one")
{
    SimCluster cluster;
    cluster.world.run(Milliseconds(200));
    cluster.instances[0]->store.cut = true;
    cluster.world.run(Milliseconds(2000));
    cluster.putConfiguration("key", "urgent");
    const AdmissionAnswer answer = cluster.query("nowhere", "a1", 0);
    REQUIRE(answer.outcome == AdmissionOutcome::NotRun);
}

// Guards against a false "no such job" right after the acceptance, at an instance that did not accept it.
TEST_CASE("every instance knows a job at once, and says what it does not know")
{
    SimCluster cluster(3);
    cluster.world.run(Milliseconds(200));
    REQUIRE(cluster.submit("batch", "a1", smallJob, 0).outcome == AdmissionOutcome::Accepted);
    for (std::size_t instance = 0; instance < 3; ++instance) {
        const AdmissionAnswer known = cluster.query("batch", "a1", instance);
        REQUIRE(known.outcome == AdmissionOutcome::Accepted);
        REQUIRE(known.state == JobState::Queued);
        REQUIRE(cluster.query("batch", "b1", instance).outcome == AdmissionOutcome::NoJob);
        const AdmissionAnswer waiting = cluster.query("batch", "", instance);
        REQUIRE(waiting.pending == std::size_t(1));
    }
}

// Guards against the crash that FuzzTest found: an id with bytes that are no text could not be written to the store.
TEST_CASE("only ids of letters, digits, '-' and '_' name jobs")
{
    REQUIRE(isValidJobId(JobId("0123456789abcdef")));
    for (const std::string text : { "", "a.b", "a/b", "a b", "\xb2", "a\n" })
        REQUIRE_FALSE(isValidJobId(JobId(text)));
    REQUIRE_FALSE(isValidJobId(JobId(std::string(65, 'a'))));
    SimCluster cluster(1);
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.submit("batch", "\xb2", smallJob).outcome == AdmissionOutcome::Invalid);
    REQUIRE(cluster.query("batch", "\xb2").outcome == AdmissionOutcome::NoJob);
    REQUIRE(cluster.cancel("batch", "\xb2").outcome == AdmissionOutcome::NoJob);
}

// Guards against legs of a job's way that the metrics do not show.
TEST_CASE("every leg of a job's way is measured")
{
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(5000));
    REQUIRE(cluster.submit("batch", "a1", smallJob).outcome == AdmissionOutcome::Accepted);
    cluster.world.run(Milliseconds(10000));
    REQUIRE(cluster.stored("a1") == JobState::Completed);
    REQUIRE(cluster.query("nowhere", "a1").outcome == AdmissionOutcome::NoQueue);
    const std::string text = cluster.instances[0]->registry.renderPrometheus();
    for (const char* const leg : { "accept", "hand-over", "first-start", "start-answer", "store", "completion" })
        CHECK(text.find("rosemarylink_job_leg_ms_count{leg=\"" + std::string(leg) + "\"} 0") == std::string::npos);
    CHECK(text.find("rosemarylink_caller_answers_total{outcome=\"no-queue\"} 1") != std::string::npos);
    CHECK(text.find("rosemarylink_run_ends_total{end=\"done\"} ") != std::string::npos);
    CHECK(text.find("rosemarylink_ownerships_total 1") != std::string::npos);
}

} // namespace rosemarylink::jobs
