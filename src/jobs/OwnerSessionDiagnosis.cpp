#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

namespace rosemarylink::jobs::internal {

namespace {

    constexpr Milliseconds reportInterval { 1000 };

    // A step that has been ready for this long without starting is reported. The platform counts a job as lost after 3
    // s.
    constexpr Milliseconds reportedAfter { 1500 };

    // A step is reported if there is room for this many times its tasks, as the platform counts it.
    constexpr std::size_t roomFactor = 2;

    const Logger logger("plan");

} // namespace

void OwnerSession::logHeldBackWork()
{
    if (now() - heldBackLoggedAt_ < reportInterval)
        return;
    heldBackLoggedAt_ = now();
    logTakeoverWait();
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
