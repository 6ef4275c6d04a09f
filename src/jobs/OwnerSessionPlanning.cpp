#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    // Combines events that arrive together into one plan.
    constexpr Milliseconds shortestPlanDelay { 2 };
    constexpr Milliseconds longestPlanDelay { 50 };
    constexpr Milliseconds longestUrgentPlanDelay { 8 }; // while urgent work waits

    // A plan takes time in proportion to the workers, so the delay grows by 1 ms for each of these.
    constexpr std::size_t workersPerDelay = 20;

    // Only some plans look for work to preempt for steps that are not urgent, because the search is costly.
    constexpr Milliseconds otherPreemptionInterval { 25 };

    // A slow worker without runs may be given a single task to see whether it is still slow, this long after it was
    // last seen to be.
    constexpr Milliseconds probeInterval { 3000 };

    // An occurrence starts this long after its due time, so that it is not early by a slightly different clock.
    constexpr Milliseconds dueMargin { 20 };

    // A stopped run that returns a checkpoint loses the time in which it is saved and restored.
    constexpr Milliseconds resumeTime { 100 };

    // A job that completes within this multiple of its objective still has some value.
    constexpr int lateFactor = 3;

    // Part of the reclaim timeout that is reserved for stopping other work and sending commands.
    constexpr Milliseconds reclaimMargin { 700 };

    const Logger logger("plan");

    // Whether one more failed or crashed run of any waiting task makes the job fail.
    bool isLastAttempt(const Job& job, const StepProgress& step, bool gang)
    {
        const auto isLast = [&job](const std::set<int>& failedRuns) {
            return static_cast<int>(failedRuns.size()) + 1 >= job.spec.policy.maximumAttempts;
        };
        if (gang && isLast(step.gangFailedRuns))
            return true;
        return std::any_of(step.tasks.begin(), step.tasks.end(), [&](const TaskProgress& task) {
            return task.phase == TaskPhase::Waiting
                && (isLast(task.failedRuns) || task.crashedRuns.size() + 1 >= maximumCrashes);
        });
    }

    std::int64_t peakAccelerators(const JobSpec& job)
    {
        std::int64_t most = 0;
        for (const StepSpec& step : job.steps)
            most = std::max(most, step.perTask.accelerators * step.taskCount);
        return most;
    }

} // namespace

Milliseconds OwnerSession::planDelay(bool urgentArrival) const
{
    if (urgentArrival)
        return shortestPlanDelay;
    const Milliseconds paced(static_cast<std::int64_t>(workers_.size() / workersPerDelay));
    return std::clamp(paced, shortestPlanDelay, urgentWaits_ ? longestUrgentPlanDelay : longestPlanDelay);
}

void OwnerSession::schedulePlan(bool urgentArrival)
{
    const Milliseconds delay = planDelay(urgentArrival);
    const Milliseconds dueAt = now() + delay;
    if (planDueAt_ && *planDueAt_ <= dueAt)
        return;
    planDueAt_ = dueAt;
    runAfter(delay, [this, dueAt] {
        if (planDueAt_ != dueAt)
            return;
        planDueAt_.reset();
        plan();
    });
}

void OwnerSession::plan()
{
    if (!owner_.ownership_.valid())
        return;
    if (!queuedStarts_.empty()) {
        // What is placed now would only wait behind the commands in the queue.
        sendQueuedStarts();
        if (!queuedStarts_.empty()) {
            schedulePlan();
            return;
        }
    }
    if (!knowsEvacuations())
        return; // nothing may be started, so nothing must be preempted either
    urgentWaits_ = false;
    std::set<ServiceId> pools;
    for (const auto& [id, job] : jobs_)
        pools.insert(job.spec.policy.pool);
    for (const ServiceId& pool : pools) {
        PlanInput input = planInput(pool);
        if (input.steps.empty())
            continue;
        Plan plan = makePlan(input);
        if (plan.wantsPreemption) {
            const std::vector<Job*> jobs = unfinishedJobs(pool);
            const Guaranteed guaranteed = guaranteedOccurrences(jobs);
            for (const Job* job : jobs)
                addRunning(input, *job, guaranteed);
            if (!input.running.empty())
                plan = makePlan(input);
        }
        if (!plan.waiting.empty()) {
            capacityWantedAt_ = now();
            writeFleet(); // so that idle workers may get work
        }
        for (const WaitingStep& waiting : plan.waiting)
            urgentWaits_ = urgentWaits_ || input.steps[waiting.step].priority == 0;
        applyPlan(pool, input, plan);
    }
}

Milliseconds OwnerSession::expectedRunTime(const JobSpec& job, std::size_t step) const
{
    return runTimes_.predict(job.policy.queue.value(), job.steps[step].estimate);
}

Milliseconds OwnerSession::criticalPath(const JobSpec& job, std::size_t from) const
{
    std::vector<Milliseconds> ends(job.steps.size());
    Milliseconds longest { 0 };
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        Milliseconds start { 0 };
        for (int dependency : job.steps[number].dependencies)
            start = std::max(start, ends[static_cast<std::size_t>(dependency)]);
        ends[number] = start + (number < from ? Milliseconds(0) : expectedRunTime(job, number));
        longest = std::max(longest, ends[number]);
    }
    return longest;
}

Milliseconds OwnerSession::objectiveOf(const JobSpec& job) const
{
    const auto chain = static_cast<double>(criticalPath(job, 0).count());
    return Milliseconds(static_cast<std::int64_t>(chain * job.policy.stretch)) + job.policy.objectiveSlack;
}

PlanWorker OwnerSession::planWorker(const Worker& worker) const
{
    PlanWorker row;
    row.id = worker.entry.id;
    row.rack = worker.entry.rack;
    row.labels = &worker.entry.labels;
    row.capacity = worker.entry.capacity;
    row.free = worker.entry.capacity;
    row.expectedEnds.reserve(worker.runs.size());
    for (const auto& [key, run] : worker.runs) {
        row.free -= run.resources;
        if (run.priority == 0)
            row.urgentAccelerators += run.resources.accelerators;
        if (run.phase == TaskPhase::Stopping) {
            row.releasing += run.resources;
            row.expectedEnds.push_back({ now() + owner_.limits_.stopTime, run.resources });
        } else if (run.expectedEndAt) {
            // A run that is overdue is expected to take a while longer.
            const Milliseconds earliest = now() + (now() - run.startedAt) / 8;
            row.expectedEnds.push_back({ std::max(*run.expectedEndAt, earliest), run.resources });
        }
    }
    std::sort(row.expectedEnds.begin(), row.expectedEnds.end(),
        [](const ExpectedEnd& a, const ExpectedEnd& b) { return a.at < b.at; });
    row.schedulable = (worker.reconciled || mayRunNewJobs(worker)) && mayStartOn(worker, StartCommandKind::First)
        && worker.clock && !worker.unresponsiveSince && worker.idleUntil <= now();
    row.suspect = worker.avoidUntil > now() || isRecentlyCrashed(worker)
        || (observesWorkers() && worker.failures.isUnreliable(now()));
    if (const SlowWorker* slow = paces_.find(worker.entry.id, now())) {
        row.pace = slow->pace;
        row.mayBeProbed = worker.runs.empty() && now() - slow->seenAt >= probeInterval;
    }
    return row;
}

// Until the worker is reconciled, only jobs that cannot have runs there are planned; see Job::mayHaveUnknownRuns.
bool OwnerSession::mayRunNewJobs(const Worker& worker) const
{
    const Configuration* configuration = owner_.config_.current();
    return worker.firstReportAt && unconfirmedWorkers_.count(worker.entry.id) > 0 && configuration
        && configuration->guardedPools.count(worker.entry.pool) > 0;
}

std::vector<Job*> OwnerSession::unfinishedJobs(const ServiceId& pool)
{
    std::vector<Job*> byArrival;
    for (auto& [id, job] : jobs_) {
        if (!isFinal(job.state) && job.spec.policy.pool == pool)
            byArrival.push_back(&job);
    }
    std::sort(
        byArrival.begin(), byArrival.end(), [](const Job* a, const Job* b) { return a->arrivedAt < b->arrivedAt; });
    return byArrival;
}

// Occurrences that overlap each need what the job needs, so each takes its own part of the guarantee, in the order in
// which they are due.
OwnerSession::Guaranteed OwnerSession::guaranteedOccurrences(const std::vector<Job*>& jobs) const
{
    std::vector<std::tuple<Milliseconds, const Job*, int>> byDueTime;
    for (const Job* job : jobs) {
        if (job->spec.policy.priority != 0)
            continue;
        for (int occurrence = 0; occurrence < job->spec.occurrences; ++occurrence) {
            const std::optional<Milliseconds> due = dueTime(*job, occurrence);
            if (!due)
                break;
            if (!job->complete(occurrence))
                byDueTime.emplace_back(*due, job, occurrence);
        }
    }
    std::stable_sort(byDueTime.begin(), byDueTime.end(),
        [](const auto& a, const auto& b) { return std::get<0>(a) < std::get<0>(b); });
    std::map<AccountId, std::int64_t> remainingGuarantee;
    if (const Configuration* configuration = owner_.config_.current()) {
        for (const ClientAccount& account : configuration->accounts)
            remainingGuarantee[account.id] = account.guaranteedAccelerators;
    }
    Guaranteed guaranteed;
    for (const auto& [due, job, occurrence] : byDueTime) {
        std::int64_t& left = remainingGuarantee[job->spec.account];
        left -= peakAccelerators(job->spec);
        if (left >= 0)
            guaranteed.emplace(job->spec.id, occurrence);
    }
    return guaranteed;
}

std::size_t OwnerSession::startsLeft() const
{
    std::size_t runs = 0;
    for (const auto& [id, worker] : workers_)
        runs += worker.runs.size();
    const std::size_t most = owner_.limits_.jobMemoryBytes / bytesOfRun;
    return most - std::min(most, runs);
}

PlanInput OwnerSession::planInput(const ServiceId& pool)
{
    PlanInput input;
    input.now = now();
    input.deferLargest = owner_.limits_.deferLargest;
    input.maximumStarts = startsLeft();
    input.urgentRackWait = owner_.limits_.reclaimTimeout - owner_.limits_.stopTime - reclaimMargin;
    std::int64_t urgentDemand = 0;
    std::int64_t capacity = 0;
    SupersededRuns superseded;
    for (const auto& [id, worker] : workers_) {
        if (worker.entry.pool != pool || !worker.listed)
            continue;
        input.workers.push_back(planWorker(worker));
        urgentDemand += input.workers.back().urgentAccelerators;
        capacity += input.workers.back().capacity.accelerators;
        addSupersededRuns(superseded, worker);
    }
    const std::vector<Job*> jobs = unfinishedJobs(pool);
    const Guaranteed guaranteed = guaranteedOccurrences(jobs);
    for (Job* job : jobs) {
        if (!job->mayHaveUnknownRuns)
            addSteps(input, *job, guaranteed, superseded);
    }
    for (const PlanStep& step : input.steps) {
        if (step.priority == 0)
            urgentDemand += step.spec->perTask.accelerators * static_cast<std::int64_t>(step.tasks.size());
    }
    Milliseconds& preemptedAt = preemptedForOthersAt_[pool];
    input.mayPreemptForOthers = input.now - preemptedAt >= otherPreemptionInterval;
    if (input.mayPreemptForOthers)
        preemptedAt = input.now;
    input.urgentHeadroom = urgentHeadrooms_[pool].update(input.now, urgentDemand, capacity);
    input.releasedCoresPerSecond = releaseRates_[pool].perSecond(input.now);
    return input;
}

// When the occurrence became due, on the monotonic clock; nullopt if it is not due yet.
std::optional<Milliseconds> OwnerSession::dueTime(const Job& job, int occurrence) const
{
    if (!job.spec.firstDue)
        return job.arrivedAt;
    const Milliseconds wallOffset = now() - Milliseconds(toMilliseconds(owner_.clock_.now()));
    const Milliseconds dueAt
        = Milliseconds(toMilliseconds(*job.spec.firstDue)) + job.spec.interval * occurrence + wallOffset;
    if (now() < dueAt + dueMargin)
        return std::nullopt;
    return dueAt;
}

void OwnerSession::addSupersededRuns(SupersededRuns& superseded, const Worker& worker)
{
    for (const auto& [key, run] : worker.runs) {
        if (run.phase != TaskPhase::Stopping)
            continue;
        const auto& [task, number] = key;
        Job* const job = find(task.job);
        if (!job || !job->contains(task) || job->stepSpec(task).maximumPerWorker == 0)
            continue;
        const TaskProgress& progress = job->task(task);
        if (progress.run != number || progress.worker != worker.entry.id)
            ++superseded[{ task.job, task.occurrence, task.step }][worker.entry.id];
    }
}

void OwnerSession::addSteps(PlanInput& input, Job& job, const Guaranteed& guaranteed, const SupersededRuns& superseded)
{
    for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
        const std::optional<Milliseconds> due = dueTime(job, occurrence);
        if (!due)
            return;
        const Milliseconds dueAt = *due;
        std::vector<StepProgress>& steps = job.occurrences.edit(static_cast<std::size_t>(occurrence));
        for (std::size_t number = 0; number < job.spec.steps.size(); ++number) {
            StepProgress& progress = steps[number];
            const StepSpec& spec = job.spec.steps[number];
            if (progress.complete() || !job.dependenciesComplete(occurrence, static_cast<int>(number)))
                continue;
            if (!progress.readyAt)
                progress.readyAt = spec.dependencies.empty() ? dueAt : input.now;
            if (progress.anyActive())
                progress.activeAt = input.now;
            if (spec.gang && progress.anyActive())
                continue;
            PlanStep step;
            for (int index = 0; index < spec.taskCount; ++index) {
                const TaskProgress& task = progress.tasks[index];
                if (task.phase == TaskPhase::Waiting && input.now >= task.notBefore)
                    step.tasks.push_back(index);
                else if (task.phase != TaskPhase::Waiting && task.phase != TaskPhase::Done)
                    ++step.activeTasks[task.worker];
            }
            if (step.tasks.empty())
                continue;
            const auto others = superseded.find({ job.spec.id, occurrence, static_cast<int>(number) });
            if (others != superseded.end()) {
                for (const auto& [worker, runs] : others->second)
                    step.activeTasks[worker] += runs;
            }
            step.job = job.spec.id;
            step.occurrence = occurrence;
            step.step = static_cast<int>(number);
            step.spec = &job.spec.steps[number];
            step.failedOn = &progress.failedOn;
            step.lastAttempt = isLastAttempt(job, progress, spec.gang);
            step.priority = job.spec.policy.priority;
            step.guaranteed = guaranteed.count({ job.spec.id, occurrence }) > 0;
            const auto reserved = reservedWorkers_.find({ job.spec.id, occurrence, static_cast<int>(number) });
            if (reserved != reservedWorkers_.end())
                step.reservedWorkers = reserved->second;
            step.arrivedAt = dueAt;
            step.readyAt = *progress.readyAt;
            step.idleSince = std::max(step.readyAt, progress.activeAt.value_or(step.readyAt));
            step.expectedRunTime = expectedRunTime(job.spec, number);
            step.remaining = criticalPath(job.spec, number);
            const Milliseconds objective = objectiveOf(job.spec);
            step.objectiveAt = dueAt + objective;
            step.lateDeadline = dueAt + objective * lateFactor;
            input.steps.push_back(std::move(step));
        }
    }
}

void OwnerSession::addRunning(PlanInput& input, const Job& job, const Guaranteed& guaranteed) const
{
    for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
        for (std::size_t number = 0; number < job.spec.steps.size(); ++number) {
            const StepSpec& spec = job.spec.steps[number];
            if (!spec.preemptible)
                continue;
            const StepProgress& progress = job.occurrences[occurrence][number];
            const double cores = weightedCores(spec.perTask);
            PreemptibleWork gang { job.spec.id, occurrence, static_cast<int>(number), {}, {}, job.spec.policy.priority,
                guaranteed.count({ job.spec.id, occurrence }) > 0, unitAccelerators(spec), 0, 0, Milliseconds(0),
                Milliseconds(0) };
            for (int index = 0; index < spec.taskCount; ++index) {
                const TaskProgress& task = progress.tasks[index];
                if (task.phase != TaskPhase::Running && task.phase != TaskPhase::Starting)
                    continue;
                PreemptibleWork one = gang;
                one.tasks = { index };
                one.resources.clear();
                one.resources[task.worker] += spec.perTask;
                one.ranFor = input.now - task.startedAt;
                one.lostTime = spec.checkpointing ? resumeTime : one.ranFor;
                one.cores = cores;
                one.lostCoreSeconds = cores * static_cast<double>(one.lostTime.count()) / 1000.0;
                if (!spec.gang) {
                    input.running.push_back(std::move(one));
                    continue;
                }
                gang.tasks.push_back(index);
                gang.resources[task.worker] += spec.perTask;
                gang.cores += cores;
                gang.lostCoreSeconds += one.lostCoreSeconds;
                gang.lostTime = std::max(gang.lostTime, one.lostTime);
                gang.ranFor = std::max(gang.ranFor, one.ranFor);
            }
            if (!gang.tasks.empty())
                input.running.push_back(std::move(gang));
        }
    }
}

void OwnerSession::applyPlan(const ServiceId& pool, const PlanInput& input, const Plan& plan)
{
    logWaiting(pool, input, plan);
    for (const PlanStep& step : input.steps)
        reservedWorkers_.erase({ step.job, step.occurrence, step.step });
    for (const CapacityReservation& reservation : plan.reservations)
        reservedWorkers_[{ reservation.job, reservation.occurrence, reservation.step }] = reservation.workers;
    preempt(input, plan);
    startTasks(plan.placements);
    if (plan.planAgainAt)
        runAfter(*plan.planAgainAt - input.now, [this] { schedulePlan(/*urgentArrival=*/true); });
}

// Stops the preempted work. Logs one line for each step that loses tasks to another.
void OwnerSession::preempt(const PlanInput& input, const Plan& plan)
{
    struct Loss {
        std::size_t tasks = 0;
        double coreSeconds = 0;
    };
    std::map<std::tuple<JobId, int, JobId, int>, Loss> losses; // by job and step that lose and that gain
    for (const Preemption& preemption : plan.preemptions) {
        const PreemptibleWork& victim = input.running[preemption.work];
        const PlanStep& step = input.steps[preemption.step];
        Job* const job = find(victim.job);
        if (!job)
            continue;
        Loss& loss = losses[{ victim.job, victim.step, step.job, step.step }];
        loss.tasks += victim.tasks.size();
        loss.coreSeconds += victim.lostCoreSeconds;
        for (int task : victim.tasks)
            stopTask(*job, { victim.job, victim.occurrence, victim.step, task });
    }
    for (const auto& [key, loss] : losses) {
        const auto& [job, step, forJob, forStep] = key;
        logger.info("Work is preempted",
            { { "job", job }, { "step", step }, { "tasks", loss.tasks }, { "lostCoreSeconds", loss.coreSeconds },
                { "forJob", forJob }, { "forStep", forStep } });
    }
}

// Logs when a step begins to wait and whenever the reason changes.
void OwnerSession::logWaiting(const ServiceId& pool, const PlanInput& input, const Plan& plan)
{
    std::int64_t freeAccelerators = 0;
    std::size_t schedulableWorkers = 0;
    for (const PlanWorker& worker : input.workers) {
        if (!worker.schedulable)
            continue;
        ++schedulableWorkers;
        freeAccelerators += worker.free.accelerators;
    }
    WaitReasons& known = loggedWaitReasons_[pool];
    WaitReasons reasons;
    for (std::size_t ahead = 0; ahead < plan.waiting.size(); ++ahead) {
        const WaitingStep& waiting = plan.waiting[ahead];
        const PlanStep& step = input.steps[waiting.step];
        const std::tuple<JobId, int, int> key { step.job, step.occurrence, step.step };
        reasons[key] = waiting.reason;
        const auto logged = known.find(key);
        if (logged != known.end() && logged->second == waiting.reason)
            continue;
        logger.info("Step waits",
            { { "job", step.job }, { "step", step.step }, { "reason", waitReasonName(waiting.reason) },
                { "tasks", waiting.tasks }, { "acceleratorsEach", step.spec->perTask.accelerators },
                { "freeAccelerators", freeAccelerators }, { "usableWorkers", schedulableWorkers },
                { "stepsAhead", ahead }, { "token", token_ } });
    }
    known = std::move(reasons);
}

} // namespace rosemarylink::jobs::internal
