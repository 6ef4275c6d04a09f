#include "FakeCluster.h"

#include "RunTimeEstimates.h"

#include <catch2/catch.hpp>

namespace rosemarylink::policy {
namespace {

    using namespace testing;

    struct Cell {
        explicit Cell(int racks, int workersPerRack, const std::string& name = "default")
            : workers(makeWorkers(racks, workersPerRack))
            , policy(makeFleetPolicy(name, racks, workersPerRack))
            , cluster(*policy, workers)
        {
        }
        std::vector<model::WorkerSpec> workers;
        std::unique_ptr<SchedulingPolicy> policy;
        FakeCluster cluster;
    };

    void failTaskAndCancel(Cell& cell, const std::string& id, const std::string& worker, Timestamp now)
    {
        cell.policy->taskFailed(JobId(id), WorkerId(worker), now);
        cell.cluster.end(JobId(id), GangOutcome::Failed, now);
        cell.cluster.cancel(JobId(id), now);
    }

    TEST_CASE("a worker that fails three different jobs is quarantined until a probe completes")
    {
        Cell cell(1, 1);
        for (int number = 0; number < 3; ++number) {
            const std::string id = "job-" + std::to_string(number);
            REQUIRE(cell.cluster.submit(makeJob(id, 1, model::Adjacency::Worker), at(number)));
            cell.cluster.decide(at(number));
            REQUIRE(cell.cluster.isRunning(JobId(id)));
            failTaskAndCancel(cell, id, "r0-w0", at(number));
        }
        CHECK(cell.policy->snapshot(at(3)).quarantined == std::vector<WorkerId> { WorkerId("r0-w0") });
        REQUIRE(cell.cluster.submit(makeJob("probe", 1, model::Adjacency::Worker), at(4)));
        REQUIRE(cell.cluster.submit(makeJob("later", 1, model::Adjacency::Worker), at(4)));
        cell.cluster.decide(at(5));
        CHECK(cell.cluster.running().empty());
        cell.cluster.decide(at(3600));
        CHECK(cell.cluster.running().size() == 1);
        cell.cluster.end(cell.cluster.running().begin()->first, GangOutcome::Completed, at(3700));
        cell.cluster.decide(at(3700));
        CHECK(cell.policy->snapshot(at(3700)).quarantined.empty());
        CHECK(cell.cluster.running().size() == 1);
    }

    TEST_CASE("a job that always fails quarantines no worker and is not retried after three attempts")
    {
        Cell cell(1, 4);
        REQUIRE(cell.cluster.submit(makeJob("bad", 1, model::Adjacency::Worker), at(0)));
        std::set<WorkerId> tried;
        int attempts = 0;
        for (std::int64_t second = 0; second < 100; second += 10) {
            cell.cluster.decide(at(second));
            if (!cell.cluster.isRunning(JobId("bad")))
                continue;
            ++attempts;
            const WorkerId worker = cell.cluster.running().at(JobId("bad")).placement.workers.front();
            tried.insert(worker);
            cell.policy->taskFailed(JobId("bad"), worker, at(second));
            cell.cluster.end(JobId("bad"), GangOutcome::Failed, at(second));
        }
        CHECK(attempts == 3);
        CHECK(tried.size() == 3);
        CHECK(cell.policy->snapshot(at(100)).quarantined.empty());
    }

    TEST_CASE("urgent work preempts borrowed work without a checkpoint")
    {
        Cell cell(1, 2);
        REQUIRE(cell.cluster.submit(makeJob("long", 16, model::Adjacency::Rack), at(0)));
        cell.cluster.decide(at(0));
        model::JobSpec urgent = makeJob("urgent", 1, model::Adjacency::Region);
        urgent.urgent = true;
        REQUIRE(cell.cluster.submit(urgent, at(100)));
        const Decisions decisions = cell.policy->decide(at(100));
        REQUIRE(decisions.stops.size() == 1);
        CHECK(decisions.stops.front().reason == StopReason::Reclaimed);
        CHECK(!decisions.stops.front().checkpointFirst);
        CHECK(decisions.starts.empty());
        CHECK(cell.policy->gangEnded(JobId("long"), GangOutcome::Stopped, at(101)) == JobDisposition::Requeued);
        const Decisions after = cell.policy->decide(at(101));
        REQUIRE(after.starts.size() == 1);
        CHECK(after.starts.front().job == urgent.id);
    }

    TEST_CASE("a large waiting gang has a reservation in its explanation")
    {
        Cell cell(1, 4);
        for (int number = 0; number < 4; ++number) {
            model::JobSpec job = makeJob("small-" + std::to_string(number), 8, model::Adjacency::Worker);
            job.checkpointable = false;
            REQUIRE(cell.cluster.submit(job, at(0)));
        }
        cell.cluster.decide(at(0));
        REQUIRE(cell.cluster.submit(makeJob("gang", 32, model::Adjacency::Rack), at(1)));
        cell.cluster.decide(at(1));
        const Explanation explanation = cell.policy->explain(JobId("gang"), at(1));
        CHECK(explanation.state == "waiting");
        CHECK(explanation.reservedStart == at(3600));
        CHECK(explanation.waitsFor.size() == 4);
    }

    TEST_CASE("work expected to end after a reservation starts is kept off the reserved workers")
    {
        Cell cell(1, 4);
        model::JobSpec blocker = makeJob("blocker", 8, model::Adjacency::Worker);
        blocker.idempotent = false;
        blocker.checkpointable = false;
        REQUIRE(cell.cluster.submit(blocker, at(0)));
        cell.cluster.decide(at(0));
        REQUIRE(cell.cluster.submit(makeJob("gang", 32, model::Adjacency::Rack), at(1)));
        cell.cluster.decide(at(1));
        model::JobSpec longer = makeJob("longer", 8, model::Adjacency::Worker);
        longer.declaredRunTime = Milliseconds(7200000);
        longer.checkpointable = false;
        model::JobSpec shorter = makeJob("shorter", 8, model::Adjacency::Worker);
        shorter.declaredRunTime = Milliseconds(600000);
        REQUIRE(cell.cluster.submit(longer, at(2)));
        REQUIRE(cell.cluster.submit(shorter, at(2)));
        cell.cluster.decide(at(2));
        CHECK(cell.cluster.isRunning(shorter.id));
        CHECK(!cell.cluster.isRunning(longer.id));
    }

    TEST_CASE("losing one worker stops the whole gang, and non-restartable work is not launched again")
    {
        Cell cell(2, 2);
        model::JobSpec once = makeJob("once", 16, model::Adjacency::Rack);
        once.idempotent = false;
        once.checkpointable = false;
        REQUIRE(cell.cluster.submit(once, at(0)));
        cell.cluster.decide(at(0));
        const WorkerId member = cell.cluster.running().at(once.id).placement.workers.front();
        cell.policy->setWorkerState(member, model::ResourceState::Lost, at(1));
        const Decisions decisions = cell.policy->decide(at(1));
        REQUIRE(decisions.stops.size() == 1);
        CHECK(decisions.stops.front().reason == StopReason::WorkerLost);
        CHECK(cell.policy->gangEnded(once.id, GangOutcome::WorkerLost, at(2)) == JobDisposition::MayHaveRun);
        CHECK(cell.policy->explain(once.id, at(2)).state == "unknown");
    }

    TEST_CASE("a refused launch is retried, also for non-restartable work")
    {
        Cell cell(1, 1);
        model::JobSpec once = makeJob("once", 1, model::Adjacency::Worker);
        once.idempotent = false;
        once.checkpointable = false;
        REQUIRE(cell.policy->submit(once, at(0)));
        REQUIRE(cell.policy->decide(at(0)).starts.size() == 1);
        CHECK(cell.policy->gangEnded(once.id, GangOutcome::LaunchRefused, at(0)) == JobDisposition::Requeued);
        CHECK(cell.policy->decide(at(0)).starts.empty());
        CHECK(cell.policy->decide(at(10)).starts.size() == 1);
    }

    TEST_CASE("checkpointable work is moved off a leaving worker")
    {
        Cell cell(1, 2);
        REQUIRE(cell.cluster.submit(makeJob("movable", 1, model::Adjacency::Worker), at(0)));
        cell.cluster.decide(at(0));
        const WorkerId worker = cell.cluster.running().begin()->second.placement.workers.front();
        cell.cluster.setState(worker, model::ResourceState::Leaving, at(1));
        cell.cluster.settle(at(1));
        REQUIRE(cell.cluster.isRunning(JobId("movable")));
        CHECK(cell.cluster.running().begin()->second.placement.workers.front() != worker);
        CHECK(cell.cluster.violations().empty());
    }

    TEST_CASE("the maintenance preset keeps long work off a rack with a leaving worker")
    {
        Cell cell(1, 2);
        PolicyConfig config = makeConfig(2);
        config.declarations.preset = model::Preset::Maintenance;
        REQUIRE(cell.policy->configure(config, at(0)));
        cell.cluster.setState(WorkerId("r0-w0"), model::ResourceState::Leaving, at(0));
        model::JobSpec shorter = makeJob("shorter", 1, model::Adjacency::Worker);
        shorter.declaredRunTime = Milliseconds(60000);
        REQUIRE(cell.cluster.submit(makeJob("longer", 1, model::Adjacency::Worker), at(0)));
        REQUIRE(cell.cluster.submit(shorter, at(0)));
        cell.cluster.decide(at(0));
        CHECK(!cell.cluster.isRunning(JobId("longer")));
        CHECK(cell.cluster.isRunning(shorter.id));
    }

    TEST_CASE("the peak preset limits borrowing and does not stop work to make room")
    {
        Cell cell(1, 4);
        PolicyConfig config = makeConfig(2);
        config.declarations.preset = model::Preset::Peak;
        REQUIRE(cell.policy->configure(config, at(0)));
        for (int number = 0; number < 4; ++number)
            REQUIRE(
                cell.cluster.submit(makeJob("small-" + std::to_string(number), 8, model::Adjacency::Worker), at(0)));
        cell.cluster.decide(at(0));
        CHECK(cell.cluster.usedAccelerators() == 16); // three fifths of 32, in whole jobs
        REQUIRE(cell.cluster.submit(makeJob("gang", 32, model::Adjacency::Rack), at(1)));
        cell.cluster.decide(at(36000));
        CHECK(cell.cluster.stoppingJobs().empty());
    }

    TEST_CASE("a job that exceeds the free quota waits, and a job larger than the quota is refused")
    {
        Cell cell(1, 4);
        PolicyConfig config = makeConfig(2);
        config.declarations.accounts.front().quotaAccelerators = Accelerators(16);
        REQUIRE(cell.policy->configure(config, at(0)));
        CHECK(!cell.policy->submit(makeJob("too-large", 17, model::Adjacency::Rack), at(0)));
        REQUIRE(cell.cluster.submit(makeJob("first", 12, model::Adjacency::Rack), at(0)));
        REQUIRE(cell.cluster.submit(makeJob("second", 12, model::Adjacency::Rack), at(0)));
        cell.cluster.decide(at(0));
        CHECK(cell.cluster.usedAccelerators() == 12);
    }

    TEST_CASE("an older configuration, an unknown account and a changed worker are refused")
    {
        Cell cell(1, 1);
        REQUIRE(cell.policy->configure(makeConfig(5), at(0)));
        CHECK(cell.policy->configure(makeConfig(4), at(0)).error().code == ErrorCode::Conflict);
        model::JobSpec job = makeJob("job", 1, model::Adjacency::Worker);
        job.account = AccountId("stranger");
        CHECK(cell.policy->submit(job, at(0)).error().code == ErrorCode::NotFound);
        model::WorkerSpec changed = makeWorker(0, 0);
        changed.capacity.cores = Cores(1);
        CHECK(cell.policy->addWorker(changed, at(0)).error().code == ErrorCode::Conflict);
    }

    TEST_CASE("fifo starts no job before the blocked head of the queue, backfill only jobs that do not delay it")
    {
        const std::string name = GENERATE("fifo", "backfill");
        Cell cell(1, 2, name);
        REQUIRE(cell.cluster.submit(makeJob("running", 12, model::Adjacency::Rack), at(0)));
        cell.cluster.decide(at(0));
        REQUIRE(cell.cluster.submit(makeJob("head", 16, model::Adjacency::Rack), at(1)));
        model::JobSpec shorter = makeJob("shorter", 2, model::Adjacency::Worker);
        shorter.declaredRunTime = Milliseconds(60000);
        REQUIRE(cell.cluster.submit(makeJob("longer", 2, model::Adjacency::Worker), at(2)));
        REQUIRE(cell.cluster.submit(shorter, at(2)));
        cell.cluster.decide(at(2));
        CHECK(cell.cluster.isRunning(JobId("running")));
        CHECK(!cell.cluster.isRunning(JobId("longer")));
        CHECK(cell.cluster.isRunning(shorter.id) == (name == "backfill"));
    }

    TEST_CASE("run time estimates adapt to completed runs of the same account and kind")
    {
        internal::RunTimeEstimates estimates;
        model::JobSpec job = makeJob("job", 1, model::Adjacency::Worker);
        job.declaredRunTime = Milliseconds(1000);
        CHECK(estimates.expectedRunTime(job) == Milliseconds(1000));
        for (int run = 0; run < 10; ++run)
            estimates.observe(job, Milliseconds(10000));
        CHECK(estimates.expectedRunTime(job) >= Milliseconds(9900));
        CHECK(estimates.expectedRunTime(job) <= Milliseconds(10100));
        job.kind = KindId("other");
        CHECK(estimates.expectedRunTime(job) == Milliseconds(1000));
    }

} // namespace
} // namespace rosemarylink::policy
