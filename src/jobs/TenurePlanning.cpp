#include "Tenure.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>
#include <cmath>

namespace rosemarylink::jobs::internal {

namespace {

    // Gathers what arrives together into one plan.
    constexpr Milliseconds planDelay { 2 };

    // An occurrence starts this long after its time, so that it is not early on a clock that differs by a little.
    constexpr Milliseconds dueMargin { 20 };

    // An accelerator counts as this many cores in lost work, as the users count it.
    constexpr double coresOfAccelerator = 8.0;

    // Ending up to this many times the objective still counts for something.
    constexpr int lateFactor = 3;

    // Kept of the time to reclaim a guarantee for stopping other work and for the orders.
    constexpr Milliseconds reclaimMargin { 700 };

    const Logger logger("plan");

    const char* reasonName(WaitReason reason)
    {
        switch (reason) {
        case WaitReason::NoRoom:
            return "no-room";
        case WaitReason::RoomIsFreed:
            return "room-is-freed";
        case WaitReason::WaitsForRack:
            return "waits-for-rack";
        }
        return "no-room";
    }

    // The peak of urgent demand is forgotten at this rate: some times the duration of an urgent job.
    constexpr Milliseconds urgentPeakDecay { 8000 };

    // The same while no urgent work runs or waits: a job that the reserve keeps out must start within 3 s then.
    constexpr Milliseconds idlePeakDecay { 1000 };

    // At most this part of a pool is kept free, so that a burst of urgent work does not keep out the rest afterwards.
    constexpr std::int64_t mostReserved = 8;

    Milliseconds longestChain(const JobSpec& job, std::size_t from)
    {
        std::vector<Milliseconds> ends(job.steps.size());
        Milliseconds longest { 0 };
        for (std::size_t number = 0; number < job.steps.size(); ++number) {
            Milliseconds start { 0 };
            for (int earlier : job.steps[number].after)
                start = std::max(start, ends[static_cast<std::size_t>(earlier)]);
            ends[number] = start + (number < from ? Milliseconds(0) : job.steps[number].estimate);
            longest = std::max(longest, ends[number]);
        }
        return longest;
    }

    std::int64_t acceleratorsNeeded(const JobSpec& job)
    {
        std::int64_t most = 0;
        for (const StepSpec& step : job.steps)
            most = std::max(most, step.each.accelerators * step.taskCount);
        return most;
    }

} // namespace

void Tenure::planSoon()
{
    if (planPending_)
        return;
    planPending_ = true;
    later(planDelay, [this] {
        planPending_ = false;
        plan();
    });
}

void Tenure::plan()
{
    if (!owner_.ownership_.valid())
        return;
    std::set<ServiceId> pools;
    for (const auto& [id, job] : jobs_)
        pools.insert(job.spec.terms.pool);
    for (const ServiceId& pool : pools) {
        const PlanInput input = planInput(pool);
        if (!input.steps.empty())
            applyPlan(pool, input, makePlan(input));
    }
}

PlanInput Tenure::planInput(const ServiceId& pool)
{
    PlanInput input;
    input.now = now();
    input.urgentLocalWait = owner_.limits_.reclaimWithin - owner_.limits_.stopTime - reclaimMargin;
    for (const auto& [id, worker] : workers_) {
        if (worker.entry.pool != pool || !worker.listed)
            continue;
        PlanWorker row;
        row.id = id;
        row.rack = worker.entry.rack;
        row.labels = &worker.entry.labels;
        row.capacity = worker.entry.capacity;
        row.free = worker.entry.capacity;
        row.free -= worker.taken(/*stoppingOnly=*/false);
        row.leaving = worker.taken(/*stoppingOnly=*/true);
        for (const auto& [key, run] : worker.runs) {
            const Job* const job = find(key.first.job);
            if (job && job->spec.terms.priority == 0)
                row.urgentAccelerators += run.room.accelerators;
        }
        row.usable = worker.known && recordedFleet_.count(id) > 0 && worker.clock && !worker.entry.draining
            && !worker.unansweredSince;
        row.suspect = worker.avoidUntil > input.now;
        input.workers.push_back(std::move(row));
    }
    std::vector<const Job*> byArrival;
    for (const auto& [id, job] : jobs_) {
        if (!isFinal(job.state) && job.spec.terms.pool == pool)
            byArrival.push_back(&job);
    }
    std::sort(
        byArrival.begin(), byArrival.end(), [](const Job* a, const Job* b) { return a->arrivedAt < b->arrivedAt; });
    std::map<AccountId, std::int64_t> guaranteeLeft;
    if (const Configuration* configuration = owner_.config_.current()) {
        for (const ClientAccount& account : configuration->accounts)
            guaranteeLeft[account.id] = account.guaranteedAccelerators;
    }
    for (const Job* job : byArrival) {
        std::int64_t left = -1;
        if (job->spec.terms.priority == 0) {
            left = guaranteeLeft[job->spec.account] -= acceleratorsNeeded(job->spec);
        }
        if (!job->mayRunElsewhere)
            addSteps(input, *job, left);
        addRunning(input, *job, job->spec.terms.priority == 0 && left >= 0);
    }
    input.urgentReserve = urgentReserve(pool, input);
    return input;
}

// What urgent work took at its recent peak and does not take now. Without it less urgent work fills what each urgent
// job leaves, and the next one stops it again: that throws away more work than the reserve keeps idle.
std::int64_t Tenure::urgentReserve(const ServiceId& pool, const PlanInput& input)
{
    std::int64_t wanted = 0;
    for (const PlanWorker& worker : input.workers)
        wanted += worker.urgentAccelerators;
    for (const PlanStep& step : input.steps) {
        if (step.priority == 0)
            wanted += step.spec->each.accelerators * static_cast<std::int64_t>(step.tasks.size());
    }
    UrgentPeak& peak = urgentPeaks_[pool];
    const double age = static_cast<double>((input.now - peak.at).count());
    peak.at = input.now;
    const double now = static_cast<double>(wanted);
    const Milliseconds decay = wanted > 0 ? urgentPeakDecay : idlePeakDecay;
    peak.accelerators
        = std::max(now, now + (peak.accelerators - now) * std::exp(-age / static_cast<double>(decay.count())));
    std::int64_t capacity = 0;
    for (const PlanWorker& worker : input.workers)
        capacity += worker.capacity.accelerators;
    return std::min(static_cast<std::int64_t>(peak.accelerators - now), capacity / mostReserved);
}

void Tenure::addSteps(PlanInput& input, const Job& job, std::int64_t guaranteeLeft)
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
            if (progress.complete() || !job.unlocked(occurrence, static_cast<int>(number)))
                continue;
            if (spec.gang && progress.anyActive())
                continue;
            PlanStep step;
            for (int index = 0; index < spec.taskCount; ++index) {
                const TaskProgress& task = progress.tasks[index];
                if (task.phase == TaskPhase::Waiting && input.now >= task.notBefore)
                    step.tasks.push_back(index);
                else if (task.phase != TaskPhase::Waiting && task.phase != TaskPhase::Done)
                    ++step.present[task.worker];
            }
            if (step.tasks.empty())
                continue;
            step.job = job.spec.id;
            step.occurrence = occurrence;
            step.step = static_cast<int>(number);
            step.spec = &job.spec.steps[number];
            step.priority = job.spec.terms.priority;
            step.guaranteed = step.priority == 0 && guaranteeLeft >= 0;
            const auto held = heldWorkers_.find({ job.spec.id, occurrence, static_cast<int>(number) });
            if (held != heldWorkers_.end())
                step.heldWorkers = held->second;
            step.arrivedAt = dueAt;
            step.readyAt = dueAt;
            step.remaining = longestChain(job.spec, number);
            const Milliseconds chain = longestChain(job.spec, 0);
            const Milliseconds objective
                = Milliseconds(static_cast<std::int64_t>(static_cast<double>(chain.count()) * job.spec.terms.stretch))
                + job.spec.terms.objectiveSlack;
            step.objectiveAt = dueAt + objective;
            step.lateUntil = dueAt + objective * lateFactor;
            input.steps.push_back(std::move(step));
        }
    }
}

void Tenure::addRunning(PlanInput& input, const Job& job, bool guaranteed)
{
    for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
        for (std::size_t number = 0; number < job.spec.steps.size(); ++number) {
            const StepSpec& spec = job.spec.steps[number];
            if (!spec.preemptible)
                continue;
            const StepProgress& progress = job.occurrences[occurrence][number];
            const double cores = static_cast<double>(spec.each.milliCores) / 1000.0
                + coresOfAccelerator * static_cast<double>(spec.each.accelerators);
            PlanRunning gang { job.spec.id, occurrence, static_cast<int>(number), {}, {}, job.spec.terms.priority,
                guaranteed, 0 };
            for (int index = 0; index < spec.taskCount; ++index) {
                const TaskProgress& task = progress.tasks[index];
                if (task.phase != TaskPhase::Running && task.phase != TaskPhase::Starting)
                    continue;
                PlanRunning one = gang;
                one.tasks = { index };
                one.room.clear();
                one.room[task.worker] += spec.each;
                const double elapsed = static_cast<double>((input.now - task.startedAt).count()) / 1000.0;
                one.lostCoreSeconds = spec.checkpointing ? cores * 0.1 : cores * elapsed;
                if (!spec.gang) {
                    input.running.push_back(std::move(one));
                    continue;
                }
                gang.tasks.push_back(index);
                gang.room[task.worker] += spec.each;
                gang.lostCoreSeconds += one.lostCoreSeconds;
            }
            if (!gang.tasks.empty())
                input.running.push_back(std::move(gang));
        }
    }
}

void Tenure::applyPlan(const ServiceId& pool, const PlanInput& input, const Plan& plan)
{
    logWaiting(pool, input, plan);
    for (const PlanStep& step : input.steps)
        heldWorkers_.erase({ step.job, step.occurrence, step.step });
    for (const HeldRoom& room : plan.held)
        heldWorkers_[{ room.job, room.occurrence, room.step }] = room.workers;
    for (std::size_t index : plan.stops) {
        const PlanRunning& victim = input.running[index];
        Job* const job = find(victim.job);
        if (!job)
            continue;
        logger.info("Work yields to a more urgent job",
            { { "job", victim.job }, { "step", victim.step }, { "tasks", victim.tasks.size() },
                { "lostCoreSeconds", victim.lostCoreSeconds } });
        for (int task : victim.tasks)
            stopTask(*job, { victim.job, victim.occurrence, victim.step, task });
    }
    startTasks(plan.placements);
}

// A line when a step begins to wait, and when the reason changes.
void Tenure::logWaiting(const ServiceId& pool, const PlanInput& input, const Plan& plan)
{
    std::int64_t freeAccelerators = 0;
    std::size_t usableWorkers = 0;
    for (const PlanWorker& worker : input.workers) {
        if (!worker.usable)
            continue;
        ++usableWorkers;
        freeAccelerators += worker.free.accelerators;
    }
    WaitReasons& known = waitReasons_[pool];
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
                { "tasks", waiting.tasks }, { "acceleratorsEach", step.spec->each.accelerators },
                { "freeAccelerators", freeAccelerators }, { "usableWorkers", usableWorkers }, { "stepsAhead", ahead },
                { "token", token_ } });
    }
    known = std::move(reasons);
}

} // namespace rosemarylink::jobs::internal
