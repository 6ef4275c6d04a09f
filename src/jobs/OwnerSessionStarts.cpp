#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    // The planner avoids a worker for this long after it refused a start command or did not answer one.
    constexpr Milliseconds avoidAfterRefusal { 500 };

    // A start command without a response is repeated, with the same run number, until the run is this old. The worker
    // executes a run once however many commands it receives. Longer retries would let the other members of a gang wait.
    constexpr Milliseconds startRetryLimit { 900 };
    constexpr Milliseconds startRetryDelay { 40 };
    constexpr int maximumStartAttempts = 4;

    const Logger logger("tasks");

} // namespace

void OwnerSession::startTasks(const std::vector<Placement>& placements)
{
    for (const Placement& placement : withoutSharedBlame(placements)) {
        Job* const job = find(placement.task.job);
        Worker* const worker = find(placement.worker);
        if (!job || !worker)
            continue;
        StepActivity& activity = stepActivity_[{ placement.task.job, placement.task.occurrence, placement.task.step }];
        if (activity.started++ == 0)
            logger.info("Step starts",
                { { "job", job->spec.id }, { "step", placement.task.step }, { "occurrence", placement.task.occurrence },
                    { "rack", worker->entry.rack }, { "worker", worker->entry.id },
                    { "sinceArrivalMs", (now() - job->arrivedAt).count() }, { "token", token_ } });
        startTask(*job, placement.task, *worker);
    }
    sendQueuedStarts();
}

void OwnerSession::startTask(Job& job, const TaskKey& key, Worker& worker)
{
    TaskProgress& task = job.task(key);
    StepProgress& step = job.step(key);
    bool joinsGang = false;
    if (job.stepSpec(key).gang) {
        // The members of a gang share a run number that is higher than any used before. A member that is placed while
        // others are active joins their run.
        int highest = 0;
        bool others = false;
        for (const TaskProgress& member : step.tasks) {
            highest = std::max(highest, member.run);
            others = others || member.phase == TaskPhase::Starting || member.phase == TaskPhase::Running;
        }
        task.run = others ? highest : highest + 1;
        joinsGang = others;
    } else {
        ++task.run;
    }
    task.phase = TaskPhase::Starting;
    task.worker = worker.entry.id;
    task.startedAt = now();
    if (!task.crashedRuns.empty()) {
        task.unresolvedRuns.insert(task.run);
        markChanged(job, /*urgent=*/true);
    }
    const RunKey runKey { key, task.run };
    WorkerRun run;
    run.resources = job.stepSpec(key).perTask;
    run.checkpoint = job.checkpoint(key);
    run.startedAt = now();
    expectEnd(job, key, run, /*percent=*/0);
    worker.runs[runKey] = run;
    if (!joinsGang)
        logRestart(job, runKey, worker);
    worker.lease.extend(latestLeaseEnd(worker, leaseEndFor(worker))); // the run must not count as lost while it waits
    queuedStarts_.emplace_back(runKey, worker.entry.id);
}

// Notes that a worker has accepted or reported a run of the job. Until then the job counts as waiting: its starts may
// reach no worker, and its waiting record, once removed, is not written again.
void OwnerSession::noteJobStarted(Job& job)
{
    if (job.state != JobState::Queued)
        return;
    job.state = JobState::Active;
    owner_.metrics_.firstStart.record(static_cast<double>((now() - job.arrivedAt).count()));
    markChanged(job, /*urgent=*/false);
}

void OwnerSession::sendQueuedStarts()
{
    while (!queuedStarts_.empty() && commandWindow_.hasSpace() && owner_.ownership_.valid()) {
        const auto [key, id] = queuedStarts_.front();
        queuedStarts_.pop_front();
        Worker* const worker = find(id);
        Job* const job = find(key.first.job);
        if (!worker || !job || !worker->clock)
            continue;
        const auto run = worker->runs.find(key);
        if (run == worker->runs.end() || !run->second.isQueued())
            continue;
        if (!mayStartOn(*worker, StartCommandKind::First)) {
            withdrawStart(key, *worker);
            continue;
        }
        // The wait in the queue does not count as run time, nor for the time limits of starts.
        job->task(key.first).startedAt = now();
        run->second.startedAt = now();
        expectEnd(*job, key.first, run->second, /*percent=*/0);
        sendStart(*job, key, *worker);
    }
}

// Whether a start command may be sent to the worker now. A repeated command is judged less strictly by the fleet
// record: while the record states no limit for the worker's lease, it lets the next owner know of the run.
bool OwnerSession::mayStartOn(const Worker& worker, StartCommandKind kind) const
{
    const bool recorded
        = kind == StartCommandKind::First ? mayGetWork(worker) : permittedFleet_.allowsRenewal(worker.entry.id);
    return worker.listed && !worker.entry.draining && recorded && knowsEvacuations()
        && !evacuations_.isEvacuated(worker.entry.failureDomain);
}

// Takes back a start that must not be sent, or not be repeated, because its worker may get no more starts. The other
// members of its gang are stopped as well, so that all of them are placed again.
void OwnerSession::withdrawStart(const RunKey& key, Worker& worker)
{
    Job* const job = find(key.first.job);
    if (!job || job->task(key.first).run != key.second || job->task(key.first).worker != worker.entry.id) {
        stopRun(worker, key);
        return;
    }
    logger.info("Start is withdrawn; its worker may get no more starts",
        { { "task", taskName(key.first) }, { "run", key.second }, { "worker", worker.entry.id },
            { "attempts", worker.runs.at(key).startAttempts }, { "listed", worker.listed },
            { "draining", worker.entry.draining }, { "domain", worker.entry.failureDomain },
            { "evacuated", evacuations_.isEvacuated(worker.entry.failureDomain) },
            { "evacuationsKnown", knowsEvacuations() } });
    if (job->stepSpec(key.first).gang)
        stopGang(*job, key.first);
    else
        stopTask(*job, key.first);
    schedulePlan();
}

void OwnerSession::sendStart(const Job& job, const RunKey& key, Worker& worker)
{
    commandWindow_.sent();
    WorkerRun& run = worker.runs.at(key);
    ++run.startAttempts;
    run.startSentAt = now();
    worker.strayStarts[key] = now() + longestCommandDelay;
    const Milliseconds leaseEnd = leaseEndFor(worker);
    const WorkerLease::Extension extension = worker.lease.extendBy(latestLeaseEnd(worker, leaseEnd));
    const WorkerId id = worker.entry.id;
    const std::uint64_t incarnation = worker.incarnation;
    const Milliseconds sentAt = now();
    owner_.workers_.start(worker.entry, { key.first, key.second, job.spec.payload, run.checkpoint }, leaseEnd, token_,
        guarded([this, key, id, incarnation, sentAt, extension](const CommandResponse& response) {
            commandWindow_.responded(now(), now() - sentAt);
            if (Worker* const started = find(id); started && started->incarnation == incarnation) {
                started->lease.settle(extension, response.outcome != CommandOutcome::Unreachable);
                noteStrayStart(*started, key, response.outcome);
            }
            owner_.metrics_.startResponse.record(static_cast<double>((now() - sentAt).count()));
            if (response.outcome != CommandOutcome::Accepted)
                owner_.metrics_.countRefusedStart(response.outcome);
            handleStartResponse(key, id, incarnation, response);
            sendQueuedStarts();
        }));
}

// Whether a start command without a response may be repeated: the run is still wanted and young enough.
bool OwnerSession::mayRepeatStart(const RunKey& key, const Worker& worker)
{
    const WorkerRun& run = worker.runs.at(key);
    Job* const job = find(key.first.job);
    if (!job || isFinal(job->state) || run.phase != TaskPhase::Starting || run.startAttempts >= maximumStartAttempts)
        return false;
    const TaskProgress& task = job->task(key.first);
    return task.phase == TaskPhase::Starting && task.run == key.second && task.worker == worker.entry.id
        && now() - task.startedAt < startRetryLimit;
}

void OwnerSession::repeatStartLater(const RunKey& key, const WorkerId& id, std::uint64_t incarnation)
{
    runAfter(startRetryDelay, [this, key, id, incarnation] {
        Worker* const worker = find(id);
        if (!worker || worker->incarnation != incarnation || worker->runs.count(key) == 0
            || worker->runs.at(key).phase != TaskPhase::Starting)
            return;
        if (!mayRepeatStart(key, *worker))
            abandonStart(key, *worker);
        else if (!mayStartOn(*worker, StartCommandKind::Repeated))
            withdrawStart(key, *worker);
        else if (owner_.ownership_.valid())
            sendStart(*find(key.first.job), key, *worker);
        else
            repeatStartLater(key, id, incarnation);
    });
}

// Gives a start up while one of its commands may still be executed: stopping the run rules out that it starts later.
void OwnerSession::abandonStart(const RunKey& key, Worker& worker)
{
    logger.warning("Start command got no response; stopping the run",
        { { "task", taskName(key.first) }, { "run", key.second }, { "worker", worker.entry.id },
            { "attempts", worker.runs.at(key).startAttempts } });
    worker.avoidUntil = std::max(worker.avoidUntil, now() + avoidAfterRefusal);
    worker.failures.addFailure(now());
    Job* const job = find(key.first.job);
    if (job && job->task(key.first).run == key.second && job->task(key.first).worker == worker.entry.id)
        stopTask(*job, key.first);
    else
        stopRun(worker, key);
}

void OwnerSession::handleStartResponse(
    const RunKey& key, const WorkerId& id, std::uint64_t incarnation, const CommandResponse& response)
{
    Worker* const worker = find(id);
    if (!worker || worker->incarnation != incarnation)
        return;
    noteResponse(*worker, response);
    const auto position = worker->runs.find(key);
    if (position == worker->runs.end())
        return;
    WorkerRun& run = position->second;
    Job* const job = find(key.first.job);
    switch (response.outcome) {
    case CommandOutcome::Accepted:
        if (!run.confirmedAt)
            run.confirmedAt = now();
        if (!run.confirmedClock)
            run.confirmedClock = worker->clock;
        run.noteListsEnd();
        if (job && job->contains(key.first)) {
            noteJobStarted(*job);
            checkSurvivalSoon(*job, key.first, id);
        }
        if (run.phase == TaskPhase::Starting) {
            run.phase = TaskPhase::Running;
            if (job && job->task(key.first).phase == TaskPhase::Starting && job->task(key.first).run == key.second)
                job->task(key.first).phase = TaskPhase::Running;
        }
        if (!worker->pollInFlight)
            poll(*worker);
        return;
    case CommandOutcome::Fenced:
        owner_.ownership_.reportConflict();
        return;
    case CommandOutcome::Unknown:
        if (run.phase == TaskPhase::Starting) {
            scheduleImmediatePoll(id, Milliseconds(0)); // the report shows the run if the command was executed
            repeatStartLater(key, id, incarnation);
        }
        return;
    case CommandOutcome::StaleRun:
        // An earlier command for the run was executed and the run has ended since; the next report tells how.
        if (run.strayStartUntil && run.phase == TaskPhase::Starting) {
            run.confirmedAt = now();
            scheduleImmediatePoll(id, Milliseconds(1));
            return;
        }
        break;
    default:
        break;
    }
    if (run.strayStartUntil) {
        if (run.phase == TaskPhase::Starting)
            repeatStartLater(key, id, incarnation);
        return;
    }
    logger.info("Start command was refused",
        { { "task", taskName(key.first) }, { "run", key.second }, { "worker", id },
            { "outcome", commandOutcomeName(response.outcome) } });
    worker->avoidUntil = std::max(worker->avoidUntil, now() + avoidAfterRefusal);
    if (response.outcome == CommandOutcome::Refused && worker->reconciled)
        worker->failures.addFailure(now());
    worker->runs.erase(position);
    if (!job)
        return;
    TaskProgress& task = job->task(key.first);
    noteRunGone(key, id, "start-" + std::string(commandOutcomeName(response.outcome)), now());
    task.unresolvedRuns.erase(key.second);
    if (task.run == key.second && task.worker == id && task.phase != TaskPhase::Done) {
        task.phase = TaskPhase::Waiting;
        task.worker = WorkerId();
        if (job->stepSpec(key.first).gang && !isFinal(job->state))
            stopGang(*job, key.first);
    }
    poll(*worker);
    schedulePlan();
}

} // namespace rosemarylink::jobs::internal
