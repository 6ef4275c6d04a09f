#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // A poll that waits for an end also renews the lease. The platform allows waits of up to 2 s, a third of the lease,
    // so that two consecutive polls may be lost before the lease expires.
    constexpr Milliseconds pollWait { 1900 };

    // A poll without a response is repeated after this time, which the client's own limit is below. Together with the
    // poll before it, that is less than the lease.
    constexpr Milliseconds longestPoll { 3500 };

    // While ends cannot be stored, workers are polled at this interval without waiting, because the pending ends would
    // end every wait immediately.
    constexpr Milliseconds pendingEndsPollInterval { 1000 };

    constexpr Milliseconds retryDelay { 250 };

    // A worker whose crash is in question returns some seconds after it. It is polled at this interval for that long.
    constexpr Milliseconds undecidedRetryDelay { 1000 };
    constexpr Milliseconds longestReturn { 15000 };

    // A restart of a worker takes longer than this.
    constexpr Milliseconds minimumRestartTime { 250 };

    const Logger logger("workers");

    Milliseconds scaled(Milliseconds time, double factor)
    {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

} // namespace

// The end of a lease that is granted now, on the worker's clock. The time since the clock was read counts as on the
// slowest clock. Otherwise the lease of a worker that was read long ago would be longer than the longest one, for which
// a new owner waits, if its call is executed late.
Milliseconds OwnerSession::leaseEndFor(const Worker& worker) const
{
    return *worker.clock + scaled(now() - worker.clockReadAt, slowestClockRate) + owner_.limits_.workerLease;
}

Milliseconds OwnerSession::latestLeaseEnd(const Worker& worker, Milliseconds leaseEnd)
{
    return worker.clockReadAt + scaled(leaseEnd - *worker.clock, 1.0 / slowestClockRate) + Milliseconds(1);
}

void OwnerSession::updateClock(Worker& worker, Milliseconds clock)
{
    if (worker.clock && clock < *worker.clock)
        return;
    worker.clock = clock;
    worker.clockReadAt = now();
}

void OwnerSession::schedulePoll(const WorkerId& id, Milliseconds delay)
{
    runAfter(delay, [this, id] {
        Worker* const worker = find(id);
        if (worker && !worker->pollInFlight)
            poll(*worker);
    });
}

// Polls without waiting after the delay, even if an earlier poll is still waiting for an end.
void OwnerSession::scheduleImmediatePoll(const WorkerId& id, Milliseconds delay)
{
    runAfter(delay, [this, id] {
        Worker* const worker = find(id);
        if (!worker)
            return;
        worker->pollInFlight = false;
        worker->skipWait = true;
        poll(*worker);
    });
}

void OwnerSession::poll(Worker& worker)
{
    if (worker.pollInFlight || !owner_.ownership_.held())
        return;
    if (!owner_.ownership_.mayCommand()) {
        schedulePoll(worker.entry.id, retryDelay);
        return;
    }
    try {
        sendPoll(worker);
    } catch (const std::exception& problem) {
        logger.error("Poll ended with an exception; it is repeated",
            { { "worker", worker.entry.id }, { "reason", problem.what() } });
        owner_.metrics_.countDutyRestart(pollDuty, "exception");
        worker.pollInFlight = false;
        schedulePoll(worker.entry.id, retryDelay);
    }
}

void OwnerSession::sendPoll(Worker& worker)
{
    const std::uint64_t number = ++worker.lastPoll;
    worker.pollInFlight = true;
    const WorkerId id = worker.entry.id;
    const std::uint64_t incarnation = worker.incarnation;
    const Milliseconds sentAt = now();
    worker.pollSentAt = sentAt;
    // The acknowledgment cursor is sent only until the worker has received it, and only if the worker has reported so
    // recently that it cannot have restarted since; otherwise its report is requested first. A restarted worker numbers
    // its ends anew, and an old cursor would make it discard ends that have not been seen.
    const bool pending = acknowledgeableEnd(worker) > worker.acknowledged;
    const bool sameIncarnation = now() - worker.reportMadeAt <= minimumRestartTime;
    const std::int64_t cursor = pending && sameIncarnation ? acknowledgeableEnd(worker) : 0;
    if (cursor > 0)
        worker.strayAcknowledgments[number] = sentAt + longestCommandDelay;
    worker.skipWait = worker.skipWait || (pending && !sameIncarnation);
    const bool renewsLease = worker.clock && !worker.runs.empty() && mayRenewLeases() && mayRenewLease(worker)
        && permittedFleet_.allowsRenewal(worker.entry.id);
    const Milliseconds leaseEnd = renewsLease ? leaseEndFor(worker) : Milliseconds(0);
    WorkerLease::Extension extension = 0;
    if (renewsLease) {
        if (!owner_.ownership_.valid())
            unsafeRenewals_.insert(id);
        worker.renewalSentAt = sentAt;
        extension = worker.lease.extendBy(latestLeaseEnd(worker, leaseEnd));
        worker.strayRenewals[number] = sentAt + longestCommandDelay;
    }
    const bool waitsForEnd = renewsLease && owner_.ownership_.valid() && !worker.unresponsiveSince
        && worker.pendingEnds.empty() && !std::exchange(worker.skipWait, false);
    const Milliseconds wait = waitsForEnd ? pollWait : Milliseconds(0);
    owner_.workers_.poll(worker.entry, leaseEnd, token_, cursor, wait,
        guarded([this, id, incarnation, sentAt, leaseEnd, number, cursor, extension,
                    responded = std::make_shared<bool>(false)](const Result<WorkerReport>& report) {
            Worker* const polled = find(id);
            if (std::exchange(*responded, true) || !polled || polled->incarnation != incarnation)
                return;
            const bool settled = report || report.error().verdict == Verdict::NotRun;
            polled->lease.settle(extension, report || !settled);
            if (!report)
                polled->pollFailedAt = std::max(polled->pollFailedAt, sentAt);
            if (settled) {
                polled->strayAcknowledgments.erase(number);
                polled->strayRenewals.erase(number);
            }
            handlePollResponse(id, number, [&](Worker& current, bool newest) {
                if (report
                    && (report.value().startTimeMs == 0 || report.value().startTimeMs == current.entry.startTimeMs))
                    current.acknowledged = std::max(current.acknowledged, cursor);
                if (report)
                    handleReport(id, sentAt, leaseEnd, report.value(), newest);
                else if (newest)
                    handlePollFailure(id, sentAt, report.error());
            });
        }));
}

// Handles the response to a poll. If that throws, the worker is polled again.
void OwnerSession::handlePollResponse(
    const WorkerId& id, std::uint64_t number, const std::function<void(Worker&, bool newest)>& handle)
{
    Worker& worker = *find(id);
    const bool newest = number == worker.lastPoll;
    if (newest)
        worker.pollInFlight = false;
    try {
        handle(worker, newest);
    } catch (const std::exception& problem) {
        logger.error(
            "Poll ended with an exception; it is repeated", { { "worker", id }, { "reason", problem.what() } });
        owner_.metrics_.countDutyRestart(pollDuty, "exception");
        schedulePoll(id, retryDelay);
    }
}

// Repeats the polls whose responses have not come within the client's limit. A late response counts as that of an older
// poll.
void OwnerSession::repeatMissingPolls()
{
    for (auto& [id, worker] : workers_) {
        if (!worker.pollInFlight || now() - worker.pollSentAt < longestPoll)
            continue;
        logger.error("Poll got no response; it is repeated",
            { { "worker", id }, { "runs", worker.runs.size() }, { "limitMs", longestPoll.count() } });
        owner_.metrics_.countDutyRestart(pollDuty, "no-response");
        worker.pollInFlight = false;
        poll(worker);
    }
}

// Time since the oldest poll that has no response yet.
Milliseconds OwnerSession::longestPollAge() const
{
    Milliseconds longest { 0 };
    for (const auto& [id, worker] : workers_) {
        if (worker.pollInFlight)
            longest = std::max(longest, now() - worker.pollSentAt);
    }
    return longest;
}

void OwnerSession::handlePollFailure(const WorkerId& id, Milliseconds sentAt, const Error& error)
{
    Worker& worker = *find(id);
    if (error.code == ErrorCode::Fenced) {
        owner_.ownership_.reportConflict();
        return;
    }
    if (!worker.unresponsiveSince) {
        worker.unresponsiveSince = now();
        owner_.metrics_.silentWorkers.add();
        logger.warning("Worker does not respond",
            { { "worker", id }, { "runs", worker.runs.size() }, { "listed", worker.listed },
                { "leaseOverInMs", (worker.lease.end() - now()).count() }, { "reason", error.message } });
    }
    const bool replaced = error.code == ErrorCode::NotFound;
    if (replaced) {
        handleCrash(worker, "another process is at its address");
        endGoneRuns(worker, RunEvidence::otherProcess(sentAt), "another process is at its address");
        worker.strayStarts.clear();
    }
    if (worker.listed || !worker.runs.empty() || !jobsOfUnstoredEnds(worker).empty())
        schedulePoll(id, retryDelay);
    else if (!worker.undecidedRuns.empty())
        schedulePoll(id, undecidedRetryDelay);
}

void OwnerSession::handleReport(
    const WorkerId& id, Milliseconds sentAt, Milliseconds leaseEnd, const WorkerReport& report, bool newest)
{
    Worker& worker = *find(id);
    if (report.startTimeMs != 0 && worker.entry.startTimeMs != 0 && report.startTimeMs != worker.entry.startTimeMs) {
        worker.formerStartTimes.insert(worker.entry.startTimeMs);
        handleRestart(worker);
        worker.entry.startTimeMs = report.startTimeMs;
    }
    if (report.startTimeMs != 0)
        worker.entry.startTimeMs = report.startTimeMs;
    if (worker.unresponsiveSince) {
        logger.info(
            "Worker responds again", { { "worker", id }, { "silentMs", (now() - *worker.unresponsiveSince).count() } });
        worker.unresponsiveSince.reset();
    }
    worker.reportedAt = now();
    worker.heardAt = now();
    worker.aliveAt = std::max(worker.aliveAt, sentAt);
    // The worker was only cut off.
    if (report.startTimeMs != 0)
        std::for_each(worker.undecidedRuns.begin(), worker.undecidedRuns.end(),
            [this](const SuspectRun& run) { clearUnresolved(run.key); });
    worker.undecidedRuns.clear();
    updateClock(worker, report.workerClock);
    // Runs on the worker may have a lease from a previous owner, of the longest duration that the worker grants.
    if (!worker.firstReportAt)
        worker.lease.extend(latestLeaseEnd(worker, *worker.clock + owner_.limits_.workerLease));
    if (leaseEnd > Milliseconds(0)) {
        // A lease end for an earlier process of the worker may be hours ahead of the present one's clock, but the
        // worker shortens longer leases to the longest one.
        worker.lease.extend(latestLeaseEnd(worker, std::min(leaseEnd, *worker.clock + owner_.limits_.workerLease)));
    }
    for (const EndedRun& ended : report.ended)
        handleEnd(worker, ended);
    // Ends are numbered, but what runs is told only by the newest report. Of two from the same millisecond either may
    // be the older one.
    if (!worker.reportClock || report.workerClock > *worker.reportClock) {
        // A report may be handled long after it was made. It was requested before that, and the worker's clock, which
        // is never fast, tells how long after the report before.
        if (worker.reportClock)
            worker.reportMadeAt += report.workerClock - *worker.reportClock;
        worker.reportMadeAt = std::min(std::max(worker.reportMadeAt, sentAt), now());
        worker.reportClock = report.workerClock;
        for (const RunningRun& running : report.running)
            handleRunning(worker, running);
        notePace(worker, report);
        noteStopsOver(worker, report, sentAt);
        resolveAbsentRuns(worker, report, sentAt);
    }
    if (!worker.reconciled && report.endsComplete)
        updateReconciled(worker, report, sentAt);
    if (!mayGetWork(worker))
        writeFleet();
    schedulePlan();
    if (!newest)
        return;
    if (!worker.pendingEnds.empty()) {
        schedulePoll(id, pendingEndsPollInterval); // polled earlier once the ends are stored
    } else if (!worker.runs.empty() || worker.acknowledged < worker.lastSeenEnd) {
        if (owner_.ownership_.valid())
            poll(worker);
        else
            pollsInRounds_ = true;
    }
}

// A report contains neither the run nor its end while the run is being stopped. A worker that a previous owner may have
// used is therefore reconciled only by the second of two reports that were made after the longest stop; RunEvidence
// says why it takes two. The first report was made after the last stop by a previous owner, since later ones are
// fenced.
void OwnerSession::updateReconciled(Worker& worker, const WorkerReport& report, Milliseconds sentAt)
{
    const WorkerId& id = worker.entry.id;
    if (!worker.firstReportAt) {
        worker.firstReportAt = now();
        worker.firstReportClock = report.workerClock;
        if (unconfirmedWorkers_.count(id) > 0) {
            scheduleImmediatePoll(id, longestStop());
            return;
        }
    } else if (!worker.stopsOverAt) {
        if (report.workerClock >= worker.firstReportClock + owner_.limits_.stopTime) {
            worker.stopsOverAt = now();
            scheduleImmediatePoll(id, Milliseconds(1));
        } else if (sentAt >= *worker.firstReportAt + longestStop()) {
            scheduleImmediatePoll(id, owner_.limits_.stopTime); // the worker's clock is slower than it may be
        }
        return;
    } else if (sentAt <= *worker.stopsOverAt) {
        return;
    }
    worker.reconciled = true;
    unconfirmedWorkers_.erase(worker.entry.id);
    checkRecovered();
}

void OwnerSession::handleRunning(Worker& worker, const RunningRun& running)
{
    const RunKey key { running.task, running.run };
    const auto position = worker.runs.find(key);
    Job* const job = find(running.task.job);
    if (job && job->contains(running.task))
        noteJobStarted(*job);
    if (position != worker.runs.end()) {
        WorkerRun& run = position->second;
        if (!run.confirmedAt)
            run.confirmedAt = now();
        if (!run.confirmedClock)
            run.confirmedClock = worker.clock;
        run.noteListsEnd();
        if (run.phase == TaskPhase::Starting)
            run.phase = TaskPhase::Running;
        if (!job || !job->contains(running.task))
            return;
        TaskProgress& task = job->task(running.task);
        if (task.run != running.run || task.worker != worker.entry.id)
            return;
        if (task.phase == TaskPhase::Starting)
            task.phase = TaskPhase::Running;
        else if (task.phase == TaskPhase::Stopping && run.phase != TaskPhase::Stopping)
            stopRun(worker, key);
        recordSurvival(*job, worker, key, run);
        task.percent = running.percent;
        if (running.percent > 0)
            expectEnd(*job, running.task, run, running.percent);
        if (!running.checkpoint.empty())
            job->checkpoint(running.task) = running.checkpoint;
        return;
    }
    if (job && job->mayHaveUnknownRuns && !isFinal(job->state) && job->contains(running.task)) {
        adoptRun(worker, *job, running);
        return;
    }
    // The run is not expected, or no longer: a delayed start command was executed.
    logger.warning("Worker reports an unexpected run; stopping it",
        { { "worker", worker.entry.id }, { "task", taskName(running.task) }, { "run", running.run } });
    WorkerRun run;
    if (job && job->contains(running.task))
        run.resources = job->stepSpec(running.task).perTask;
    run.phase = TaskPhase::Stopping;
    run.confirmedAt = now();
    run.noteListsEnd();
    worker.runs.emplace(key, run);
    stopRun(worker, key);
}

void OwnerSession::adoptRun(Worker& worker, Job& job, const RunningRun& running)
{
    TaskProgress& task = job.task(running.task);
    WorkerRun run;
    run.resources = job.stepSpec(running.task).perTask;
    run.phase = TaskPhase::Running;
    run.confirmedAt = now();
    run.confirmedClock = worker.clock;
    run.noteListsEnd();
    run.startedAt = now();
    run.adopted = true;
    expectEnd(job, running.task, run, running.percent);
    const RunKey key { running.task, running.run };
    worker.runs.emplace(key, run);
    const bool expected = task.phase == TaskPhase::Waiting && running.run >= task.run;
    if (!expected) {
        stopRun(worker, key);
        return;
    }
    task.phase = TaskPhase::Running;
    task.run = running.run;
    task.worker = worker.entry.id;
    task.startedAt = now();
    task.percent = running.percent;
    if (!running.checkpoint.empty())
        job.checkpoint(running.task) = running.checkpoint;
}

// The longest time that a stop takes on the worker's clock, on the owner's clock.
Milliseconds OwnerSession::longestStop() const
{
    return scaled(owner_.limits_.stopTime, 1.0 / slowestClockRate) + Milliseconds(1);
}

// Notes the stops that the worker must have finished when it made the report, and requests the next one, which shows
// whether they ended runs.
void OwnerSession::noteStopsOver(Worker& worker, const WorkerReport& report, Milliseconds sentAt)
{
    bool noted = false;
    for (auto& [key, run] : worker.runs) {
        if (!run.stopAcceptedAt || run.stopOverAt)
            continue;
        if (!run.stopAcceptedClock && sentAt > *run.stopAcceptedAt)
            run.stopAcceptedClock = report.workerClock; // the response to the stop had no reading
        const Milliseconds wait
            = owner_.limits_.stopTime + (run.listsEnd ? owner_.limits_.workerLease : Milliseconds(0));
        if (!run.stopAcceptedClock || report.workerClock < *run.stopAcceptedClock + wait)
            continue;
        run.stopOverAt = now();
        noted = true;
    }
    if (noted)
        scheduleImmediatePoll(worker.entry.id, Milliseconds(1));
}

// Ends the runs that are missing from a report although they would have been in it if they still existed at the time of
// the poll.
void OwnerSession::resolveAbsentRuns(Worker& worker, const WorkerReport& report, Milliseconds sentAt)
{
    std::set<RunKey> present;
    for (const RunningRun& running : report.running)
        present.insert({ running.task, running.run });
    const RunEvidence evidence = RunEvidence::absence(report, sentAt);
    std::vector<std::pair<RunKey, RunEnd>> absent;
    for (const auto& [key, run] : worker.runs) {
        if (present.count(key) > 0)
            continue;
        if (const auto end = evidence.endOf(run))
            absent.emplace_back(key, *end);
    }
    for (const auto& [key, end] : absent) {
        logger.info("Run is missing from its worker's report",
            { { "worker", worker.entry.id }, { "task", taskName(key.first) }, { "run", key.second },
                { "end", runEndName(end) }, { "requestedMsAgo", (now() - sentAt).count() },
                { "reportClock", report.workerClock.count() }, { "born", worker.entry.startTimeMs } });
        worker.runs.erase(key);
        Job* const job = find(key.first.job);
        if (!job)
            continue;
        noteRunGone(key, worker.entry.id, std::string(evidence.name()), sentAt);
        endRun(*job, key.first, key.second, end, "", worker.entry.id);
    }
}

// Resets the state of a restarted worker: it has seen no token, numbers its ends anew, and its earlier runs are gone.
// A start command in flight may have reached the new incarnation, so only its report tells which runs exist.
void OwnerSession::handleRestart(Worker& worker)
{
    logger.info("Worker has restarted", { { "worker", worker.entry.id }, { "runs", worker.runs.size() } });
    handleCrash(worker, "the worker has restarted");
    worker.incarnation = ++lastIncarnation_;
    worker.pollInFlight = false;
    worker.reconciled = false;
    worker.firstReportAt.reset();
    worker.stopsOverAt.reset();
    worker.clock.reset();
    worker.reportClock.reset();
    worker.reportMadeAt = Milliseconds(0);
    worker.lastSeenEnd = 0;
    worker.acknowledged = 0;
    worker.pendingEnds.clear();
    worker.recentFailures.clear();
    worker.failures = WorkerFailures();
    paces_.forget(worker.entry.id);
    for (const auto& [number, until] : worker.strayAcknowledgments)
        worker.idleUntil = std::max(worker.idleUntil, until);
    addStrayRuns(worker);
    std::vector<RunKey> unconfirmed;
    for (auto& [key, run] : worker.runs) {
        run.listsEnd = false; // by the earlier incarnation, as the following
        run.stopAcceptedAt.reset();
        run.stopAcceptedClock.reset();
        run.stopOverAt.reset();
        const bool stray = run.strayStartUntil && now() < *run.strayStartUntil;
        // The new incarnation may have accepted the start and the stop; a run that is being stopped is not reported.
        if (run.confirmedAt && !stray && run.phase != TaskPhase::Stopping)
            run.phase = TaskPhase::Running;
        else
            unconfirmed.push_back(key);
    }
    // The lease end of a late start or poll is on the clock of the earlier incarnation, so the new incarnation neither
    // rejects it as late nor has had a lease up to it.
    Milliseconds lastExtension = now();
    for (const auto& [key, until] : worker.strayStarts)
        lastExtension = std::max(lastExtension, until);
    for (const auto& [number, until] : worker.strayRenewals)
        lastExtension = std::max(lastExtension, until);
    lastExtension = std::max(lastExtension, startedAt_ + longestCommandDelay); // calls of an earlier owner
    worker.lateCallsUntil = lastExtension;
    worker.lease.reset(lastExtension + scaled(owner_.limits_.workerLease, 1.0 / slowestClockRate));
    for (const RunKey& key : unconfirmed) {
        Job* const job = find(key.first.job);
        if (job && job->contains(key.first) && job->task(key.first).run == key.second
            && job->task(key.first).worker == worker.entry.id)
            stopTask(*job, key.first);
        stopRun(worker, key);
    }
    schedulePoll(worker.entry.id, Milliseconds(0));
}

// A worker that is silent until its lease ends may have crashed or been cut off, which only its return shows.
void OwnerSession::handleLeaseOver(Worker& worker)
{
    checkReturn(worker);
    const RunEvidence evidence = RunEvidence::leaseOver(now(), longestLease(), silenceOf(worker));
    for (const SuspectRun& run : possibleCauses(worker)) {
        if (!evidence.endOf(worker.runs.at(run.key)))
            continue;
        worker.undecidedRuns.push_back(run);
        worker.undecidedUntil = now() + longestReturn;
    }
    endGoneRuns(worker, evidence, "the worker's lease has expired");
}

void OwnerSession::endGoneRuns(Worker& worker, const RunEvidence& evidence, const std::string& reason)
{
    std::vector<std::pair<RunKey, RunEnd>> gone;
    for (const auto& [key, run] : worker.runs) {
        const auto end = evidence.endOf(run);
        if (!end)
            continue;
        gone.emplace_back(key, *end);
        if (!mayHaveCausedCrash(worker, key, run))
            clearUnresolved(key);
    }
    if (gone.empty())
        return;
    logger.warning("Runs lost with their worker",
        { { "worker", worker.entry.id }, { "runs", gone.size() }, { "left", worker.runs.size() - gone.size() },
            { "first", taskName(gone.front().first.first) }, { "reportMsAgo", (now() - worker.reportedAt).count() },
            { "leaseOverInMs", (worker.lease.end() - now()).count() }, { "born", worker.entry.startTimeMs },
            { "token", token_ }, { "reason", reason } });
    owner_.metrics_.lostRuns.add(static_cast<std::int64_t>(gone.size()));
    for (const auto& [key, end] : gone)
        worker.runs.erase(key); // all of them first, so that no member of a gang is stopped for another one
    for (const auto& [key, end] : gone) {
        noteRunGone(key, worker.entry.id, std::string(evidence.name()), now());
        if (Job* const job = find(key.first.job))
            endRun(*job, key.first, key.second, end, "", worker.entry.id);
    }
    schedulePlan();
}

// Number of the last end before the first one that is not stored yet.
std::int64_t OwnerSession::acknowledgeableEnd(Worker& worker)
{
    while (!worker.pendingEnds.empty()) {
        const PendingEnd& end = worker.pendingEnds.front();
        const Job* const job = find(end.job);
        if (job && job->storedChanges < end.change)
            return end.number - 1;
        worker.pendingEnds.pop_front();
    }
    return worker.lastSeenEnd;
}

} // namespace rosemarylink::jobs::internal
