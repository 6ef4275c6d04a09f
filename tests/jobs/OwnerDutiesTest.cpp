#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>

namespace rosemarylink::jobs {

namespace {

    // From the start of an instance until it owns the pools and has read the store and the workers.
    constexpr Milliseconds startTime { 3000 };

    // A cluster of one instance, whose calls fail as the test demands.
    struct FaultyCluster {
        FaultyCluster()
            : instance(*cluster.instances.front())
        {
            cluster.world.ignoresExceptions = true;
            cluster.addWorkers(2, 4);
        }

        void run(Milliseconds duration) { cluster.world.run(duration); }

        // Lets the next `times` calls of this kind for the key fail.
        void failStoreCalls(StoreCall call, const std::string& key, CallFault fault, int times = 1)
        {
            instance.faultyStore.faultFor
                = [call, key, fault, left = std::make_shared<int>(times)](StoreCall made, const std::string& madeFor) {
                      return made == call && madeFor == key && (*left)-- > 0 ? fault : CallFault::None;
                  };
        }

        // Whether a job that is submitted now completes within the time.
        bool completes(const std::string& id, const JobSpec& job, Milliseconds time)
        {
            if (cluster.submit("batch", id, job).outcome != AdmissionOutcome::Accepted)
                return false;
            run(time);
            return cluster.storedState(id) == JobState::Completed;
        }

        SimCluster cluster { 1 };
        SimInstance& instance;
    };

    JobSpec shortJob() { return oneStep(2, 1, Milliseconds(300), /*gang=*/false); }

    // An owner notices a call that gets no response, and repeats it, within this time.
    constexpr Milliseconds restartTime { 12000 };

    constexpr int always = 1000000000;

} // namespace

// Guards against an owner that no longer notices leases that have expired, because its tick ended with an exception.
TEST_CASE("runs of an unresponsive worker start elsewhere although the owner's tick has thrown an exception")
{
    FaultyCluster faulty;
    faulty.run(startTime);
    faulty.failStoreCalls(StoreCall::Commit, keys::fleet, CallFault::Throws);
    faulty.cluster.fleet.setEntry(WorkerId("w1-3"), /*listed=*/false); // the tick removes it and stores the fleet
    faulty.run(Milliseconds(2000));
    JobSpec job = oneStep(8, 8, Milliseconds(2000), /*gang=*/false);
    faulty.cluster.submit("batch", "a", job);
    faulty.run(Milliseconds(500));
    REQUIRE(faulty.cluster.fleet.runningOn(WorkerId("w0-0")) > 0);
    faulty.cluster.fleet.silent = { WorkerId("w0-0") };
    faulty.run(Milliseconds(15000));
    CHECK(faulty.cluster.storedState("a") == JobState::Completed);
}

// Guards against an owner that no longer learns of workers that join or leave, because one list of them failed.
TEST_CASE("a worker that joins is used although an earlier list of workers threw or got no response")
{
    const CallFault fault = GENERATE(CallFault::Throws, CallFault::NoResponse);
    CAPTURE(fault);
    FaultyCluster faulty;
    faulty.run(startTime);
    faulty.failStoreCalls(StoreCall::List, faulty.instance.catalog.workerPrefix(), fault);
    faulty.run(restartTime);
    faulty.cluster.fleet.add(WorkerId("new"), "r9", { 32000, 64000, 8 });
    faulty.run(Milliseconds(1500));
    JobSpec job = shortJob();
    job.steps[0].workerLabel = "r9";
    CHECK(faulty.completes("a", job, Milliseconds(2000)));
}

// The same for an exception while the list is handled.
TEST_CASE("a worker that joins is used although the registration of another threw an exception")
{
    FaultyCluster faulty;
    faulty.run(startTime);
    faulty.instance.catalog.throwsFor = "workers/w0-0";
    faulty.run(Milliseconds(2000));
    faulty.cluster.fleet.add(WorkerId("new"), "r9", { 32000, 64000, 8 });
    faulty.run(Milliseconds(1500));
    JobSpec job = shortJob();
    job.steps[0].workerLabel = "r9";
    CHECK(faulty.completes("a", job, Milliseconds(2000)));
}

// Guards against an owner that lists its workers twice as often after each response that came twice.
TEST_CASE("the list of workers is requested once per interval although its responses come twice")
{
    FaultyCluster faulty;
    faulty.run(startTime);
    const std::string prefix = faulty.instance.catalog.workerPrefix();
    faulty.failStoreCalls(StoreCall::List, prefix, CallFault::TwoResponses, always);
    const int listsBefore = faulty.instance.store.lists[prefix];
    faulty.run(Milliseconds(8000));
    CHECK(faulty.instance.store.lists[prefix] - listsBefore <= 8);
    CHECK(faulty.completes("a", shortJob(), Milliseconds(2000)));
}

// Guards against an owner that never sees another submission, because one watch of them failed.
TEST_CASE("a job starts although an earlier watch of submissions threw or got no response")
{
    const CallFault fault = GENERATE(CallFault::Throws, CallFault::NoResponse);
    CAPTURE(fault);
    FaultyCluster faulty;
    faulty.run(startTime);
    faulty.failStoreCalls(StoreCall::Watch, keys::incoming, fault);
    faulty.run(Milliseconds(1500)); // the watch that was on its way has ended
    // Within the time after which the platform counts a ready job as lost.
    CHECK(faulty.completes("a", shortJob(), Milliseconds(3000)));
    CHECK(faulty.completes("b", shortJob(), Milliseconds(1000)));
}

// Guards against an owner that keeps its lease without ever finishing its takeover, because one of its first reads
// failed.
TEST_CASE("a job starts although a first read of the owner threw or got no response")
{
    struct FirstRead {
        StoreCall call;
        std::string key;
    };
    const FirstRead read = GENERATE(values<FirstRead>({ { StoreCall::List, keys::progressPrefix },
        { StoreCall::Read, keys::fleet }, { StoreCall::List, keys::incoming } }));
    const CallFault fault = GENERATE(CallFault::Throws, CallFault::NoResponse);
    CAPTURE(read.key, fault);
    FaultyCluster faulty;
    faulty.failStoreCalls(read.call, read.key, fault);
    faulty.run(startTime + restartTime);
    CHECK(faulty.completes("a", shortJob(), Milliseconds(1000)));
}

// Guards against an owner that watches twice as often after each response that came twice.
TEST_CASE("submissions are watched once at a time although responses come twice")
{
    FaultyCluster faulty;
    faulty.run(startTime);
    int watches = 0;
    faulty.instance.faultyStore.faultFor = [&watches](StoreCall call, const std::string& key) {
        const bool watch = call == StoreCall::Watch && key == keys::incoming;
        watches += watch ? 1 : 0;
        return watch ? CallFault::TwoResponses : CallFault::None;
    };
    faulty.run(Milliseconds(8000));
    CHECK(watches <= 9);
    CHECK(faulty.completes("a", shortJob(), Milliseconds(1000)));
}

// Guards against a worker whose ends are never learned of, because one poll of it failed: its tasks stay active for
// good, and its lease is no longer renewed.
TEST_CASE("a job completes although a poll of its worker threw or got no response")
{
    const CallFault fault = GENERATE(CallFault::Throws, CallFault::NoResponse);
    CAPTURE(fault);
    FaultyCluster faulty;
    faulty.run(startTime);
    faulty.cluster.submit("batch", "a", oneStep(8, 8, Milliseconds(9000), /*gang=*/false));
    faulty.run(Milliseconds(3000));
    REQUIRE(faulty.cluster.fleet.runningOn(WorkerId("w0-0")) == 1);
    int faults = 0;
    faulty.instance.faultyWorkers.faultFor = [&faults, fault](WorkerCall call, const WorkerId& worker) {
        return call == WorkerCall::Poll && worker == WorkerId("w0-0") && faults++ == 0 ? fault : CallFault::None;
    };
    faulty.run(Milliseconds(10000));
    CHECK(faults > 1);
    CHECK(faulty.cluster.storedState("a") == JobState::Completed);
    CHECK(faulty.cluster.fleet.startsOf(JobId("a")) == 8);
    CHECK(faulty.cluster.fleet.violations().empty());
}

// The same for an exception while a report is handled: here, the command to stop an unknown run in it throws.
TEST_CASE("a job completes although handling a report of its worker threw an exception")
{
    FaultyCluster faulty;
    faulty.run(startTime);
    faulty.cluster.submit("batch", "a", oneStep(8, 8, Milliseconds(9000), /*gang=*/false));
    faulty.run(Milliseconds(3000));
    bool injected = false;
    faulty.instance.faultyWorkers.changeReport = [&injected](const WorkerId& worker, WorkerReport& report) {
        if (worker != WorkerId("w0-0") || std::exchange(injected, true))
            return;
        RunningRun unknown;
        unknown.task.job = JobId("unknown");
        unknown.run = 1;
        report.running.push_back(unknown);
    };
    faulty.instance.faultyWorkers.faultFor = [](WorkerCall call, const WorkerId&) {
        return call == WorkerCall::Stop ? CallFault::Throws : CallFault::None;
    };
    faulty.run(Milliseconds(10000));
    CHECK(injected);
    CHECK(faulty.cluster.storedState("a") == JobState::Completed);
    CHECK(faulty.cluster.fleet.startsOf(JobId("a")) == 8);
}

// Guards against polls that multiply, and against ends that are handled twice.
TEST_CASE("workers are polled once at a time although responses come twice")
{
    FaultyCluster faulty;
    faulty.run(startTime);
    int polls = 0;
    faulty.instance.faultyWorkers.faultFor = [&polls](WorkerCall call, const WorkerId&) {
        polls += call == WorkerCall::Poll ? 1 : 0;
        return call == WorkerCall::Poll ? CallFault::TwoResponses : CallFault::None;
    };
    CHECK(faulty.completes("a", oneStep(8, 8, Milliseconds(4000), /*gang=*/false), Milliseconds(6000)));
    CHECK(polls <= 8 * 8);
    CHECK(faulty.cluster.fleet.startsOf(JobId("a")) == 8);
    CHECK(faulty.cluster.fleet.violations().empty());
}

// Guards against an owner that renews its lease for good although it cannot follow submissions or workers.
TEST_CASE("an owner that can no longer follow submissions or workers gives up its ownership")
{
    struct Followed {
        StoreCall call;
        std::string key;
    };
    const Followed followed
        = GENERATE(values<Followed>({ { StoreCall::Watch, keys::incoming }, { StoreCall::List, "workers/" } }));
    const CallFault fault = GENERATE(CallFault::Throws, CallFault::NoResponse);
    CAPTURE(followed.key, fault);
    FaultyCluster faulty;
    faulty.run(startTime);
    REQUIRE(faulty.instance.ownership.valid());
    SimInstance& other = faulty.cluster.addInstance();
    faulty.failStoreCalls(followed.call, followed.key, fault, always);
    faulty.run(Milliseconds(10000));
    CHECK(faulty.instance.ownership.valid());
    faulty.run(Milliseconds(10000));
    CHECK(!faulty.instance.ownership.held());
    CHECK(other.ownership.valid());
    CHECK(faulty.completes("a", shortJob(), Milliseconds(1000)));
}

// Guards against owners that take turns while the store serves nobody: the next one could not follow either.
TEST_CASE("the time in which the store lease was not renewed does not count against an owner")
{
    FaultyCluster faulty;
    faulty.run(startTime);
    const FencingToken token = faulty.instance.ownership.token();
    faulty.failStoreCalls(StoreCall::Watch, keys::incoming, CallFault::Throws, always);
    faulty.run(Milliseconds(13000));
    faulty.cluster.store.mode = SimStore::Mode::Refusing;
    for (int turn = 0; turn < 100 && faulty.instance.ownership.valid(); ++turn)
        faulty.run(Milliseconds(20));
    faulty.run(Milliseconds(100)); // until the owner's next tick; the store keeps the lease for 300 ms
    faulty.cluster.store.mode = SimStore::Mode::Up;
    faulty.run(Milliseconds(10000));
    CHECK(faulty.instance.ownership.valid());
    CHECK(faulty.instance.ownership.token() == token);
    faulty.run(Milliseconds(7000));
    CHECK(faulty.instance.ownership.token() != token);
}

// Guards against a job whose end is never stored, so that its caller waits for good, because one write of progress
// failed.
TEST_CASE("the end of a job is stored although an earlier write of progress threw, got no response or two")
{
    const CallFault fault = GENERATE(CallFault::Throws, CallFault::NoResponse, CallFault::TwoResponses);
    CAPTURE(fault);
    FaultyCluster faulty;
    faulty.run(startTime);
    faulty.failStoreCalls(StoreCall::Commit, keys::progress(JobId("a")), fault);
    CHECK(faulty.completes("a", shortJob(), Milliseconds(5000)));
    CHECK(faulty.completes("b", shortJob(), Milliseconds(1000)));
    CHECK(faulty.cluster.fleet.violations().empty());
}

// Guards against an owner whose lease ends, and which never competes for it again, because one renewal failed.
TEST_CASE("the store lease is renewed although an earlier renewal threw, got no response or two")
{
    const CallFault fault = GENERATE(CallFault::Throws, CallFault::NoResponse, CallFault::TwoResponses);
    CAPTURE(fault);
    FaultyCluster faulty;
    faulty.run(startTime);
    const FencingToken token = faulty.instance.ownership.token();
    faulty.failStoreCalls(StoreCall::KeepLease, "", fault);
    faulty.run(Milliseconds(10000));
    CHECK(faulty.instance.ownership.valid());
    CHECK(faulty.instance.ownership.token() == token);
}

} // namespace rosemarylink::jobs
