#include "CellHarness.h"

#include <catch2/catch.hpp>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    TEST_CASE("a submitted job is stored, launched on all its workers, completed and removed")
    {
        CellHarness harness;
        Scheduler& scheduler = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        const auto submission = scheduler.controller->submit(makeJob("j1", 12), IdempotencyKey("k1"));
        REQUIRE(submission);
        CHECK_FALSE(submission.value().existed);
        REQUIRE(harness.jobRecord("j1"));
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 12); }));
        harness.run(Milliseconds(500));
        const auto record = harness.placements();
        REQUIRE(record.gangs.size() == 1);
        CHECK(record.gangs[0].phase == records::GangPhase::Running);
        harness.run(Milliseconds(2000));
        const std::string metrics = harness.metrics.renderPrometheus();
        CHECK(metrics.find("rosemarylink_cell_owned{cell=\"cell\"} 1") != std::string::npos);
        CHECK(metrics.find("rosemarylink_cell_gangs{cell=\"cell\"} 1") != std::string::npos);
        harness.fleet.finishJob(JobId("j1"), TaskState::Completed);
        REQUIRE(harness.runUntil([&] { return harness.placements().gangs.empty(); }));
        CHECK(harness.jobRecord("j1")->state == records::JobState::Completed);
        harness.run(Milliseconds(10000));
        for (const auto& [id, worker] : harness.fleet.workers())
            CHECK(worker.tasks.empty());
    }

    TEST_CASE("a repeated submission finds the first; a different job with the same id is refused")
    {
        CellHarness harness;
        Scheduler& scheduler = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        REQUIRE(scheduler.controller->submit(makeJob("j1", 2)));
        const auto again = scheduler.controller->submit(makeJob("j1", 2));
        REQUIRE(again);
        CHECK(again.value().existed);
        const auto other = scheduler.controller->submit(makeJob("j1", 3));
        REQUIRE_FALSE(other);
        CHECK(other.error().code == ErrorCode::Conflict);
    }

    TEST_CASE("a job that the policy refuses leaves no record")
    {
        CellHarness harness;
        Scheduler& scheduler = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        auto job = makeJob("j1", 1);
        job.perTask.accelerators = Accelerators(2000);
        const auto refused = scheduler.controller->submit(job);
        REQUIRE_FALSE(refused);
        CHECK(refused.error().code == ErrorCode::InvalidArgument);
        CHECK_FALSE(harness.jobRecord("j1"));
    }

    TEST_CASE("waiting and running jobs are cancelled durably")
    {
        CellHarness harness(1);
        Scheduler& scheduler = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        REQUIRE(scheduler.controller->submit(makeJob("running", 8)));
        REQUIRE(harness.runUntil([&] { return harness.runs("running", 8); }));
        REQUIRE(scheduler.controller->submit(makeJob("waiting", 8)));
        REQUIRE(scheduler.controller->cancel(JobId("waiting")));
        CHECK(harness.jobRecord("waiting")->state == records::JobState::Cancelled);
        REQUIRE(scheduler.controller->cancel(JobId("running")));
        REQUIRE(harness.runUntil([&] { return harness.placements().gangs.empty() && harness.runs("running", 0); }));
        CHECK(harness.jobRecord("running")->state == records::JobState::Cancelled);
        CHECK(scheduler.controller->cancel(JobId("running")));
        CHECK(scheduler.controller->cancel(JobId("unknown")).error().code == ErrorCode::NotFound);
    }

    TEST_CASE("a burst of submissions takes few writes of the placements record")
    {
        CellHarness harness(16);
        Scheduler& scheduler = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        const std::int64_t before = scheduler.store->writes;
        for (int index = 0; index < 64; ++index)
            REQUIRE(scheduler.controller->submit(makeJob("j" + std::to_string(index), 2)));
        REQUIRE(harness.runUntil([&] { return harness.runs("j63", 2); }));
        harness.run(Milliseconds(500));
        // 64 job records, one placements write each for reserving, starting and running, and two for late gangs.
        CHECK(scheduler.store->writes - before <= 64 + 5);
    }

    TEST_CASE("a reclaimed job is checkpointed, requeued and started again with a higher attempt")
    {
        CellHarness harness(1);
        Scheduler& scheduler = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        auto job = makeJob("j1", 4);
        job.checkpointable = true;
        REQUIRE(scheduler.controller->submit(job));
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 4); }));
        harness.run(Milliseconds(500));
        scheduler.policy->requestStop(JobId("j1"), policy::StopReason::Reclaimed, true);
        // The checkpoint takes 2 s; its end must not wait for the next lease renewal, up to 6 s later.
        const auto startedAgain = [&] { return harness.fleet.startedAttempts(JobId("j1")).size() == 2; };
        REQUIRE(harness.runUntil(startedAgain, Milliseconds(5000)));
        CHECK(harness.runUntil([&] { return harness.runs("j1", 4); }));
    }

    TEST_CASE("a failed task ends the whole gang as failed")
    {
        CellHarness harness;
        Scheduler& scheduler = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        harness.fleet.worker(WorkerId("worker-10001")).failTasks = true;
        REQUIRE(scheduler.controller->submit(makeJob("j1", 24)));
        REQUIRE(harness.runUntil([&] { return harness.jobRecord("j1")->state == records::JobState::Failed; }));
        CHECK(harness.runs("j1", 0));
        CHECK(scheduler.policy->failedTasks >= 1);
    }

    TEST_CASE("a record of an unsupported schema version is refused")
    {
        auto json = records::toJson(records::CellLeaseRecord { 1, OperationId("o"), CellId("c"), InstanceId("i") });
        json["schemaVersion"] = 2;
        json["future"] = true;
        const auto decoded = decodeCbor(encodeCbor(json), 1, "lease");
        REQUIRE_FALSE(decoded);
        CHECK(decoded.error().code == ErrorCode::Unsupported);
        CHECK(decodeCbor("not cbor", 1, "lease").error().code == ErrorCode::InvalidArgument);
    }

    TEST_CASE("a leaving scheduler hands over its cell at once and its gangs keep running")
    {
        CellHarness harness;
        Scheduler& first = harness.addScheduler();
        REQUIRE(harness.waitForOwner());
        REQUIRE(first.controller->submit(makeJob("j1", 12, false)));
        REQUIRE(harness.runUntil([&] { return harness.runs("j1", 12); }));
        harness.run(Milliseconds(500));
        Scheduler& second = harness.addScheduler();
        first.controller->leave();
        REQUIRE(harness.runUntil([&] { return first.controller->hasLeft(); }));
        REQUIRE(harness.runUntil([&] { return second.isOwner(); }, Milliseconds(5000)));
        harness.run(Milliseconds(30000));
        CHECK(harness.runs("j1", 12));
        CHECK(harness.fleet.startedAttempts(JobId("j1")).size() == 1);
    }

} // namespace
} // namespace rosemarylink::state
