// Tasks under which workers crash. A worker counts as crashed if it has restarted or if another process is at its
// address. A worker that is silent has perhaps been cut off; it is polled on for a while after its lease has ended, so
// that a crash is noticed when it returns. The runs whose start the worker is not known to have survived may have
// caused the crash; each is added to its task's crashed runs. A start without a response may have caused it only if the
// worker was not heard of afterwards: one that reports without the run has not executed the start. From the first
// crashed run on, each start is stored with the task until its end is known or it cannot have caused a crash, so that a
// crash that no owner saw is not forgotten. Crashes under runs whose start the worker had not confirmed are weaker
// evidence, because such a run may never have begun: more of them are needed to give a job up. A run that a worker
// survives clears its task, so that a job fails only after several crashes in a row, and suspect tasks of different
// jobs do not start on one worker together, so that none is blamed for what another one causes.

#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    // A worker that has crashed often crashes again, so that it is used last for this long.
    constexpr Milliseconds avoidAfterCrash { 3000 };

    // For this long after a crash, starts of all tasks are checked soon, so that few runs are suspected if workers
    // crash by themselves. Without crashes the additional polls would be a waste.
    constexpr Milliseconds watchAfterCrash { 10000 };

    // Added to the survival time before the report is requested that can show that the worker survived a run's start.
    constexpr Milliseconds survivalPollDelay { 20 };

    const Logger logger("crashes");

    bool isGivenUp(const TaskProgress& task)
    {
        const std::size_t crashes = task.crashedRuns.size();
        const std::size_t suspected = crashes + task.unresolvedRuns.size();
        const std::size_t seen = crashes - task.unconfirmedCrashes.size();
        return crashes >= minimumSeenCrashes
            && suspected >= (seen >= minimumSeenCrashes ? maximumCrashes : maximumUnconfirmedCrashes);
    }

} // namespace

// How long the worker is known to have lived on after the start of the run; a lower limit, however long commands and
// responses take. The members of a gang begin to work when the last of them has started.
Milliseconds OwnerSession::knownSurvival(const Worker& worker, const RunKey& key, const WorkerRun& run)
{
    if (!run.confirmedClock || !worker.clock)
        return Milliseconds(0);
    Milliseconds survival = *worker.clock - *run.confirmedClock;
    Job* const job = find(key.first.job);
    if (job && job->contains(key.first) && job->stepSpec(key.first).gang) {
        const TaskTable& members = job->step(key.first).tasks;
        for (int index = 0; index < static_cast<int>(members.size()); ++index) {
            const TaskProgress& member = members[static_cast<std::size_t>(index)];
            if (member.run != key.second)
                continue;
            if (member.phase == TaskPhase::Starting)
                return Milliseconds(0);
            Milliseconds startedBy = member.startedAt;
            if (const Worker* const other = find(member.worker)) {
                const auto found
                    = other->runs.find({ { key.first.job, key.first.occurrence, key.first.step, index }, key.second });
                if (found != other->runs.end() && found->second.confirmedAt)
                    startedBy = *found->second.confirmedAt;
            }
            survival = std::min(survival, worker.aliveAt - startedBy);
        }
    }
    return std::max(survival, Milliseconds(0));
}

// Whether the worker may have crashed at the run's start, as far as this owner knows.
bool OwnerSession::mayHaveCausedCrash(const Worker& worker, const RunKey& key, const WorkerRun& run)
{
    if (run.isQueued())
        return false;
    // A healthy worker executes a start far within the survival time, so that the report shows a run that exists.
    if (!run.confirmedAt && run.startSentAt && worker.aliveAt >= *run.startSentAt + survivalTime)
        return false;
    return knownSurvival(worker, key, run) < survivalTime;
}

// Runs on the worker that would be to blame if it had crashed.
std::vector<SuspectRun> OwnerSession::possibleCauses(const Worker& worker)
{
    std::vector<SuspectRun> causes;
    for (const auto& [key, run] : worker.runs) {
        if (mayHaveCausedCrash(worker, key, run))
            causes.push_back({ key, run.confirmedAt.has_value() });
    }
    return causes;
}

void OwnerSession::handleCrash(Worker& worker, const std::string& reason)
{
    for (auto position = crashedAt_.begin(); position != crashedAt_.end();)
        position = now() - position->second >= avoidAfterCrash ? crashedAt_.erase(position) : std::next(position);
    if (!worker.runs.empty() || !worker.undecidedRuns.empty()) {
        crashedAt_[worker.entry.address] = now();
        lastCrashAt_ = now();
    }
    std::vector<SuspectRun> causes = possibleCauses(worker);
    causes.insert(causes.end(), worker.undecidedRuns.begin(), worker.undecidedRuns.end());
    worker.undecidedRuns.clear();
    for (const SuspectRun& run : causes)
        recordCrash(worker, run, reason);
}

void OwnerSession::recordCrash(const Worker& worker, const SuspectRun& suspect, const std::string& reason)
{
    const RunKey& key = suspect.key;
    Job* const job = find(key.first.job);
    if (!job || isFinal(job->state) || !job->contains(key.first) || job->task(key.first).phase == TaskPhase::Done)
        return;
    TaskProgress& task = job->task(key.first);
    if (!task.crashedRuns.insert(key.second).second)
        return;
    task.unresolvedRuns.erase(key.second);
    if (!suspect.confirmed)
        task.unconfirmedCrashes.insert(key.second);
    const auto run = worker.runs.find(key);
    logger.warning("Worker crashed under a run",
        { { "task", taskName(key.first) }, { "run", key.second }, { "worker", worker.entry.id },
            { "crashes", task.crashedRuns.size() }, { "unconfirmed", task.unconfirmedCrashes.size() },
            { "unresolved", task.unresolvedRuns.size() }, { "confirmed", suspect.confirmed },
            { "survivedMs", run == worker.runs.end() ? 0 : knownSurvival(worker, key, run->second).count() },
            { "reason", reason } });
    if (!isGivenUp(task)) {
        markChanged(*job, /*urgent=*/true);
        return;
    }
    logger.warning("Job is given up because workers crash under its task",
        { { "job", job->spec.id }, { "task", taskName(key.first) }, { "crashes", task.crashedRuns.size() },
            { "unconfirmed", task.unconfirmedCrashes.size() }, { "unresolved", task.unresolvedRuns.size() } });
    finishJob(*job, JobState::Failed);
}

// Clears the task once the worker is known to have survived the run's start.
void OwnerSession::recordSurvival(Job& job, const Worker& worker, const RunKey& key, const WorkerRun& run)
{
    TaskProgress& task = job.task(key.first);
    if (task.crashedRuns.empty() || knownSurvival(worker, key, run) < survivalTime)
        return;
    logger.info("Worker survived a run; earlier crashes no longer count against its task",
        { { "task", taskName(key.first) }, { "run", key.second }, { "worker", worker.entry.id },
            { "crashes", task.crashedRuns.size() } });
    task.crashedRuns.clear();
    task.unconfirmedCrashes.clear();
    task.unresolvedRuns.clear();
    markChanged(job, /*urgent=*/false);
}

// The run has not crashed its worker.
void OwnerSession::clearUnresolved(const RunKey& key)
{
    Job* const job = find(key.first.job);
    if (job && job->contains(key.first) && job->task(key.first).unresolvedRuns.erase(key.second) > 0)
        markChanged(*job, /*urgent=*/false);
}

// Requests the report that shows whether the worker survived the start of a run that it has just accepted.
void OwnerSession::checkSurvivalSoon(const Job& job, const TaskKey& key, const WorkerId& worker)
{
    const bool suspect = !job.occurrences[key.occurrence][key.step].tasks[key.index].crashedRuns.empty();
    if (suspect || (lastCrashAt_ && now() - *lastCrashAt_ < watchAfterCrash))
        scheduleImmediatePoll(worker, survivalTime + survivalPollDelay);
}

bool OwnerSession::isRecentlyCrashed(const Worker& worker) const
{
    const auto crashed = crashedAt_.find(worker.entry.address);
    return crashed != crashedAt_.end() && now() - crashed->second < avoidAfterCrash;
}

// Leaves out placements of suspect tasks, and with a member its gang, on workers with a suspect run of another job that
// the worker is not known to survive yet. Those tasks wait for a later plan.
std::vector<Placement> OwnerSession::withoutSharedBlame(const std::vector<Placement>& placements)
{
    const auto isSuspect = [this](const TaskKey& task) {
        Job* const job = find(task.job);
        return job && job->contains(task) && !job->task(task).crashedRuns.empty();
    };
    if (std::none_of(placements.begin(), placements.end(), [&](const Placement& one) { return isSuspect(one.task); }))
        return placements;
    std::map<WorkerId, JobId> suspects; // placed here
    std::set<TaskKey> delayed; // tasks, for a gang its first member
    const auto unit = [this](TaskKey task) {
        Job* const job = find(task.job);
        if (job && job->stepSpec(task).gang)
            task.index = 0;
        return task;
    };
    for (const Placement& placement : placements) {
        Worker* const worker = find(placement.worker);
        if (!worker || !isSuspect(placement.task))
            continue;
        const JobId& job = placement.task.job;
        bool shared = suspects.try_emplace(placement.worker, job).first->second != job;
        for (const auto& [key, run] : worker->runs) {
            shared = shared
                || (key.first.job != job && isSuspect(key.first) && knownSurvival(*worker, key, run) < survivalTime);
        }
        if (shared)
            delayed.insert(unit(placement.task));
    }
    std::vector<Placement> allowed;
    std::copy_if(placements.begin(), placements.end(), std::back_inserter(allowed),
        [&](const Placement& one) { return delayed.count(unit(one.task)) == 0; });
    return allowed;
}

} // namespace rosemarylink::jobs::internal
