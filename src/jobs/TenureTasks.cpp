#include "Tenure.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    // A stop without an answer is sent again after this time.
    constexpr Milliseconds stopRetry { 400 };

    // Added to the longest time of a stop before the list is asked for that has to show its end.
    constexpr Milliseconds stopListDelay { 80 };

    // A gang that is not whole this long before its members give up is stopped and started anew.
    constexpr Milliseconds gangMargin { 1000 };

    // A worker that refuses orders or has no room against expectation gets none for this time.
    constexpr Milliseconds avoidAfterRefusal { 500 };

    // A worker at which this many jobs in a row failed is avoided while others have room.
    constexpr std::size_t suspectAfterFailures = 2;
    constexpr Milliseconds suspectFor { 6000 };

    // A task that lasts and ends again and again is not started without a pause. It counts as missing after 3 s.
    constexpr Milliseconds shortRun { 1000 };
    constexpr Milliseconds restartPause { 500 };

    // Changes that callers wait for are stored at once; a few milliseconds gather those that arrive together.
    constexpr Milliseconds urgentFlushDelay { 2 };
    constexpr Milliseconds lazyFlushDelay { 120 };

    const Logger logger("tasks");

} // namespace

void Tenure::touch(Job& job, bool urgent)
{
    ++job.changes;
    flushSoon(urgent ? urgentFlushDelay : lazyFlushDelay);
}

void Tenure::takeEnd(Worker& worker, const EndedRun& ended)
{
    if (ended.number <= worker.seenEnd)
        return;
    worker.seenEnd = ended.number;
    worker.runs.erase({ ended.task, ended.run });
    Job* const job = find(ended.task.job);
    if (!job || !job->contains(ended.task))
        return;
    endRun(*job, ended.task, ended.run, ended.end, ended.checkpoint, worker.entry.id);
    if (ended.end == RunEnd::Failed)
        noteFailureOn(worker, ended.task.job);
    else if (ended.end == RunEnd::Done)
        worker.recentFailures.clear();
    if (job->dirty())
        worker.unstored.push_back({ ended.number, ended.task.job, job->changes });
}

void Tenure::noteFailureOn(Worker& worker, const JobId& job)
{
    worker.recentFailures.insert(job);
    if (worker.recentFailures.size() < suspectAfterFailures)
        return;
    logger.warning("Worker is suspect: several jobs failed there",
        { { "worker", worker.entry.id }, { "jobs", worker.recentFailures.size() } });
    worker.avoidUntil = now() + suspectFor;
}

void Tenure::endRun(
    Job& job, const TaskKey& key, int run, RunEnd end, const std::string& checkpoint, const WorkerId& worker)
{
    TaskProgress& task = job.task(key);
    if (task.phase == TaskPhase::Done)
        return;
    const bool current = task.run == run && task.worker == worker && task.phase != TaskPhase::Waiting;
    owner_.metrics_.countEnd(end);
    logger.info("Run ended",
        { { "task", taskName(key) }, { "run", run }, { "end", runEndName(end) }, { "worker", worker },
            { "current", current }, { "ranMs", current ? (now() - task.startedAt).count() : 0 },
            { "checkpointed", !checkpoint.empty() } });
    const StepSpec& spec = job.stepSpec(key);
    if (end == RunEnd::Done && !spec.lasting) {
        completeTask(job, key);
        return;
    }
    // A run of an earlier owner that is not the one known here: its failure counts all the same.
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
    if (spec.lasting && current && now() - task.startedAt < shortRun)
        task.notBefore = now() + restartPause;
    if (end == RunEnd::Failed && !spec.lasting)
        failTask(job, key, run);
    if (spec.gang && !isFinal(job.state))
        stopGang(job, key);
    touch(job, /*urgent=*/end != RunEnd::Stopped);
    planSoon();
}

void Tenure::completeTask(Job& job, const TaskKey& key)
{
    StepProgress& step = job.step(key);
    // The end of one member stands for the whole gang.
    const int first = job.stepSpec(key).gang ? 0 : key.index;
    const int last = job.stepSpec(key).gang ? job.stepSpec(key).taskCount - 1 : key.index;
    for (int index = first; index <= last; ++index) {
        TaskProgress& task = step.tasks[index];
        if (task.phase == TaskPhase::Done)
            continue;
        task.phase = TaskPhase::Done;
        task.worker = WorkerId();
        task.checkpoint.clear();
        ++step.done;
    }
    step.gangCheckpoint.clear();
    if (isFinal(job.state))
        return;
    if (job.complete())
        finishJob(job, JobState::Completed);
    else
        touch(job, /*urgent=*/true);
    planSoon();
}

void Tenure::failTask(Job& job, const TaskKey& key, int run)
{
    std::set<int>& failedRuns = job.stepSpec(key).gang ? job.step(key).gangFailedRuns : job.task(key).failedRuns;
    failedRuns.insert(run);
    if (static_cast<int>(failedRuns.size()) >= job.spec.terms.maximumAttempts)
        finishJob(job, JobState::Failed);
}

void Tenure::stopGang(Job& job, const TaskKey& member)
{
    TaskKey key = member;
    for (key.index = 0; key.index < job.stepSpec(member).taskCount; ++key.index)
        stopTask(job, key);
}

void Tenure::stopTask(Job& job, const TaskKey& key)
{
    TaskProgress& task = job.task(key);
    if (task.phase != TaskPhase::Starting && task.phase != TaskPhase::Running)
        return;
    task.phase = TaskPhase::Stopping;
    if (Worker* const worker = find(task.worker))
        stopRun(*worker, { key, task.run });
}

void Tenure::stopJob(Job& job)
{
    for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            for (int index = 0; index < job.spec.steps[step].taskCount; ++index)
                stopTask(job, { job.spec.id, occurrence, static_cast<int>(step), index });
        }
    }
}

void Tenure::finishJob(Job& job, JobState state)
{
    job.state = state;
    job.finishedAt = now();
    owner_.metrics_.completion.record(static_cast<double>((now() - job.arrivedAt).count()));
    logger.info("Job ended",
        { { "job", job.spec.id }, { "state", jobStateName(state) }, { "queue", job.spec.terms.queue },
            { "sinceArrivalMs", (now() - job.arrivedAt).count() } });
    stopJob(job);
    touch(job, /*urgent=*/true);
}

void Tenure::startTasks(const std::vector<Placement>& placements)
{
    JobId lastJob;
    for (const Placement& placement : placements) {
        Job* const job = find(placement.task.job);
        Worker* const worker = find(placement.worker);
        if (!job || !worker)
            continue;
        if (job->spec.id != lastJob)
            logger.info("Step starts",
                { { "job", job->spec.id }, { "step", placement.task.step }, { "occurrence", placement.task.occurrence },
                    { "rack", worker->entry.rack }, { "sinceArrivalMs", (now() - job->arrivedAt).count() },
                    { "token", token_ } });
        lastJob = job->spec.id;
        startTask(*job, placement.task, *worker);
    }
}

void Tenure::startTask(Job& job, const TaskKey& key, Worker& worker)
{
    TaskProgress& task = job.task(key);
    StepProgress& step = job.step(key);
    if (job.stepSpec(key).gang) {
        // Members share a run number that is above all that any of them has used; a member that is placed again joins
        // the run of the others.
        int highest = 0;
        bool others = false;
        for (const TaskProgress& member : step.tasks) {
            highest = std::max(highest, member.run);
            others = others || member.phase == TaskPhase::Starting || member.phase == TaskPhase::Running;
        }
        task.run = others ? highest : highest + 1;
    } else {
        ++task.run;
    }
    task.phase = TaskPhase::Starting;
    task.worker = worker.entry.id;
    task.startedAt = now();
    const RunKey runKey { key, task.run };
    RunOnWorker run;
    run.room = job.stepSpec(key).each;
    worker.runs[runKey] = run;
    if (job.state == JobState::Queued) {
        job.state = JobState::Active;
        owner_.metrics_.firstStart.record(static_cast<double>((now() - job.arrivedAt).count()));
        touch(job, /*urgent=*/false);
    }
    const Milliseconds leaseEnd = leaseEndFor(worker);
    extendLease(worker, leaseEnd);
    const WorkerId id = worker.entry.id;
    const std::uint64_t life = worker.life;
    const Milliseconds sentAt = now();
    owner_.workers_.start(worker.entry, { key, task.run, job.spec.payload, job.checkpoint(key) }, leaseEnd, token_,
        guarded([this, runKey, id, life, sentAt](const OrderAnswer& answer) {
            owner_.metrics_.startAnswer.record(static_cast<double>((now() - sentAt).count()));
            if (answer.outcome != StartOutcome::Started)
                owner_.metrics_.countRefusedStart(answer.outcome);
            takeStartAnswer(runKey, id, life, answer);
        }));
}

void Tenure::takeStartAnswer(const RunKey& key, const WorkerId& id, std::uint64_t life, const OrderAnswer& answer)
{
    Worker* const worker = find(id);
    if (!worker || worker->life != life)
        return;
    takeClock(*worker, answer.workerClock);
    const auto position = worker->runs.find(key);
    if (position == worker->runs.end())
        return;
    RunOnWorker& run = position->second;
    Job* const job = find(key.first.job);
    switch (answer.outcome) {
    case StartOutcome::Started:
        if (!run.confirmedAt)
            run.confirmedAt = now();
        run.unsettled = false;
        if (run.phase == TaskPhase::Starting) {
            run.phase = TaskPhase::Running;
            if (job && job->task(key.first).phase == TaskPhase::Starting && job->task(key.first).run == key.second)
                job->task(key.first).phase = TaskPhase::Running;
        }
        if (!worker->holding)
            hold(*worker);
        return;
    case StartOutcome::Fenced:
        owner_.ownership_.reportConflict();
        return;
    case StartOutcome::Unknown:
        // The worker may run it now or later; a stop of this run settles that.
        logger.warning(
            "Start has no answer", { { "task", taskName(key.first) }, { "run", key.second }, { "worker", id } });
        run.unsettled = true;
        worker->avoidUntil = std::max(worker->avoidUntil, now() + avoidAfterRefusal);
        if (job && job->task(key.first).run == key.second && job->task(key.first).worker == id)
            stopTask(*job, key.first);
        else
            stopRun(*worker, key);
        return;
    default:
        break;
    }
    logger.info("Start was refused",
        { { "task", taskName(key.first) }, { "run", key.second }, { "worker", id },
            { "outcome", startOutcomeName(answer.outcome) } });
    worker->avoidUntil = std::max(worker->avoidUntil, now() + avoidAfterRefusal);
    worker->runs.erase(position);
    if (!job)
        return;
    TaskProgress& task = job->task(key.first);
    if (task.run == key.second && task.worker == id && task.phase != TaskPhase::Done) {
        task.phase = TaskPhase::Waiting;
        task.worker = WorkerId();
        if (job->stepSpec(key.first).gang && !isFinal(job->state))
            stopGang(*job, key.first);
    }
    hold(*worker);
    planSoon();
}

void Tenure::stopRun(Worker& worker, const RunKey& key)
{
    const auto position = worker.runs.find(key);
    if (position == worker.runs.end())
        return;
    RunOnWorker& run = position->second;
    run.phase = TaskPhase::Stopping;
    run.stopSentAt = now();
    const WorkerId id = worker.entry.id;
    const std::uint64_t life = worker.life;
    owner_.workers_.stop(worker.entry, key.first, key.second, token_,
        guarded([this, key, id, life](const OrderAnswer& answer) { takeStopAnswer(key, id, life, answer); }));
    later(stopRetry, [this, key, id, life] {
        Worker* const asked = find(id);
        if (!asked || asked->life != life)
            return;
        const auto waiting = asked->runs.find(key);
        if (waiting != asked->runs.end() && !waiting->second.stopTakenAt)
            stopRun(*asked, key);
    });
}

void Tenure::takeStopAnswer(const RunKey& key, const WorkerId& id, std::uint64_t life, const OrderAnswer& answer)
{
    Worker* const worker = find(id);
    if (!worker || worker->life != life)
        return;
    takeClock(*worker, answer.workerClock);
    if (answer.outcome == StartOutcome::Fenced) {
        owner_.ownership_.reportConflict();
        return;
    }
    const auto position = worker->runs.find(key);
    if (position == worker->runs.end() || answer.outcome != StartOutcome::Started)
        return;
    position->second.stopTakenAt = now();
    // The call that waits for ends shows the end of a run that was there. If there was nothing to stop, a list has to
    // show that once the time of a stop is over.
    later(owner_.limits_.stopTime + stopListDelay, [this, id, key] {
        const Worker* const asked = find(id);
        if (asked && asked->runs.count(key) > 0)
            holdAgain(id, Milliseconds(0));
    });
    hold(*worker);
}

// Ends starts of gangs that will not become whole in time, before their members give up by themselves.
void Tenure::checkStartingGangs()
{
    const Milliseconds limit = owner_.limits_.gangTimeout - gangMargin;
    for (auto& [id, job] : jobs_) {
        if (isFinal(job.state) || job.mayRunElsewhere)
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
