#include "JobMemory.h"

#include "AllocationMeter.h"
#include "SimCluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rosemarylink::jobs::internal {

namespace {

    constexpr std::size_t meterLimit = std::size_t(512) << 20;
    const AccountId acme("acme");
    const AccountId beta("beta");

    // A job of which no task fits on any worker beside another, so that it waits.
    JobSpec waitingJob(std::size_t payloadBytes = 0)
    {
        JobSpec job = oneStep(4, 8, Milliseconds(60000), /*gang=*/true);
        job.payload.assign(payloadBytes, 'x');
        return job;
    }

    // Lets the jobs that have not ended hold this much on all instances.
    void limitJobMemory(SimCluster& cluster, std::size_t bytes)
    {
        PoolLimits limits;
        limits.jobMemoryBytes = bytes;
        for (const auto& instance : cluster.instances)
            instance->owner.setLimits(limits);
    }

    // Submits jobs with payloads of 4,000 bytes until one is refused; returns the number of those accepted before.
    int submitUntilRefused(SimCluster& cluster, const std::string& key, int most)
    {
        for (int number = 0; number < most; ++number) {
            const auto response = cluster.submit(
                "batch", key + "-" + std::to_string(number), waitingJob(4000), 0, Milliseconds(3000), key);
            if (response.outcome != AdmissionOutcome::Accepted) {
                CHECK(response.outcome == AdmissionOutcome::NotRun);
                CHECK(response.retryAfter > Milliseconds(0));
                return number;
            }
            cluster.world.run(Milliseconds(150));
        }
        return most;
    }

} // namespace

// Guards against an owner that holds a record for each task of each job that waits, so that callers drive it out of
// memory with a few hundred bytes a job.
TEST_CASE("tasks and occurrences that have not started take hardly any memory")
{
    const auto bytesOf = [](int tasks, int occurrences) {
        JobSpec spec = oneStep(tasks, 1, Milliseconds(1000), /*gang=*/false);
        spec.occurrences = occurrences;
        const AllocationMeter meter(meterLimit);
        const Job job = makeJob(spec, Revision(1));
        CHECK(job.contains({ spec.id, occurrences - 1, 0, tasks - 1 }));
        return meter.peakBytes();
    };
    CHECK(bytesOf(2000, 1) <= 2 * bytesOf(1, 1));
    CHECK(bytesOf(1, 1000) <= 2 * bytesOf(1, 1));
}

// Guards against an estimate that is too low for an owner to stay within its memory.
TEST_CASE("the estimated memory of a job is at least what it takes")
{
    rc::prop("for all sizes of jobs", [] {
        JobSpec spec;
        spec.payload.assign(*rc::gen::inRange<std::size_t>(0, 5000), 'x');
        spec.occurrences = *rc::gen::inRange(1, 50);
        const int steps = *rc::gen::inRange(1, 20);
        for (int number = 0; number < steps; ++number) {
            StepSpec step;
            step.taskCount = *rc::gen::inRange(1, 300);
            step.workerLabel.assign(*rc::gen::inRange<std::size_t>(0, 200), 'l');
            step.dependencies.assign(static_cast<std::size_t>(number), 0);
            spec.steps.push_back(step);
        }
        const int started = *rc::gen::inRange(0, spec.steps[0].taskCount + 1);
        const AllocationMeter meter(meterLimit);
        Job job = makeJob(spec, Revision(1));
        for (int index = 0; index < started; ++index)
            job.task({ spec.id, 0, 0, index }).phase = TaskPhase::Running;
        RC_ASSERT(meter.peakBytes() <= jobBytes(job));
        RC_ASSERT(jobBytes(spec) <= jobBytes(job));
    });
}

// Guards against callers of one account whose jobs keep those of all others from being accepted.
TEST_CASE("an account may hold as many bytes of jobs as all accounts leave free")
{
    rc::prop("for all orders of arrival", [] {
        constexpr std::size_t limit = 100000;
        constexpr std::size_t largestJob = 1000;
        JobMemory memory(limit);
        AdmissionClosure closure;
        const int accounts = *rc::gen::inRange(1, 5);
        for (int step = 0; step < 2000; ++step) {
            const AccountId account(std::to_string(*rc::gen::inRange(0, accounts)));
            if (!closure.contains(account))
                memory.add(account, *rc::gen::inRange<std::size_t>(1, largestJob));
            closure = memory.closure(closure);
        }
        RC_ASSERT(memory.total() < limit);
        RC_ASSERT_FALSE(closure.contains(AccountId("another")));
        // Each account leaves at least half of what it found, but for the job that closes it.
        RC_ASSERT(limit - memory.total() + largestJob * static_cast<std::size_t>(accounts) >= limit
            >> static_cast<unsigned>(accounts));
    });
}

TEST_CASE("an account is opened again only when it holds clearly less than it may")
{
    const auto closureWith = [](std::size_t bytes, const AdmissionClosure& present) {
        JobMemory memory(1000);
        memory.add(acme, bytes);
        return memory.closure(present);
    };
    const AdmissionClosure closed = closureWith(500, {});
    CHECK(closed.accounts == std::set<AccountId> { acme });
    CHECK(closureWith(490, closed) == closed);
    CHECK(closureWith(450, closed).empty());
    CHECK(closureWith(490, {}).empty());
    CHECK(closureWith(1000, {}).all);
    CHECK(parseClosureRecord(closureRecord(closed)).value() == closed);
    CHECK_FALSE(parseClosureRecord("[]"));
}

// Guards against an owner that exceeds its memory with accepted jobs, and each later owner too.
TEST_CASE("new jobs of an account that holds too much are refused and never run, and others' are accepted")
{
    SimCluster cluster;
    cluster.addWorkers(1, 2);
    limitJobMemory(cluster, 200000);
    cluster.world.run(Milliseconds(3000));
    const int accepted = submitUntilRefused(cluster, "key", 100);
    CHECK(accepted > 5);
    CHECK(accepted < 30);
    const std::string refused = "key-" + std::to_string(accepted);
    CHECK_FALSE(cluster.storedState(refused).has_value());
    // A job that is stored is accepted again, since a refusal would say that it never runs.
    CHECK(cluster.submit("batch", "key-0", waitingJob(4000), 1).outcome == AdmissionOutcome::Accepted);
    CHECK(cluster.submit("batch", "other", waitingJob(4000), 1, Milliseconds(3000), "key-of-beta").outcome
        == AdmissionOutcome::Accepted);
    CHECK(cluster.submit("batch", refused, waitingJob(4000), 1).outcome == AdmissionOutcome::NotRun);
    for (int number = 0; number < accepted; ++number)
        cluster.cancel("batch", "key-" + std::to_string(number));
    cluster.world.run(Milliseconds(5000));
    CHECK(cluster.submit("batch", refused, waitingJob(4000), 0).outcome == AdmissionOutcome::Accepted);
    CHECK(cluster.store.find(keys::closure) == nullptr);
}

// Guards against accounts that stay closed because the owner that closed them has ended.
TEST_CASE("the next owner opens the accounts that its predecessor has closed without need")
{
    SimCluster cluster;
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(3000));
    cluster.store.put(keys::closure, closureRecord({ false, { acme, beta } }));
    CHECK(cluster.submit("batch", "a1", waitingJob()).outcome == AdmissionOutcome::NotRun);
    cluster.currentOwner()->kill();
    cluster.world.run(Milliseconds(10000));
    const std::size_t next = cluster.currentOwner() == cluster.instances[0].get() ? 0 : 1;
    CHECK(cluster.submit("batch", "a1", waitingJob(), next).outcome == AdmissionOutcome::Accepted);
}

// Guards against an owner that closes and opens no account any more because one of its writes got no response.
TEST_CASE("an account is closed again after the write that opened it got no response")
{
    SimCluster cluster(1);
    cluster.addWorkers(1, 2);
    limitJobMemory(cluster, 200000);
    cluster.world.run(Milliseconds(3000));
    const int accepted = submitUntilRefused(cluster, "key", 100);
    int unanswered = 0;
    cluster.instances[0]->faultyStore.faultFor = [&unanswered](StoreCall call, const std::string& key) {
        if (call != StoreCall::Commit || key != keys::closure || unanswered > 0)
            return CallFault::None;
        ++unanswered;
        return CallFault::NoResponse;
    };
    for (int number = 0; number < accepted; ++number)
        cluster.cancel("batch", "key-" + std::to_string(number));
    cluster.world.run(Milliseconds(6000));
    CHECK(unanswered == 1);
    CHECK(cluster.store.find(keys::closure) == nullptr);
    for (int number = 0; number < 50; ++number) {
        cluster.submit("batch", "next-" + std::to_string(number), waitingJob(4000));
        cluster.world.run(Milliseconds(100));
    }
    CHECK(cluster.store.find(keys::closure) != nullptr);
}

// Guards against jobs that are accepted without a bound while there is no owner that could close the admission.
TEST_CASE("an instance accepts only so many bytes of jobs a second")
{
    SimCluster cluster(1);
    cluster.world.run(Milliseconds(100)); // no owner yet
    JobSpec large = oneStep(2000, 1, Milliseconds(1000), /*gang=*/false);
    large.steps.assign(10, large.steps.front());
    int accepted = 0;
    AdmissionResponse response;
    do {
        response = cluster.submit("batch", "j" + std::to_string(accepted), large);
    } while (response.outcome == AdmissionOutcome::Accepted && ++accepted < 100);
    CHECK(accepted < 20);
    CHECK(response.outcome == AdmissionOutcome::NotRun);
    CHECK_FALSE(cluster.storedState("j" + std::to_string(accepted)).has_value());
    cluster.world.run(response.retryAfter);
    CHECK(cluster.submit("batch", "later", large).outcome == AdmissionOutcome::Accepted);
}

} // namespace rosemarylink::jobs::internal
