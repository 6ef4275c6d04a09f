#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>
#include <cmath>

namespace rosemarylink::jobs::internal {

namespace {

    // Combines events that arrive together into one plan.
    constexpr Milliseconds planDelay { 2 };

    // An occurrence starts this long after its due time, so that it is not early by a slightly different clock.
    constexpr Milliseconds dueMargin { 20 };

    // Weight of an accelerator in lost core-seconds, as defined by the platform's users.
    constexpr double coresPerAccelerator = 8.0;

    // A job that completes within this multiple of its objective still has some value.
    constexpr int lateFactor = 3;

    // Part of the reclaim timeout that is reserved for stopping other work and sending commands.
    constexpr Milliseconds reclaimMargin { 700 };

    const Logger logger("plan");

    const char* reasonName(WaitReason reason)
    {
        switch (reason) {
        case WaitReason::NoCapacity:
            return "no-room";
        case WaitReason::CapacityBeingFreed:
            return "room-is-freed";
        case WaitReason::WaitsForRack:
            return "waits-for-rack";
        }
        return "no-room";
    }

    // Time constant with which the peak of urgent demand decays: several times the duration of an urgent job.
    constexpr Milliseconds urgentPeakDecay { 8000 };

    // The same while no urgent work runs or waits. A job that the headroom keeps out must then start within 3 s.
    constexpr Milliseconds idlePeakDecay { 1000 };

    // The headroom is at most this fraction (1/N) of a pool, so that a burst of urgent work does not block other work
    // afterwards.
    constexpr std::int64_t headroomDivisor = 8;

    Milliseconds criticalPath(const JobSpec& job, std::size_t from)
    {
        std::vector<Milliseconds> ends(job.steps.size());
        Milliseconds longest { 0 };
        for (std::size_t number = 0; number < job.steps.size(); ++number) {
            Milliseconds start { 0 };
            for (int dependency : job.steps[number].dependencies)
                start = std::max(start, ends[static_cast<std::size_t>(dependency)]);
            ends[number] = start + (number < from ? Milliseconds(0) : job.steps[number].estimate);
            longest = std::max(longest, ends[number]);
        }
        return longest;
    }

    std::int64_t peakAccelerators(const JobSpec& job)
    {
        std::int64_t most = 0;
        for (const StepSpec& step : job.steps)
            most = std::max(most, step.perTask.accelerators * step.taskCount);
        return most;
    }

} // namespace

void OwnerSession::schedulePlan()
{
    if (planPending_)
        return;
    planPending_ = true;
    runAfter(planDelay, [this] {
        planPending_ = false;
        plan();
    });
}

void OwnerSession::plan()
{
    if (!owner_.ownership_.valid())
        return;
    std::set<ServiceId> pools;
    for (const auto& [id, job] : jobs_)
        pools.insert(job.spec.policy.pool);
    for (const ServiceId& pool : pools) {
        const PlanInput input = planInput(pool);
        if (!input.steps.empty())
            applyPlan(pool, input, makePlan(input));
    }
}

PlanInput OwnerSession::planInput(const ServiceId& pool)
{
    PlanInput input;
    input.now = now();
    input.urgentRackWait = owner_.limits_.reclaimTimeout - owner_.limits_.stopTime - reclaimMargin;
    for (const auto& [id, worker] : workers_) {
        if (worker.entry.pool != pool || !worker.listed)
            continue;
        PlanWorker row;
        row.id = id;
        row.rack = worker.entry.rack;
        row.labels = &worker.entry.labels;
        row.capacity = worker.entry.capacity;
        row.free = worker.entry.capacity;
        row.free -= worker.allocated(/*stoppingOnly=*/false);
        row.releasing = worker.allocated(/*stoppingOnly=*/true);
        for (const auto& [key, run] : worker.runs) {
            const Job* const job = find(key.first.job);
            if (job && job->spec.policy.priority == 0)
                row.urgentAccelerators += run.resources.accelerators;
        }
        row.schedulable = worker.reconciled && recordedWorkers_.count(id) > 0 && worker.clock && !worker.entry.draining
            && !worker.unresponsiveSince;
        row.suspect = worker.avoidUntil > input.now;
        input.workers.push_back(std::move(row));
    }
    std::vector<const Job*> byArrival;
    for (const auto& [id, job] : jobs_) {
        if (!isFinal(job.state) && job.spec.policy.pool == pool)
            byArrival.push_back(&job);
    }
    std::sort(
        byArrival.begin(), byArrival.end(), [](const Job* a, const Job* b) { return a->arrivedAt < b->arrivedAt; });
    std::map<AccountId, std::int64_t> remainingGuarantee;
    if (const Configuration* configuration = owner_.config_.current()) {
        for (const ClientAccount& account : configuration->accounts)
            remainingGuarantee[account.id] = account.guaranteedAccelerators;
    }
    for (const Job* job : byArrival) {
        std::int64_t left = -1;
        if (job->spec.policy.priority == 0) {
            left = remainingGuarantee[job->spec.account] -= peakAccelerators(job->spec);
        }
        if (!job->mayHaveUnknownRuns)
            addSteps(input, *job, left);
        addRunning(input, *job, job->spec.policy.priority == 0 && left >= 0);
    }
    input.urgentHeadroom = urgentHeadroom(pool, input);
    return input;
}

// Returns the accelerators to keep free for urgent work: its recent peak demand less its current demand. Without this
// headroom, other work would fill the capacity that each urgent job releases and be preempted by the next one, which
// loses more work than the idle headroom costs.
std::int64_t OwnerSession::urgentHeadroom(const ServiceId& pool, const PlanInput& input)
{
    std::int64_t demand = 0;
    for (const PlanWorker& worker : input.workers)
        demand += worker.urgentAccelerators;
    for (const PlanStep& step : input.steps) {
        if (step.priority == 0)
            demand += step.spec->perTask.accelerators * static_cast<std::int64_t>(step.tasks.size());
    }
    UrgentPeak& peak = urgentPeaks_[pool];
    const double age = static_cast<double>((input.now - peak.at).count());
    peak.at = input.now;
    const double now = static_cast<double>(demand);
    const Milliseconds decay = demand > 0 ? urgentPeakDecay : idlePeakDecay;
    peak.accelerators
        = std::max(now, now + (peak.accelerators - now) * std::exp(-age / static_cast<double>(decay.count())));
    std::int64_t capacity = 0;
    for (const PlanWorker& worker : input.workers)
        capacity += worker.capacity.accelerators;
    return std::min(static_cast<std::int64_t>(peak.accelerators - now), capacity / headroomDivisor);
}

void OwnerSession::addSteps(PlanInput& input, const Job& job, std::int64_t remainingGuarantee)
{
    const Milliseconds wallOffset = input.now - Milliseconds(toMilliseconds(owner_.clock_.now()));
    for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
        Milliseconds dueAt = job.arrivedAt;
        if (job.spec.firstDue) {
            dueAt = Milliseconds(toMilliseconds(*job.spec.firstDue)) + job.spec.interval * occurrence + wallOffset;
            if (input.now < dueAt + dueMargin)
                return;
        }
        for (std::size_t number = 0; number < job.spec.steps.size(); ++number) {
            const StepProgress& progress = job.occurrences[occurrence][number];
            const StepSpec& spec = job.spec.steps[number];
            if (progress.complete() || !job.dependenciesComplete(occurrence, static_cast<int>(number)))
                continue;
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
            step.job = job.spec.id;
            step.occurrence = occurrence;
            step.step = static_cast<int>(number);
            step.spec = &job.spec.steps[number];
            step.priority = job.spec.policy.priority;
            step.guaranteed = step.priority == 0 && remainingGuarantee >= 0;
            const auto reserved = reservedWorkers_.find({ job.spec.id, occurrence, static_cast<int>(number) });
            if (reserved != reservedWorkers_.end())
                step.reservedWorkers = reserved->second;
            step.arrivedAt = dueAt;
            step.readyAt = dueAt;
            step.remaining = criticalPath(job.spec, number);
            const Milliseconds chain = criticalPath(job.spec, 0);
            const Milliseconds objective
                = Milliseconds(static_cast<std::int64_t>(static_cast<double>(chain.count()) * job.spec.policy.stretch))
                + job.spec.policy.objectiveSlack;
            step.objectiveAt = dueAt + objective;
            step.lateDeadline = dueAt + objective * lateFactor;
            input.steps.push_back(std::move(step));
        }
    }
}

void OwnerSession::addRunning(PlanInput& input, const Job& job, bool guaranteed)
{
    for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
        for (std::size_t number = 0; number < job.spec.steps.size(); ++number) {
            const StepSpec& spec = job.spec.steps[number];
            if (!spec.preemptible)
                continue;
            const StepProgress& progress = job.occurrences[occurrence][number];
            const double cores = static_cast<double>(spec.perTask.milliCores) / 1000.0
                + coresPerAccelerator * static_cast<double>(spec.perTask.accelerators);
            PreemptibleWork gang { job.spec.id, occurrence, static_cast<int>(number), {}, {}, job.spec.policy.priority,
                guaranteed, 0 };
            for (int index = 0; index < spec.taskCount; ++index) {
                const TaskProgress& task = progress.tasks[index];
                if (task.phase != TaskPhase::Running && task.phase != TaskPhase::Starting)
                    continue;
                PreemptibleWork one = gang;
                one.tasks = { index };
                one.resources.clear();
                one.resources[task.worker] += spec.perTask;
                const double elapsed = static_cast<double>((input.now - task.startedAt).count()) / 1000.0;
                one.lostCoreSeconds = spec.checkpointing ? cores * 0.1 : cores * elapsed;
                if (!spec.gang) {
                    input.running.push_back(std::move(one));
                    continue;
                }
                gang.tasks.push_back(index);
                gang.resources[task.worker] += spec.perTask;
                gang.lostCoreSeconds += one.lostCoreSeconds;
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
    for (std::size_t index : plan.preemptions) {
        const PreemptibleWork& victim = input.running[index];
        Job* const job = find(victim.job);
        if (!job)
            continue;
        logger.info("Work is preempted by a more urgent job",
            { { "job", victim.job }, { "step", victim.step }, { "tasks", victim.tasks.size() },
                { "lostCoreSeconds", victim.lostCoreSeconds } });
        for (int task : victim.tasks)
            stopTask(*job, { victim.job, victim.occurrence, victim.step, task });
    }
    startTasks(plan.placements);
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
            { { "job", step.job }, { "step", step.step }, { "reason", reasonName(waiting.reason) },
                { "tasks", waiting.tasks }, { "acceleratorsEach", step.spec->perTask.accelerators },
                { "freeAccelerators", freeAccelerators }, { "usableWorkers", schedulableWorkers },
                { "stepsAhead", ahead }, { "token", token_ } });
    }
    known = std::move(reasons);
}

} // namespace rosemarylink::jobs::internal
