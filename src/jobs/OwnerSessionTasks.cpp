#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    // A stop command that got no response is sent again after this time.
    constexpr Milliseconds stopRetry { 400 };

    // A gang that is not complete this long before its members time out is stopped and restarted.
    constexpr Milliseconds gangMargin { 1000 };

    // Starts and ends of the tasks of one step are logged together for this long.
    constexpr Milliseconds activityInterval { 1000 };

    // From this completed share on, a run's own pace predicts its end better than the run times of other tasks.
    constexpr int reliablePercent = 20;

    // A worker on which this many jobs have failed without a success in between is avoided while others have capacity.
    // One failure may be the job's own fault, so that it counts for a shorter time.
    constexpr std::size_t suspectAfterFailures = 2;
    constexpr Milliseconds suspectFor { 6000 };
    constexpr Milliseconds suspectForOneFailure { 2000 };

    // A long-running task whose run was shorter than shortRunLimit is restarted only after a pause, to avoid a tight
    // restart loop. A task counts as missing after 3 s.
    constexpr Milliseconds shortRunLimit { 1000 };
    constexpr Milliseconds restartPause { 500 };

    const Logger logger("tasks");

} // namespace

void OwnerSession::markChanged(Job& job, bool urgent)
{
    ++job.changes;
    scheduleFlush(urgent ? urgentFlushDelay : deferredFlushDelay);
}

void OwnerSession::handleEnd(Worker& worker, const EndedRun& ended)
{
    if (ended.number <= worker.lastSeenEnd)
        return;
    worker.lastSeenEnd = ended.number;
    Job* const job = find(ended.task.job);
    const auto run = worker.runs.find({ ended.task, ended.run });
    if (run != worker.runs.end()) {
        if (job && job->contains(ended.task))
            learnRunTime(*job, ended, run->second);
        if (ended.end == RunEnd::Done)
            releaseRates_[worker.entry.pool].add(now(), weightedCores(run->second.resources));
        worker.runs.erase(run);
    }
    if (!job || !job->contains(ended.task))
        return;
    noteRunGone({ ended.task, ended.run }, worker.entry.id, "listed-end", now());
    noteJobStarted(*job);
    clearUnresolved({ ended.task, ended.run }); // the worker's process outlived the run, also if its lease expired
    endRun(*job, ended.task, ended.run, ended.end, ended.checkpoint, worker.entry.id);
    if (ended.end == RunEnd::Failed) {
        recordFailure(worker, ended.task.job);
        worker.failures.addFailure(now());
    } else if (ended.end == RunEnd::Done) {
        worker.recentFailures.clear();
        worker.failures.addSuccess(now());
    }
    if (job->dirty())
        worker.pendingEnds.push_back({ ended.number, ended.task.job, job->changes });
}

// Learns from one run of each step, the median of its tasks, because the declared times of its tasks share one error.
void OwnerSession::learnRunTime(Job& job, const EndedRun& ended, const WorkerRun& run)
{
    const StepSpec& spec = job.stepSpec(ended.task);
    const int median = spec.gang ? 0 : spec.taskCount / 2;
    if (ended.end == RunEnd::Done && run.checkpoint.empty() && !run.adopted && job.step(ended.task).done == median)
        runTimes_.observe(
            job.spec.policy.queue.value(), spec.estimate, typicalRunTime(ended.task, now() - run.startedAt));
}

// Predicts the end of a run that has completed `percent` of its work by now.
void OwnerSession::expectEnd(const Job& job, const TaskKey& key, WorkerRun& run, int percent) const
{
    run.priority = job.spec.policy.priority;
    if (job.stepSpec(key).longRunning)
        return;
    if (percent >= reliablePercent && run.checkpoint.empty() && !run.adopted)
        run.expectedEndAt = now() + (now() - run.startedAt) * (100 - percent) / percent;
    else
        run.expectedEndAt
            = now() + expectedRunTime(job.spec, static_cast<std::size_t>(key.step)) * (100 - percent) / 100;
}

void OwnerSession::recordFailure(Worker& worker, const JobId& job)
{
    worker.recentFailures.insert(job);
    worker.avoidUntil = std::max(worker.avoidUntil, now() + suspectForOneFailure);
    if (worker.recentFailures.size() < suspectAfterFailures)
        return;
    logger.warning("Worker is suspect; several jobs failed on it",
        { { "worker", worker.entry.id }, { "jobs", worker.recentFailures.size() } });
    worker.avoidUntil = now() + suspectFor;
}

void OwnerSession::endRun(
    Job& job, const TaskKey& key, int run, RunEnd end, const std::string& checkpoint, const WorkerId& worker)
{
    TaskProgress& task = job.task(key);
    if (task.phase == TaskPhase::Done)
        return;
    const bool current = task.run == run && task.worker == worker && task.phase != TaskPhase::Waiting;
    owner_.metrics_.countEnd(end);
    if (end != RunEnd::LeaseExpired)
        task.unresolvedRuns.erase(run);
    const StepSpec& spec = job.stepSpec(key);
    logEnd(spec, key, run, end, worker, current ? now() - task.startedAt : Milliseconds(0), current);
    if (end == RunEnd::Done && !spec.longRunning) {
        if (!current)
            stopPresentRun(job, key, run, worker);
        completeTask(job, key);
        return;
    }
    // A run that is not the current one was started by a previous owner; only its failure matters.
    if (!current && end != RunEnd::Failed)
        return;
    if (current) {
        task.phase = TaskPhase::Waiting;
        task.worker = WorkerId();
        task.percent = 0;
    }
    task.run = std::max(task.run, run);
    if (!checkpoint.empty())
        job.checkpoint(key) = checkpoint;
    if (isFinal(job.state))
        return;
    if (spec.longRunning && current && now() - task.startedAt < shortRunLimit)
        task.notBefore = now() + restartPause;
    if (end == RunEnd::Failed && !spec.longRunning)
        failTask(job, key, run, worker);
    if (spec.gang && !isFinal(job.state))
        stopGang(job, key);
    markChanged(job, /*urgent=*/false);
    schedulePlan();
}

// Stops a run that goes on in vain because an earlier run of its task has turned out to be done.
void OwnerSession::stopPresentRun(Job& job, const TaskKey& key, int doneRun, const WorkerId& doneOn)
{
    const bool gang = job.stepSpec(key).gang;
    const TaskProgress& task = job.task(key);
    if (gang ? job.step(key).anyActive() : task.phase != TaskPhase::Waiting)
        logger.info("Task is done by an earlier run; its present run is stopped",
            { { "task", taskName(key) }, { "run", doneRun }, { "worker", doneOn }, { "presentRun", task.run },
                { "presentWorker", task.worker } });
    if (gang)
        stopGang(job, key);
    else
        stopTask(job, key);
}

// Ends that need an explanation, and those of gangs, are logged one by one; the others are counted for each step.
void OwnerSession::logEnd(const StepSpec& spec, const TaskKey& key, int run, RunEnd end, const WorkerId& worker,
    Milliseconds ran, bool current)
{
    if (end == RunEnd::Stopped || (end == RunEnd::Done && !spec.gang)) {
        StepActivity& activity = stepActivity_[{ key.job, key.occurrence, key.step }];
        ++(end == RunEnd::Done ? activity.done : activity.stopped);
        activity.ran += ran;
        return;
    }
    logger.info("Run ended",
        { { "task", taskName(key) }, { "run", run }, { "end", runEndName(end) }, { "worker", worker },
            { "current", current }, { "ranMs", ran.count() } });
}

void OwnerSession::logStepActivity()
{
    if (now() - activityLoggedAt_ < activityInterval)
        return;
    activityLoggedAt_ = now();
    for (const auto& [key, activity] : stepActivity_) {
        const auto& [job, occurrence, step] = key;
        const int ended = activity.done + activity.stopped;
        logger.info("Step progressed",
            { { "job", job }, { "step", step }, { "occurrence", occurrence }, { "started", activity.started },
                { "done", activity.done }, { "stopped", activity.stopped },
                { "meanRanMs", ended > 0 ? activity.ran.count() / ended : 0 }, { "token", token_ } });
    }
    stepActivity_.clear();
}

void OwnerSession::completeTask(Job& job, const TaskKey& key)
{
    StepProgress& step = job.step(key);
    // The members of a gang complete together, so the first reported completion completes all of them.
    const int first = job.stepSpec(key).gang ? 0 : key.index;
    const int last = job.stepSpec(key).gang ? job.stepSpec(key).taskCount - 1 : key.index;
    for (int index = first; index <= last; ++index) {
        TaskProgress& task = step.tasks.edit(static_cast<std::size_t>(index));
        if (task.phase == TaskPhase::Done)
            continue;
        task.phase = TaskPhase::Done;
        task.worker = WorkerId();
        task.checkpoint.clear();
        goneRuns_.erase({ key.job, key.occurrence, key.step, index });
        ++step.done;
    }
    step.gangCheckpoint.clear();
    if (step.complete())
        stepDurations_.erase({ key.job, key.occurrence, key.step });
    if (isFinal(job.state))
        return;
    if (job.complete())
        finishJob(job, JobState::Completed);
    else
        markChanged(job, /*urgent=*/false);
    schedulePlan();
}

void OwnerSession::failTask(Job& job, const TaskKey& key, int run, const WorkerId& worker)
{
    job.step(key).failedOn.insert(worker);
    std::set<int>& failedRuns = job.stepSpec(key).gang ? job.step(key).gangFailedRuns : job.task(key).failedRuns;
    failedRuns.insert(run);
    if (static_cast<int>(failedRuns.size()) >= job.spec.policy.maximumAttempts)
        finishJob(job, JobState::Failed);
}

void OwnerSession::stopGang(Job& job, const TaskKey& member)
{
    TaskKey key = member;
    for (key.index = 0; key.index < job.stepSpec(member).taskCount; ++key.index)
        stopTask(job, key);
}

void OwnerSession::stopTask(Job& job, const TaskKey& key)
{
    TaskProgress& task = job.task(key);
    if (task.phase != TaskPhase::Starting && task.phase != TaskPhase::Running)
        return;
    Worker* const worker = find(task.worker);
    const RunKey runKey { key, task.run };
    if (worker && worker->runs.count(runKey) > 0 && worker->runs.at(runKey).isQueued()) {
        worker->runs.erase(runKey);
        noteRunGone(runKey, task.worker, "start-not-sent", now());
        task.unresolvedRuns.erase(task.run);
        task.phase = TaskPhase::Waiting;
        task.worker = WorkerId();
        return;
    }
    task.phase = TaskPhase::Stopping;
    if (worker)
        stopRun(*worker, runKey);
}

void OwnerSession::stopJob(Job& job)
{
    for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            for (int index = 0; index < job.spec.steps[step].taskCount; ++index)
                stopTask(job, { job.spec.id, occurrence, static_cast<int>(step), index });
        }
    }
}

void OwnerSession::finishJob(Job& job, JobState state)
{
    job.state = state;
    job.finishedAt = now();
    owner_.metrics_.completion.record(static_cast<double>((now() - job.arrivedAt).count()));
    logger.info("Job ended",
        { { "job", job.spec.id }, { "state", jobStateName(state) }, { "queue", job.spec.policy.queue },
            { "sinceArrivalMs", (now() - job.arrivedAt).count() } });
    forgetPaces(job.spec.id);
    stopJob(job);
    markChanged(job, /*urgent=*/true);
}

void OwnerSession::stopRun(Worker& worker, const RunKey& key)
{
    const auto position = worker.runs.find(key);
    if (position == worker.runs.end())
        return;
    WorkerRun& run = position->second;
    run.phase = TaskPhase::Stopping;
    run.stopSentAt = now();
    const WorkerId id = worker.entry.id;
    const std::uint64_t incarnation = worker.incarnation;
    if (owner_.ownership_.mayCommand()) {
        owner_.workers_.stop(worker.entry, key.first, key.second, token_,
            guarded([this, key, id, incarnation](
                        const CommandResponse& response) { handleStopResponse(key, id, incarnation, response); }));
    }
    runAfter(stopRetry, [this, key, id, incarnation] {
        Worker* const current = find(id);
        if (!current || current->incarnation != incarnation)
            return;
        const auto waiting = current->runs.find(key);
        if (waiting != current->runs.end() && !waiting->second.stopAcceptedAt)
            stopRun(*current, key);
    });
}

void OwnerSession::handleStopResponse(
    const RunKey& key, const WorkerId& id, std::uint64_t incarnation, const CommandResponse& response)
{
    Worker* const worker = find(id);
    if (!worker || worker->incarnation != incarnation)
        return;
    noteResponse(*worker, response);
    if (response.outcome == CommandOutcome::Fenced) {
        owner_.ownership_.reportConflict();
        return;
    }
    const auto position = worker->runs.find(key);
    if (position == worker->runs.end() || response.outcome != CommandOutcome::Accepted)
        return;
    WorkerRun& run = position->second;
    run.stopAcceptedAt = now();
    if (response.workerClock.count() > 0)
        run.stopAcceptedClock = response.workerClock;
    // The pending poll reports the end of the run if it existed. If it did not, reports that are made after the longest
    // stop have to show that.
    runAfter(longestStop(), [this, id, key] {
        const Worker* const current = find(id);
        if (current && current->runs.count(key) > 0)
            scheduleImmediatePoll(id, Milliseconds(0));
    });
    poll(*worker);
}

// Stops gangs that will not be complete in time, before their members time out.
void OwnerSession::stopIncompleteGangs()
{
    const Milliseconds limit = owner_.limits_.gangTimeout - gangMargin;
    for (auto& [id, job] : jobs_) {
        if (isFinal(job.state) || job.mayHaveUnknownRuns)
            continue;
        for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
            for (std::size_t number = 0; number < job.spec.steps.size(); ++number) {
                if (!job.spec.steps[number].gang)
                    continue;
                const StepProgress& step = job.occurrences[occurrence][number];
                bool late = false;
                bool partial = false;
                for (const TaskProgress& task : step.tasks) {
                    late = late || (task.phase == TaskPhase::Starting && now() - task.startedAt > limit);
                    partial = partial || task.phase == TaskPhase::Waiting || task.phase == TaskPhase::Stopping;
                }
                if (late || (partial && step.anyActive()))
                    stopGang(job, { id, occurrence, static_cast<int>(number), 0 });
            }
        }
    }
}

} // namespace rosemarylink::jobs::internal
