#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>
#include <string>

namespace rosemarylink::jobs::internal {

namespace {

    constexpr Milliseconds reportInterval { 1000 };

    // A step that has been ready for this long without starting is reported. The platform counts a job as lost after 3
    // s.
    constexpr Milliseconds reportedAfter { 1500 };

    // A step is reported if there is room for this many times its tasks, as the platform counts it.
    constexpr std::size_t roomFactor = 2;

    // Limit on the names in one log line.
    constexpr std::size_t maximumNames = 8;

    const Logger logger("plan");
    const Logger taskLogger("tasks");
    const Logger recoveryLogger("recovery");
    const Logger workerLogger("workers");

} // namespace

// What the record of the previous owner lets this owner rely on.
void OwnerSession::logFleetRecord() const
{
    std::string names;
    std::size_t named = 0;
    std::size_t idle = 0;
    for (const auto& [id, silent] : permittedFleet_.silent) {
        if (silent.jobs && silent.jobs->empty() && !silent.leaseLimit) {
            ++idle;
            continue;
        }
        if (++named > maximumNames)
            continue;
        names += (names.empty() ? "" : ",") + id.value() + ":"
            + (silent.jobs ? std::to_string(silent.jobs->size()) + "-jobs" : "any-job") + ":"
            + (silent.leaseLimit ? std::to_string(silent.leaseLimit->count()) + "ms" : "renewed");
    }
    recoveryLogger.info("Fleet record is read",
        { { "workers", permittedFleet_.workers.size() }, { "idle", idle }, { "silent", named },
            { "silentWorkers", names }, { "revision", fleetRevision_ }, { "token", token_ } });
}

void OwnerSession::noteRunGone(
    const RunKey& key, const WorkerId& worker, const std::string& proof, Milliseconds observedAt)
{
    goneRuns_[key.first] = { key.second, worker, proof, observedAt, now() };
}

// Logs a start of a task that may have run before: a wrong proof that the earlier run is gone makes it run twice. Of a
// gang only the member that is placed first is logged.
void OwnerSession::logRestart(const Job& job, const RunKey& key, const Worker& worker) const
{
    const auto gone = goneRuns_.find(key.first);
    if (gone == goneRuns_.end()) {
        if (job.releasedAt)
            taskLogger.info("Task starts after a takeover",
                { { "task", taskName(key.first) }, { "run", key.second }, { "worker", worker.entry.id },
                    { "takeoverMsAgo", (now() - startedAt_).count() },
                    { "releasedMsAgo", (now() - *job.releasedAt).count() }, { "token", token_ } });
        return;
    }
    const GoneRun& earlier = gone->second;
    const Worker* const former = find(earlier.worker);
    taskLogger.info("Task starts again",
        { { "task", taskName(key.first) }, { "run", key.second }, { "worker", worker.entry.id },
            { "earlierRun", earlier.run }, { "earlierWorker", earlier.worker }, { "proof", earlier.proof },
            { "observedMsAgo", (now() - earlier.observedAt).count() },
            { "provenMsAgo", (now() - earlier.provenAt).count() },
            { "reportMsAgo", former ? std::to_string((now() - former->reportedAt).count()) : "none" },
            { "leaseOverInMs", former ? std::to_string((former->lease.end() - now()).count()) : "none" },
            { "born", former ? former->entry.startTimeMs : 0 }, { "token", token_ } });
}

void OwnerSession::logHeldBackWork()
{
    if (now() - heldBackLoggedAt_ < reportInterval)
        return;
    heldBackLoggedAt_ = now();
    logTakeoverWait();
    logUnsafeRenewals();
    std::set<ServiceId> pools;
    for (const auto& [id, job] : jobs_) {
        if (!isFinal(job.state))
            pools.insert(job.spec.policy.pool);
    }
    for (const ServiceId& pool : pools)
        logWithheldSteps(pool);
}

void OwnerSession::logTakeoverWait()
{
    if (recovered_ || unconfirmedWorkers_.empty())
        return;
    std::size_t waitingJobs = 0;
    for (const auto& [id, job] : jobs_)
        waitingJobs += job.mayHaveUnknownRuns && !isFinal(job.state) ? 1 : 0;
    const auto& [first, unconfirmed] = *unconfirmedWorkers_.begin();
    const Worker* const worker = find(first);
    logger.info("Takeover waits for workers that may hold runs of the previous owner",
        { { "workers", unconfirmedWorkers_.size() }, { "first", first }, { "listed", worker && worker->listed },
            { "responded", worker && worker->firstReportAt.has_value() }, { "jobs", waitingJobs },
            { "sinceMs", (now() - startedAt_).count() }, { "forMs", (unconfirmed.runsEndBy - now()).count() },
            { "token", token_ } });
}

// Reports what happens to the leases of workers while the store lease has ended.
void OwnerSession::logUnsafeRenewals()
{
    const bool follows = !owner_.ownership_.valid() && owner_.ownership_.mayCommand();
    const Milliseconds invalidFor = now() - owner_.ownership_.validUntil();
    if (follows && !mayRenewLeases() && unsafeRenewals_.empty()) {
        const std::vector<Milliseconds> calls = acceptedCalls();
        const auto accepted = std::count_if(calls.begin(), calls.end(),
            [this](Milliseconds sentAt) { return roundStartedAt_ && sentAt >= *roundStartedAt_; });
        std::size_t runs = 0;
        for (const auto& [id, worker] : workers_)
            runs += worker.runs.size();
        workerLogger.warning("Leases are not renewed without the store lease because too few workers respond",
            { { "accepted", accepted }, { "workers", knownWorkers() }, { "runs", runs },
                { "invalidForMs", invalidFor.count() }, { "token", token_ } });
    }
    if (unsafeRenewals_.empty())
        return;
    std::string names;
    std::size_t named = 0;
    for (const WorkerId& id : unsafeRenewals_) {
        if (++named > maximumNames)
            break;
        names += (names.empty() ? "" : ",") + id.value();
    }
    workerLogger.warning("Leases are renewed although the store lease has ended",
        { { "workers", unsafeRenewals_.size() }, { "names", names }, { "invalidForMs", invalidFor.count() },
            { "token", token_ } });
    unsafeRenewals_.clear();
}

// Reports the steps of which no task runs although they are ready, fit more than once and the pool is mostly free.
void OwnerSession::logWithheldSteps(const ServiceId& pool)
{
    PlanInput input;
    input.now = now();
    for (const auto& [id, worker] : workers_) {
        if (worker.entry.pool == pool && worker.listed)
            input.workers.push_back(planWorker(worker));
    }
    const PlannerFleet fleet(input);
    if (!fleet.isMostlyFree())
        return;
    for (const auto& [id, job] : jobs_) {
        if (isFinal(job.state) || job.spec.policy.pool != pool)
            continue;
        for (int occurrence = 0; occurrence < job.spec.occurrences && dueTime(job, occurrence); ++occurrence) {
            for (int step = 0; step < static_cast<int>(job.spec.steps.size()); ++step)
                logWithheldStep(job, occurrence, step, fleet);
        }
    }
}

void OwnerSession::logWithheldStep(const Job& job, int occurrence, int step, const PlannerFleet& fleet)
{
    const StepProgress& progress = job.occurrences[occurrence][step];
    if (progress.complete() || !job.dependenciesComplete(occurrence, step))
        return;
    const Milliseconds readyAt = progress.readyAt.value_or(std::max(startedAt_, *dueTime(job, occurrence)));
    const Milliseconds idleSince = std::max(readyAt, progress.activeAt.value_or(readyAt));
    if (now() - idleSince < reportedAfter)
        return;
    PlanStep waiting;
    waiting.spec = &job.spec.steps[step];
    for (int index = 0; index < waiting.spec->taskCount; ++index) {
        const TaskProgress& task = progress.tasks[index];
        if (task.phase == TaskPhase::Running)
            return;
        if (task.phase == TaskPhase::Waiting)
            waiting.tasks.push_back(index);
        else if (task.phase != TaskPhase::Done)
            ++waiting.activeTasks[task.worker];
    }
    const std::size_t enough = roomFactor * waiting.tasks.size();
    if (waiting.tasks.empty() || fleet.countAnywhere(waiting, enough) < enough)
        return;
    const std::string reason = withheldReason(job, occurrence, step);
    owner_.metrics_.countWithheldStep(reason);
    logger.warning("Ready step does not start although capacity is free",
        { { "job", job.spec.id }, { "occurrence", occurrence }, { "step", step }, { "reason", reason },
            { "idleForMs", (now() - idleSince).count() }, { "readyForMs", (now() - readyAt).count() },
            { "tasks", waiting.tasks.size() }, { "gang", waiting.spec->gang }, { "rackLocal", waiting.spec->rackLocal },
            { "dataRack", waiting.spec->dataRack }, { "label", waiting.spec->workerLabel }, { "token", token_ } });
}

std::string OwnerSession::withheldReason(const Job& job, int occurrence, int step) const
{
    if (job.mayHaveUnknownRuns)
        return "takeover";
    if (job.occurrences[occurrence][step].anyActive())
        return "start-or-stop-pending";
    const auto reasons = loggedWaitReasons_.find(job.spec.policy.pool);
    if (reasons == loggedWaitReasons_.end())
        return "not-planned";
    const auto reason = reasons->second.find({ job.spec.id, occurrence, step });
    return reason == reasons->second.end() ? "not-planned" : waitReasonName(reason->second);
}

} // namespace rosemarylink::jobs::internal
