#include "SimCluster.h"

#include <catch2/catch.hpp>

namespace rosemarylink::jobs {

// Guards against two runs of a task at a time: the end of a worker's lease counted as the end of a run whose start had
// got no response, and a process that started again under the worker's id executed that start afterwards.
TEST_CASE("a start without a response keeps its task until no process of the worker can execute it any more")
{
    const int delay = GENERATE(7500, 9000, 11500);
    const bool longRunning = GENERATE(false, true);
    CAPTURE(delay, longRunning);
    const WorkerId worker("w0-0");
    const WorkerId spare("spare");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    JobSpec job = oneStep(1, 1, Milliseconds(60000), /*gang=*/false);
    job.steps[0].longRunning = longRunning;
    cluster.fleet.delayedCommandShare = 1;
    cluster.fleet.commandDelay = Milliseconds(delay);
    const Milliseconds startedAt = cluster.world.now();
    cluster.submit("batch", "a0", job);
    cluster.world.run(Milliseconds(100));
    cluster.fleet.delayedCommandShare = 0;
    cluster.fleet.silent = { worker };
    cluster.fleet.add(spare, "r0", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(7000));
    cluster.fleet.restart(worker);
    while (cluster.fleet.runningOn(spare) == 0 && cluster.world.now() < startedAt + Milliseconds(30000))
        cluster.world.run(Milliseconds(10));
    CHECK(cluster.world.now() - startedAt <= Milliseconds(20000));
    cluster.world.run(Milliseconds(10000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.runningOn(spare) == 1);
}

// Guards against a task that waits for 18.9 s, as long as a process that has started again could hold its run, although
// the worker was lost for good and neither the owner nor the store has heard of it since.
TEST_CASE("a start without a response on a worker that is lost for good holds its task for at most 14 s")
{
    const bool resets = GENERATE(false, true);
    const int offset = GENERATE(range(0, 1000, 130));
    CAPTURE(resets, offset);
    const WorkerId worker("w0-0");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000 + offset));
    cluster.fleet.cutResets = resets;
    cluster.fleet.crash(worker);
    const Milliseconds lostAt = cluster.world.now();
    cluster.submit("batch", "a0", oneStep(4, 1, Milliseconds(2000), /*gang=*/true));
    cluster.fleet.add(WorkerId("spare"), "r0", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(3500));
    cluster.fleet.setEntry(worker, /*listed=*/false);
    while (cluster.fleet.startsOf(JobId("a0")) == 0 && cluster.world.now() < lostAt + Milliseconds(30000))
        cluster.world.run(Milliseconds(10));
    CHECK(cluster.world.now() - lostAt <= Milliseconds(14000));
    cluster.world.run(Milliseconds(10000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.storedState("a0") == JobState::Completed);
}

// Guards against two runs of a task at a time: a worker counts as lost for good although only the instance is cut off
// from it, or although the store lost its registration no more than a moment before.
TEST_CASE("a start without a response keeps its task while a process that started again may be hidden")
{
    const int delay = GENERATE(11000, 11900);
    const bool registered = GENERATE(true, false);
    const bool resets = GENERATE(false, true);
    CAPTURE(delay, registered, resets);
    const WorkerId worker("w0-0");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.fleet.cutResets = resets;
    cluster.fleet.delayedCommandShare = 1;
    cluster.fleet.commandDelay = Milliseconds(delay);
    const Milliseconds startedAt = cluster.world.now();
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(30));
    cluster.fleet.delayedCommandShare = 0;
    cluster.fleet.silent = { worker };
    cluster.fleet.add(WorkerId("spare"), "r0", { 32000, 64000, 8 });
    cluster.world.run(startedAt + Milliseconds(9000) - cluster.world.now());
    cluster.fleet.restart(worker);
    cluster.fleet.setEntry(worker, registered);
    cluster.world.run(Milliseconds(4000));
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    cluster.world.run(Milliseconds(21000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.runningOn(WorkerId("spare")) == 1);
}

// Guards the same after the end of a run: a start whose repetition had been executed was executed once more, by a
// process that started again under the worker's id and had not been told to refuse it.
TEST_CASE("a start without a response is refused by the worker's next process although its run has ended")
{
    const int restartAfter = GENERATE(200, 1500, 3000);
    CAPTURE(restartAfter);
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.fleet.delayedCommandShare = 1;
    cluster.fleet.commandDelay = Milliseconds(8000);
    cluster.submit("batch", "a0", oneStep(4, 1, Milliseconds(300), /*gang=*/false));
    cluster.world.run(Milliseconds(100));
    cluster.fleet.delayedCommandShare = 0;
    while (cluster.storedState("a0") != JobState::Completed && cluster.world.now() < Milliseconds(10000))
        cluster.world.run(Milliseconds(100));
    cluster.world.run(Milliseconds(restartAfter));
    REQUIRE(cluster.fleet.startsOf(JobId("a0")) == 4);
    cluster.fleet.restart(WorkerId("w0-0"));
    cluster.world.run(Milliseconds(20000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 4);
}

// Guards against two runs of a task at a time: a poll of a worker that had been removed was taken for one of the worker
// that was registered under the same id later, and its failure took an extension of that one's lease back.
TEST_CASE("the response to a poll of a removed worker says nothing about the one that is registered again")
{
    const int startsBefore = GENERATE(0, 1);
    const int runsFor = GENERATE(range(400, 8000, 300));
    CAPTURE(startsBefore, runsFor);
    const WorkerId worker("w0-0");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    if (startsBefore > 0)
        cluster.submit("batch", "b0", oneStep(startsBefore, 1, Milliseconds(300), /*gang=*/false));
    cluster.world.run(Milliseconds(3000)); // the worker is known to have survived the start
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    const Milliseconds cutAt = cluster.world.now();
    const Milliseconds cutAgainAt = cutAt + Milliseconds(14000 + runsFor);
    // The failures of the polls during the first cut arrive before the second one.
    cluster.instances[0]->faultyWorkers.delayFor = [&](WorkerCall call, const WorkerId&) {
        const Milliseconds since = cluster.world.now() - cutAt;
        const bool late = call == WorkerCall::Poll && since > Milliseconds(0) && since < Milliseconds(8000);
        return late ? cutAgainAt - cluster.world.now() - Milliseconds(800) : Milliseconds(0);
    };
    cluster.fleet.silent = { worker };
    cluster.fleet.setEntry(worker, /*listed=*/false);
    cluster.world.run(Milliseconds(12000));
    cluster.fleet.silent.clear();
    cluster.fleet.setEntry(worker, /*listed=*/true);
    cluster.world.run(cutAgainAt - cluster.world.now());
    REQUIRE(cluster.fleet.startsOf(JobId("a0")) == 2);
    cluster.fleet.silent = { worker };
    cluster.fleet.add(WorkerId("spare"), "r0", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(15000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 3);
}

// Guards against a task that starts again although it is done: a poll with acknowledgments that got no response was
// executed by a process that had started again under the worker's id, and discarded an end that nobody had seen.
TEST_CASE("a worker that has restarted gets no work while an acknowledgment for its earlier process is on its way")
{
    const int pollDelay = GENERATE(range(3000, 7000, 130));
    CAPTURE(pollDelay);
    const WorkerId worker("w0-0");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.fleet.pollDelay = Milliseconds(pollDelay);
    cluster.submit("batch", "a0", oneStep(30, 1, Milliseconds(300), /*gang=*/false));
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a1", oneStep(1, 1, Milliseconds(700), /*gang=*/false));
    while (cluster.storedState("a1") != JobState::Completed && cluster.world.now() < Milliseconds(10000))
        cluster.world.run(Milliseconds(1));
    cluster.fleet.delayedPollShare = 1;
    cluster.world.run(Milliseconds(300));
    cluster.fleet.restart(worker);
    cluster.fleet.delayedPollShare = 0;
    JobSpec job = oneStep(1, 1, Milliseconds(130), /*gang=*/false);
    for (int number = 1; number < 30; ++number) {
        job.steps.push_back(job.steps.front());
        job.steps.back().dependencies = { number - 1 };
    }
    cluster.submit("batch", "b0", job);
    cluster.store.refusesWrites = true;
    cluster.world.run(Milliseconds(16000));
    cluster.store.refusesWrites = false;
    cluster.world.run(Milliseconds(30000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.fleet.startsOf(JobId("b0")) == 30);
    CHECK(cluster.storedState("b0") == JobState::Completed);
}

// Guards against a task that waits for hours: the end of a lease that a restarted worker was granted on the clock of
// its earlier process was read on the new process's clock, which starts anew.
TEST_CASE("the lease of a worker that has restarted is not measured on the clock of its earlier process")
{
    const int uptime = GENERATE(5000, 60000, 200000);
    const int downFor = GENERATE(300, 700, 1500);
    CAPTURE(uptime, downFor);
    const WorkerId worker("w0-0");
    const WorkerId spare("spare");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(uptime));
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(2000));
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    cluster.fleet.crashFor(worker, Milliseconds(downFor));
    for (int turn = 0; turn < 200 && cluster.fleet.startsOf(JobId("a0")) < 2; ++turn)
        cluster.world.run(Milliseconds(100));
    REQUIRE(cluster.fleet.startsOf(JobId("a0")) == 2);
    cluster.world.run(Milliseconds(2000));
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    cluster.fleet.silent = { worker };
    cluster.fleet.add(spare, "r0", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(16000));
    CHECK(cluster.fleet.runningOn(spare) == 1);
    CHECK(cluster.fleet.violations().empty());
}

// Guards against a worker that never gets work again: it was cut off and no longer registered, was kept for a call that
// might still be executed, and was not polled when it was registered again.
TEST_CASE("a worker that is registered again while a call to it has no response yet gets work")
{
    const int outage = GENERATE(range(2000, 14000, 1000));
    CAPTURE(outage);
    const WorkerId worker("w0-0");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(8, 1, Milliseconds(300), /*gang=*/false));
    while (cluster.storedState("a0") != JobState::Completed && cluster.world.now() < Milliseconds(10000))
        cluster.world.run(Milliseconds(1));
    cluster.fleet.silent = { worker }; // before it receives the acknowledgment
    cluster.fleet.setEntry(worker, /*listed=*/false);
    cluster.world.run(Milliseconds(outage));
    cluster.fleet.silent.clear();
    cluster.fleet.setEntry(worker, /*listed=*/true);
    cluster.world.run(Milliseconds(2500));
    cluster.submit("batch", "b0", oneStep(1, 1, Milliseconds(300), /*gang=*/false));
    cluster.world.run(Milliseconds(20000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.storedState("b0") == JobState::Completed);
}

// Guards against two runs of a task at a time: a late poll for the earlier process of a worker extended the lease of
// its next process, which had been cut off meanwhile.
TEST_CASE("a late poll for the earlier process of a worker does not keep runs beyond the lease that the owner counts")
{
    const int pollDelay = GENERATE(range(5000, 12000, 500));
    const int cutAfter = GENERATE(500, 1500, 3000);
    CAPTURE(pollDelay, cutAfter);
    const WorkerId worker("w0-0");
    const WorkerId spare("spare");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(60000));
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    cluster.fleet.pollDelay = Milliseconds(pollDelay);
    cluster.fleet.delayedPollShare = 1;
    cluster.world.run(Milliseconds(2000));
    cluster.fleet.delayedPollShare = 0;
    cluster.fleet.restart(worker);
    while (cluster.fleet.startsOf(JobId("a0")) < 2 && cluster.world.now() < Milliseconds(90000))
        cluster.world.run(Milliseconds(10));
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    cluster.world.run(Milliseconds(cutAfter));
    cluster.fleet.silent = { worker };
    cluster.fleet.add(spare, "r0", { 32000, 64000, 8 });
    cluster.world.run(Milliseconds(30000));
    CHECK(cluster.fleet.violations() == std::vector<std::string>());
    CHECK(cluster.fleet.runningOn(spare) == 1);
}

// Guards against a task that waits for a listed end for ever: a late poll for the earlier process of a worker made its
// next process discard the end of a run that had been started late there and was being stopped.
TEST_CASE("a task does not wait for an end that a late acknowledgment for an earlier process discards")
{
    const int pollDelay = GENERATE(1300, 1600, 2000);
    CAPTURE(pollDelay);
    const WorkerId worker("w0-0");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(8, 1, Milliseconds(300), /*gang=*/false));
    while (cluster.storedState("a0") != JobState::Completed && cluster.world.now() < Milliseconds(10000))
        cluster.world.run(Milliseconds(1));
    cluster.fleet.delayedPollShare = 1; // of the acknowledgments
    cluster.fleet.pollDelay = Milliseconds(pollDelay);
    cluster.fleet.delayedCommandShare = 1;
    cluster.fleet.commandDelay = Milliseconds(300);
    cluster.submit("batch", "b0", oneStep(1, 1, Milliseconds(2000), /*gang=*/false));
    cluster.world.run(Milliseconds(50));
    cluster.fleet.delayedPollShare = 0;
    cluster.fleet.delayedCommandShare = 0;
    cluster.fleet.restart(worker);
    cluster.fleet.setEntry(worker, /*listed=*/false); // not registered anew yet
    // The worker is cut off once it has received the stop.
    cluster.instances[0]->faultyWorkers.faultFor = [&](WorkerCall call, const WorkerId&) {
        if (call == WorkerCall::Stop)
            cluster.world.after(Milliseconds(5), [&] { cluster.fleet.silent = { worker }; });
        return CallFault::None;
    };
    cluster.world.run(Milliseconds(2500));
    REQUIRE(cluster.fleet.startsOf(JobId("b0")) == 1);
    REQUIRE(cluster.fleet.runningOn(worker) == 0);
    cluster.instances[0]->faultyWorkers.faultFor = nullptr;
    cluster.fleet.silent.clear();
    cluster.fleet.setEntry(worker, /*listed=*/true);
    cluster.world.run(Milliseconds(60000));
    CHECK(cluster.fleet.violations().empty());
    CHECK(cluster.storedState("b0") == JobState::Completed);
}

// Guards against two runs of a task at a time: a late poll by the previous owner for the earlier process of a worker
// extended the lease of its next process beyond what the new owner, which did not reach it, waited for.
TEST_CASE("a takeover after a worker's restart allows for late polls for its earlier process")
{
    const int delay = GENERATE(range(7000, 12000, 1000));
    const int cutAfter = GENERATE(300, 1500);
    CAPTURE(delay, cutAfter);
    const WorkerId worker("w0-0");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(60000));
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(3000));
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    cluster.fleet.pollDelay = Milliseconds(delay);
    cluster.fleet.delayedPollShare = 1;
    cluster.world.run(Milliseconds(2000));
    cluster.fleet.delayedPollShare = 0;
    cluster.fleet.restart(worker);
    while (cluster.fleet.startsOf(JobId("a0")) < 2 && cluster.world.now() < Milliseconds(90000))
        cluster.world.run(Milliseconds(10));
    REQUIRE(cluster.fleet.runningOn(worker) == 1);
    cluster.world.run(Milliseconds(cutAfter));
    cluster.fleet.silent = { worker };
    cluster.instances[0]->kill();
    cluster.fleet.add(WorkerId("spare"), "r0", { 32000, 64000, 8 });
    cluster.addInstance();
    cluster.world.run(Milliseconds(40000));
    CHECK(cluster.fleet.violations() == std::vector<std::string>());
    CHECK(cluster.fleet.runningOn(WorkerId("spare")) == 1);
}

// Guards against reading a clock that has no value: a worker's first report may be made in the first millisecond of its
// process, with a clock of 0.
TEST_CASE("a worker whose first report has a clock of 0 gets work")
{
    SimCluster cluster(1);
    cluster.fleet.add(WorkerId("w0-0"), "r0", { 32000, 64000, 8 });
    int reports = 0;
    for (const auto& instance : cluster.instances) {
        instance->faultyWorkers.changeReport = [&reports](const WorkerId&, WorkerReport& report) {
            if (++reports == 1)
                report.workerClock = Milliseconds(0);
        };
    }
    cluster.world.run(Milliseconds(3000));
    REQUIRE(reports > 0);
    const Milliseconds submittedAt = cluster.world.now();
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(2000));
    CHECK(cluster.fleet.runningOn(WorkerId("w0-0")) == 1);
    CHECK(cluster.fleet.leaseEnd(WorkerId("w0-0")) >= submittedAt + Milliseconds(5000));
    CHECK(cluster.fleet.violations().empty());
}

// Guards against a worker that counts as restarted again with each list of the workers, so that its starts on their way
// are stopped, while the store still has the entry of its earlier process.
TEST_CASE("a worker whose entry is still that of its earlier process has restarted once")
{
    const WorkerId worker("w0-0");
    SimCluster cluster(1);
    cluster.addWorkers(1, 1);
    cluster.world.run(Milliseconds(3000));
    cluster.submit("batch", "a0", oneStep(1, 1, Milliseconds(60000), /*gang=*/false));
    cluster.world.run(Milliseconds(2000));
    const std::string key = "workers/" + worker.value();
    REQUIRE(cluster.store.find(key) != nullptr);
    const std::string former = cluster.store.find(key)->value;
    cluster.fleet.restart(worker);
    cluster.store.put(key, former);
    cluster.world.run(Milliseconds(4000));
    const int jobs = 60;
    for (int number = 0; number < jobs; ++number) {
        cluster.submit("batch", "b" + std::to_string(number), oneStep(1, 1, Milliseconds(300), /*gang=*/false));
        cluster.world.run(Milliseconds(91));
    }
    cluster.world.run(Milliseconds(5000));
    for (int number = 0; number < jobs; ++number) {
        CAPTURE(number);
        CHECK(cluster.fleet.startsOf(JobId("b" + std::to_string(number))) == 1);
        CHECK(cluster.storedState("b" + std::to_string(number)) == JobState::Completed);
    }
    CHECK(cluster.fleet.startsOf(JobId("a0")) == 2);
    CHECK(cluster.fleet.violations().empty());
}

} // namespace rosemarylink::jobs
