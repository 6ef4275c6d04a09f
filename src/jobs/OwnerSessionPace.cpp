#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    // Progress is reported in whole percent, so that shorter times tell little.
    constexpr Milliseconds shortestObservation { 500 };

    // Progress is observed for at least this fraction (1/N) of the expected run time, so that rounding hides little of
    // it.
    constexpr int roundingDivisor = 25;

    // A run that shows no progress for this long stands still.
    constexpr Milliseconds standstill { 1500 };

    // Progress of a run that stands still, in percent.
    constexpr double leastProgress = 0.5;

    constexpr int complete = 100;

    // A run that is only slower than predicted, while too few tasks of its step show their pace, tells something about
    // its worker only below this pace, because predictions are off by up to a factor of two.
    constexpr double clearlySlow = 0.25;

    constexpr Milliseconds stragglerCheckInterval { 200 };

    // A gang ends with its slowest member. A run that took longer than this multiple of what one of its tasks takes on
    // a sound worker has waited for a slow one.
    constexpr int waitedFactor = 2;

    // Limits on writes of the record of paces.
    constexpr Milliseconds paceWriteInterval { 2000 };
    constexpr Milliseconds paceRefreshInterval { 6000 };
    constexpr Milliseconds paceTimeout { 1500 };

    const Logger logger("pace");

    TaskKey firstTask(const Job& job, TaskKey task)
    {
        if (job.stepSpec(task).gang)
            task.index = 0;
        return task;
    }

} // namespace

std::optional<Milliseconds> OwnerSession::workingSince(Job& job, const TaskKey& key, const WorkerRun& run)
{
    if (!run.confirmedAt || !run.confirmedClock)
        return std::nullopt;
    if (!job.stepSpec(key).gang)
        return run.confirmedClock;
    Milliseconds last = *run.confirmedAt;
    TaskKey member = key;
    for (member.index = 0; member.index < job.stepSpec(key).taskCount; ++member.index) {
        const TaskProgress& task = job.task(member);
        const Worker* const worker = find(task.worker);
        if (task.phase != TaskPhase::Running || !worker)
            return std::nullopt;
        const auto found = worker->runs.find({ member, task.run });
        if (found == worker->runs.end() || !found->second.confirmedAt)
            return std::nullopt;
        last = std::max(last, *found->second.confirmedAt);
    }
    return *run.confirmedClock + (last - *run.confirmedAt);
}

bool OwnerSession::isRemote(Job& job, const TaskKey& key, const Worker& worker)
{
    const StepSpec& spec = job.stepSpec(key);
    if (!spec.dataRack.empty() && worker.entry.rack != spec.dataRack)
        return true;
    if (!spec.rackLocal)
        return false;
    const TaskTable& tasks = job.step(key).tasks;
    return std::any_of(tasks.begin(), tasks.end(), [&](const TaskProgress& task) {
        const Worker* const other = task.worker == worker.entry.id ? nullptr : find(task.worker);
        return other && other->entry.rack != worker.entry.rack;
    });
}

std::optional<double> OwnerSession::measurePace(Worker& worker, const RunningRun& running, Milliseconds clock)
{
    const auto position = worker.runs.find({ running.task, running.run });
    Job* const job = find(running.task.job);
    if (position == worker.runs.end() || !job || !job->contains(running.task) || isFinal(job->state))
        return std::nullopt;
    WorkerRun& run = position->second;
    const StepSpec& spec = job->stepSpec(running.task);
    if (run.phase != TaskPhase::Running || spec.longRunning || job->step(running.task).complete()
        || job->task(running.task).run != running.run)
        return std::nullopt;
    if (!run.paceFrom) {
        // Asked once, because the answer takes a look at each task of the step.
        const std::optional<Milliseconds> since = workingSince(*job, running.task, run);
        if (!since || isRemote(*job, running.task, worker)) {
            run.paceInterrupted = true;
            return std::nullopt;
        }
        // A run that goes on from a checkpoint, or that an earlier owner started, has not done all of its progress
        // since its start.
        const bool fromBeginning = run.checkpoint.empty() && !run.adopted && !run.paceInterrupted;
        run.paceFrom = fromBeginning ? *since : clock;
        run.pacePercent = fromBeginning ? 0 : running.percent;
    }
    const Milliseconds elapsed = clock - *run.paceFrom;
    const int progress = running.percent - run.pacePercent;
    const Milliseconds rounding
        = expectedRunTime(job->spec, static_cast<std::size_t>(running.task.step)) / roundingDivisor;
    if (run.pacePercent >= complete || elapsed < std::max(shortestObservation, rounding)
        || (progress <= 0 && elapsed < std::max(standstill, rounding)))
        return std::nullopt;
    const Milliseconds duration(static_cast<std::int64_t>(
        static_cast<double>(elapsed.count()) * complete / std::max(leastProgress, static_cast<double>(progress))));
    run.paceFrom = clock;
    run.pacePercent = running.percent;
    StepDurations& durations = stepDurations_[{ running.task.job, running.task.occurrence, running.task.step }];
    // A task that has completed its work may have waited for the other members of its gang since.
    if (running.percent < complete) {
        run.paceDuration = duration;
        durations.observe(running.task.index, duration);
    }
    const Milliseconds expected
        = durations.expected(expectedRunTime(job->spec, static_cast<std::size_t>(running.task.step)));
    const double pace = static_cast<double>(expected.count()) / static_cast<double>(duration.count());
    // A task that has completed its work may only have waited, and a prediction alone may be wrong.
    const bool conclusive = running.percent < complete && (durations.known() || pace < clearlySlow);
    return conclusive || pace >= WorkerPaces::slowPace ? std::optional(pace) : std::nullopt;
}

void OwnerSession::notePace(Worker& worker, const WorkerReport& report)
{
    if (!observesWorkers())
        return;
    std::optional<double> best;
    for (const RunningRun& running : report.running) {
        if (const auto pace = measurePace(worker, running, report.workerClock))
            best = std::max(best.value_or(*pace), *pace);
    }
    if (!best)
        return;
    const WorkerId& id = worker.entry.id;
    const bool wasSlow = paces_.find(id, now()) != nullptr;
    paces_.observe(id, *best, now());
    const bool slow = paces_.find(id, now()) != nullptr;
    if (slow == wasSlow)
        return;
    logger.info(slow ? "Worker is slow" : "Worker is no longer slow",
        { { "worker", id }, { "pace", *best }, { "runs", report.running.size() },
            { "slowWorkers", paces_.slow().size() }, { "token", token_ } });
    owner_.metrics_.setSlowWorkers(paces_.slow().size());
    if (slow)
        moveStragglers();
}

Milliseconds OwnerSession::typicalRunTime(const TaskKey& task, Milliseconds ran) const
{
    const auto found = stepDurations_.find({ task.job, task.occurrence, task.step });
    if (!observesWorkers() || found == stepDurations_.end())
        return ran;
    const Milliseconds expected = found->second.expected(ran);
    return ran > expected * waitedFactor ? expected : ran;
}

// The first tasks of all work that has a run on a slow worker and that may be stopped.
std::set<TaskKey> OwnerSession::tasksOnSlowWorkers()
{
    std::set<TaskKey> tasks;
    for (const auto& [id, slow] : paces_.slow()) {
        const Worker* const worker = find(id);
        if (!worker)
            continue;
        for (const auto& [key, run] : worker->runs) {
            Job* const job = find(key.first.job);
            if (!job || !job->contains(key.first) || isFinal(job->state) || job->mayHaveUnknownRuns)
                continue;
            const StepSpec& spec = job->stepSpec(key.first);
            if (spec.preemptible && !spec.longRunning && job->task(key.first).run == key.second)
                tasks.insert(firstTask(*job, key.first));
        }
    }
    return tasks;
}

// Describes the work that begins with this task; nullopt if it does not run in full, or no run of it is slow.
std::optional<Straggler> OwnerSession::straggler(const TaskKey& first)
{
    Job& job = *find(first.job);
    Straggler work;
    work.job = first.job;
    work.occurrence = first.occurrence;
    work.step = first.step;
    work.spec = &job.stepSpec(first);
    work.priority = job.spec.policy.priority;
    work.savedPercent = complete;
    const Milliseconds predicted = expectedRunTime(job.spec, static_cast<std::size_t>(first.step));
    const auto durations = stepDurations_.find({ first.job, first.occurrence, first.step });
    work.duration = durations == stepDurations_.end() ? predicted : durations->second.expected(predicted);
    std::set<std::string> soundRacks;
    TaskKey key = first;
    const int last = work.spec->gang ? work.spec->taskCount - 1 : first.index;
    for (key.index = first.index; key.index <= last; ++key.index) {
        const TaskProgress& task = job.task(key);
        const Worker* const worker = find(task.worker);
        if (task.phase != TaskPhase::Running || !worker)
            return std::nullopt;
        const auto run = worker->runs.find({ key, task.run });
        if (run == worker->runs.end())
            return std::nullopt;
        if (evacuations_.isEvacuated(worker->entry.failureDomain))
            return std::nullopt; // its workers keep what they run, and may not get it back
        work.tasks.push_back(key.index);
        work.savedPercent = std::min(work.savedPercent, task.percent);
        if (!paces_.find(task.worker, now())) {
            soundRacks.insert(worker->entry.rack);
            ++work.tasksOn[task.worker];
            continue;
        }
        // A run that has not shown its own pace yet may have been placed there because it can afford it.
        if (task.percent >= complete || !run->second.paceDuration)
            continue;
        ++work.slowTasks;
        work.remaining = std::max(work.remaining, *run->second.paceDuration * (complete - task.percent) / complete);
    }
    if (work.slowTasks == 0)
        return std::nullopt;
    // The other members of a gang occupy their workers meanwhile. A single task delays nothing but its job.
    const std::optional<Milliseconds> due = dueTime(job, first.occurrence);
    if (work.tasks.size() == 1 && due && now() + work.remaining <= *due + objectiveOf(job.spec))
        return std::nullopt;
    if (!work.spec->checkpointing)
        work.savedPercent = 0;
    if (soundRacks.size() == 1)
        work.soundRack = *soundRacks.begin();
    const auto moves = moves_.find(first);
    work.moves = moves == moves_.end() ? 0 : moves->second;
    return work;
}

void OwnerSession::moveStragglers()
{
    if (!observesWorkers() || (paces_.empty() && storedSlow_.empty()) || !owner_.ownership_.valid()
        || now() - stragglersCheckedAt_ < stragglerCheckInterval)
        return;
    stragglersCheckedAt_ = now();
    paces_.expire(now());
    owner_.metrics_.setSlowWorkers(paces_.slow().size());
    storePaces();
    std::map<ServiceId, MoveInput> inputs; // by pool
    for (const TaskKey& first : tasksOnSlowWorkers()) {
        if (auto work = straggler(first))
            inputs[find(first.job)->spec.policy.pool].stragglers.push_back(std::move(*work));
    }
    for (auto& [pool, input] : inputs) {
        input.stopTime = owner_.limits_.stopTime;
        std::size_t registered = 0;
        std::size_t slow = 0;
        for (const auto& [id, worker] : workers_) {
            if (worker.entry.pool != pool || !worker.listed)
                continue;
            ++registered;
            PlanWorker row = planWorker(worker);
            slow += row.isSlow() ? 1 : 0;
            if (worker.reconciled && row.schedulable && !row.suspect && !row.isSlow())
                input.soundWorkers.push_back(std::move(row));
        }
        // The planner ignores pace where a large part of the pool is slow. Capacity that other work waits for is no
        // better place for a single task; a gang frees more than it needs.
        if (slow * slowDivisor > registered)
            continue;
        if (const auto waiting = loggedWaitReasons_.find(pool);
            waiting != loggedWaitReasons_.end() && !waiting->second.empty())
            input.stragglers.erase(
                std::remove_if(input.stragglers.begin(), input.stragglers.end(),
                    [](const Straggler& work) { return work.priority > 0 && work.tasks.size() == 1; }),
                input.stragglers.end());
        for (std::size_t index : chooseMoves(input)) {
            const Straggler& work = input.stragglers[index];
            Job& job = *find(work.job);
            logger.info("Work is moved off slow workers",
                { { "job", work.job }, { "step", work.step }, { "occurrence", work.occurrence },
                    { "tasks", work.tasks.size() }, { "slowTasks", work.slowTasks },
                    { "remainingMs", work.remaining.count() }, { "durationMs", work.duration.count() },
                    { "savedPercent", work.savedPercent }, { "moves", work.moves }, { "token", token_ } });
            owner_.metrics_.movedStragglers.add();
            const TaskKey first { work.job, work.occurrence, work.step, work.tasks.front() };
            ++moves_[first];
            if (work.spec->gang)
                stopGang(job, first);
            else
                stopTask(job, first);
        }
    }
}

void OwnerSession::forgetPaces(const JobId& job)
{
    for (auto entry = stepDurations_.lower_bound({ job, 0, 0 });
         entry != stepDurations_.end() && std::get<JobId>(entry->first) == job;)
        entry = stepDurations_.erase(entry);
    for (auto entry = moves_.lower_bound({ job, 0, 0, 0 }); entry != moves_.end() && entry->first.job == job;)
        entry = moves_.erase(entry);
}

void OwnerSession::loadPaces()
{
    const auto handle = [this](const StoreResponse& response) {
        if (response.outcome != StoreOutcome::NotFound && !response.done())
            return Duty::Outcome::Failed;
        if (response.done()) {
            if (const auto loaded = paces_.load(response.records.front().value, now(), owner_.clock_.now()); !loaded)
                logger.error("Record of slow workers is malformed", { { "reason", loaded.error().message } });
            for (const auto& [id, worker] : paces_.slow())
                storedSlow_.insert(id);
        }
        pacesLoaded_ = true;
        return Duty::Outcome::Succeeded;
    };
    owner_.store_.read(keys::paces, paceTimeout, submissionsDuty_.await(paceTimeout * 2, handle));
}

// Stores the slow workers for the next owner. A lost write is not resolved, because the next one replaces it.
void OwnerSession::storePaces()
{
    const Milliseconds age = now() - pacesStoredAt_;
    if (!pacesLoaded_ || pacesWriting_ || age < paceWriteInterval)
        return;
    std::set<WorkerId> slow;
    for (const auto& [id, worker] : paces_.slow())
        slow.insert(id);
    if (slow == storedSlow_ && (slow.empty() || age < paceRefreshInterval))
        return;
    pacesWriting_ = true;
    pacesStoredAt_ = now();
    Batch batch;
    batch.preconditions = { owner_.ownership_.condition() };
    batch.puts = { { keys::paces, paces_.record(now(), owner_.clock_.now()) } };
    owner_.store_.commit(batch, paceTimeout, guarded([this, slow](const StoreResponse& response) {
        pacesWriting_ = false;
        if (response.done())
            storedSlow_ = slow;
        else
            logger.warning("Slow workers were not stored", { { "workers", slow.size() } });
    }));
}

} // namespace rosemarylink::jobs::internal
