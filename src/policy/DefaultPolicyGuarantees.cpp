#include "DefaultPolicy.h"
#include "GroupCapacity.h"

#include <set>

namespace rosemarylink::policy::internal {

namespace {

    // Stop times used for the reported reclaim time. Checkpoints of large jobs take longest.
    constexpr Milliseconds checkpointStopTime { 60000 };
    constexpr Milliseconds stopTime { 5000 };

    // Long enough for a worker that fails every task to be quarantined.
    constexpr Milliseconds avoidanceTime { 30 * 60 * 1000 };

    // A worker that fails every task fails it early, so a probe that has run this long has passed.
    constexpr Milliseconds minProbeTime { 5 * 60 * 1000 };

    // Limits the size of a probe, since the worker may be healthy and a large job would occupy much of it.
    constexpr std::int64_t maxProbeTasks = 8;

} // namespace

// The groups of workers within the slot that satisfy the adjacency of the job. If the whole slot satisfies it, there is
// one group.
std::vector<std::vector<int>> DefaultPolicy::groupsInSlot(const GuaranteedSlot& slot, const Job& job) const
{
    const bool byWorker = job.shape.adjacency == model::Adjacency::Worker;
    const bool whole = !byWorker && job.shape.adjacency >= slot.gang.adjacency;
    std::map<int, std::vector<int>> groups;
    for (const auto& [worker, remaining] : slot.remaining) {
        if (free_.isSchedulable(worker) && tasksThatFit(remaining, job.shape.perTask, 1) > 0)
            groups[whole ? 0 : byWorker ? worker : fleet_.worker(worker).rack].push_back(worker);
    }
    std::vector<std::vector<int>> result;
    result.reserve(groups.size());
    for (auto& [key, workers] : groups)
        result.push_back(std::move(workers));
    return result;
}

// Smaller work does not use a slot that a waiting large gang of the account could use, because a stream of it would
// keep the gang out indefinitely.
bool DefaultPolicy::isHeldForLargerGang(const GuaranteedSlot& slot, const Job& job, Timestamp now) const
{
    const auto waiting = waitingLargeGangs_.find(job.spec.account.value());
    if (waiting == waitingLargeGangs_.end() || job.spec.urgent)
        return false;
    return std::any_of(waiting->second.begin(), waiting->second.end(), [&](const Job* gang) {
        return gang->shape.tasks > job.shape.tasks && !avoidsWorkers(*gang, now) && slots_.admits(slot, *gang)
            && gang->shape.adjacency >= slot.gang.adjacency;
    });
}

std::optional<ReclaimPlan> DefaultPolicy::planInSlot(
    int index, const Job& job, bool mayReclaim, const std::vector<char>* excluded, Timestamp now)
{
    const GuaranteedSlot& slot = slots_.slots()[static_cast<std::size_t>(index)];
    if (!slots_.admits(slot, job) || !slot.hasPlacement() || isHeldForLargerGang(slot, job, now))
        return std::nullopt;
    ReclaimLimits limits;
    limits.workerLimit = [&slot](int worker) { return slot.remaining.at(worker); };
    // Urgent work does not wait for checkpoints, so it may only stop idempotent work.
    limits.mayStop = [urgent = job.spec.urgent](const Job& other) { return !urgent || other.spec.idempotent; };
    limits.excluded = excluded;
    std::optional<ReclaimPlan> best;
    for (const std::vector<int>& workers : groupsInSlot(slot, job)) {
        std::optional<ReclaimPlan> plan;
        if (mayReclaim) {
            plan = planner(now, job.spec.urgent).planWithin(workers, job.shape, limits);
        } else {
            const GroupCapacity group(workers, job.shape, free_, limits.workerLimit, limits.excluded);
            if (group.fit() >= job.shape.tasks)
                plan = ReclaimPlan { group.chooseWorkers(), {}, 0 };
        }
        if (plan && (!best || plan->cost < best->cost))
            best = std::move(plan);
    }
    return best;
}

// The slots of the account of the job: those in use first, then the smallest, which keeps large slots free.
std::vector<int> DefaultPolicy::candidateSlots(const Job& job) const
{
    std::vector<int> candidates = slots_.slotsOf(job.spec.account);
    const auto& slots = slots_.slots();
    std::stable_sort(candidates.begin(), candidates.end(), [&slots](int a, int b) {
        const GuaranteedSlot& first = slots[static_cast<std::size_t>(a)];
        const GuaranteedSlot& second = slots[static_cast<std::size_t>(b)];
        return (first.jobCount > 0) != (second.jobCount > 0) ? first.jobCount > 0
                                                             : first.gang.tasks < second.gang.tasks;
    });
    return candidates;
}

// Starts the job in a guaranteed slot of its account whose placement is free, or else moves an idle slot to a free
// placement. Workers that are reserved for large gangs are tried last.
bool DefaultPolicy::tryFreeSlot(Job& job, Decisions& decisions, Timestamp now)
{
    const std::vector<int> candidates = candidateSlots(job);
    for (const bool mayUseReserved : { false, true }) {
        const std::vector<char>* excluded = mayUseReserved ? avoidedWorkers(job, now) : excludedWorkers(job, now);
        if (mayUseReserved && reservations_.all().empty())
            continue;
        for (const int slot : candidates) {
            auto plan = planInSlot(slot, job, false, excluded, now);
            const GuaranteedSlot& candidate = slots_.slots()[static_cast<std::size_t>(slot)];
            const bool fillsSlot = candidate.gang.tasks < 2 * job.shape.tasks;
            if (!plan && fillsSlot && slots_.admits(candidate, job) && slots_.moveToFreeCapacity(slot, free_))
                plan = planInSlot(slot, job, false, excluded, now);
            if (!plan)
                continue;
            commitPlan(
                job, std::move(*plan), CapacityClass::Guaranteed, slot, StopReason::Reclaimed, true, decisions, now);
            return true;
        }
    }
    return false;
}

// Moves an idle slot to where reclaiming the whole slot costs less than the job would cost in the current placement,
// and plans the job there. Otherwise a job of a few tasks could stop a large gang that overlaps the slot.
std::optional<ReclaimPlan> DefaultPolicy::planInMovedSlot(int index, const Job& job, double cost, Timestamp now)
{
    const GuaranteedSlot& slot = slots_.slots()[static_cast<std::size_t>(index)];
    if (slot.jobCount > 0 || cost <= 0)
        return std::nullopt;
    ReclaimLimits limits;
    limits.workerLimit = [this, index](int worker) { return slots_.capacityForMove(index, worker); };
    limits.mayStop = [urgent = job.spec.urgent](const Job& other) { return !urgent || other.spec.idempotent; };
    auto slotPlan = planner(now, job.spec.urgent).planAnywhere(slot.gang, limits, availableCapacity_);
    if (!slotPlan || slotPlan->cost >= cost)
        return std::nullopt;
    std::vector<int> old = slot.placement;
    slots_.moveTo(index, std::move(slotPlan->workers));
    auto plan = planInSlot(index, job, true, avoidedWorkers(job, now), now);
    if (!plan)
        slots_.moveTo(index, std::move(old));
    return plan;
}

// Starts the job in the slot of its account that is cheapest to reclaim.
bool DefaultPolicy::tryReclaimSlot(Job& job, Decisions& decisions, Timestamp now)
{
    std::optional<ReclaimPlan> best;
    int bestSlot = none;
    const auto planWithout = [&](const std::vector<char>* excluded) {
        for (const int slot : candidateSlots(job)) {
            auto plan = planInSlot(slot, job, true, excluded, now);
            if (!plan || (best && best->cost <= plan->cost))
                continue;
            best = std::move(plan);
            bestSlot = slot;
        }
    };
    planWithout(avoidedWorkers(job, now));
    // The guarantee takes precedence over avoiding workers on which the job failed.
    if (!best && avoidsWorkers(job, now))
        planWithout(nullptr);
    if (!best)
        return false;
    if (auto moved = planInMovedSlot(bestSlot, job, best->cost, now))
        best = std::move(moved);
    commitPlan(job, std::move(*best), CapacityClass::Guaranteed, bestSlot, StopReason::Reclaimed, !job.spec.urgent,
        decisions, now);
    return true;
}

// Whether the job still avoids a worker on which it failed. It stops avoiding the worker after another gang completed
// there, and after a time, since the slots of the account may leave the job no other worker.
bool DefaultPolicy::isAvoided(const AvoidedWorker& entry, Timestamp now) const
{
    return now - entry.since < avoidanceTime && quarantine_.lastCompleted(entry.worker) < entry.since;
}

bool DefaultPolicy::avoidsWorkers(const Job& job, Timestamp now) const
{
    return std::any_of(job.avoidedWorkers.begin(), job.avoidedWorkers.end(),
        [&](const AvoidedWorker& each) { return isAvoided(each, now); });
}

void DefaultPolicy::excludeAvoidedWorkers(const Job& job, Timestamp now)
{
    for (const AvoidedWorker& each : job.avoidedWorkers) {
        if (isAvoided(each, now))
            excluded_[static_cast<std::size_t>(each.worker)] = 1;
    }
}

const std::vector<char>* DefaultPolicy::avoidedWorkers(const Job& job, Timestamp now)
{
    if (!avoidsWorkers(job, now))
        return nullptr;
    excluded_.assign(fleet_.workers().size(), 0);
    excludeAvoidedWorkers(job, now);
    return &excluded_;
}

void DefaultPolicy::excludeDrainingRacks()
{
    for (const Worker& worker : fleet_.workers()) {
        if (worker.state != model::ResourceState::Leaving)
            continue;
        for (const int near : fleet_.rack(worker.rack).workers)
            excluded_[static_cast<std::size_t>(near)] = 1;
    }
}

// Starts one small idempotent job on each quarantined worker that is due for a probe, and ends probes that have passed.
void DefaultPolicy::startProbes(Decisions& decisions, Timestamp now)
{
    for (const auto& [sequence, job] : jobs_.placed()) {
        if (job->probedWorker == none || job->phase != Phase::Running || now - job->started < minProbeTime)
            continue;
        if (quarantine_.taskCompleted(job->probedWorker, now))
            refreshAvailability(job->probedWorker);
        job->probedWorker = none;
    }
    for (const int worker : quarantine_.dueForProbe(now)) {
        if (fleet_.worker(worker).state != model::ResourceState::Ready)
            continue;
        Job* probe = nullptr;
        for (const auto& [sequence, job] : jobs_.waiting()) {
            const bool isSuitable = job->spec.idempotent && !job->spec.urgent && job->notBefore <= now
                && withinQuota(*job) && job->shape.tasks <= maxProbeTasks
                && tasksThatFit(free_.free(worker), job->shape.perTask, job->shape.tasks) >= job->shape.tasks
                && (job->shape.region == none || job->shape.region == fleet_.rackOf(worker).region)
                && std::none_of(job->avoidedWorkers.begin(), job->avoidedWorkers.end(),
                    [worker = worker](const AvoidedWorker& each) { return each.worker == worker; });
            if (isSuitable && (probe == nullptr || job->accelerators() < probe->accelerators()))
                probe = job;
        }
        if (probe == nullptr)
            continue;
        quarantine_.probeStarted(worker);
        probe->probedWorker = worker;
        ReclaimPlan plan;
        plan.workers.assign(static_cast<std::size_t>(probe->shape.tasks), worker);
        commitPlan(*probe, std::move(plan), CapacityClass::Borrowed, none, StopReason::Reclaimed, true, decisions, now);
    }
}

void DefaultPolicy::fillExplanation(Explanation& explanation, const Job& job, Timestamp) const
{
    const Reservation* reservation = reservations_.find(job);
    if (reservation == nullptr)
        return;
    explanation.reason = "capacity is reserved for it; it starts when the work there has ended";
    explanation.reservedStart = reservation->expectedStart;
    std::set<std::uint64_t> seen;
    for (const int worker : reservation->workers) {
        for (const Job* other : jobsOn_[static_cast<std::size_t>(worker)]) {
            if (seen.insert(other->sequence).second)
                explanation.waitsFor.push_back(other->spec.id);
        }
    }
}

void DefaultPolicy::fillGuarantees(PolicySnapshot& snapshot) const
{
    for (const model::GuaranteedShape& shape : config_.declarations.guarantees) {
        GuaranteeStatus status;
        status.shape = shape;
        for (const int index : slots_.slotsOf(shape.account)) {
            const GuaranteedSlot& slot = slots_.slots()[static_cast<std::size_t>(index)];
            if (slot.declared.name != shape.name || slot.declared.region != shape.region)
                continue;
            status.gangsInUse += slot.jobCount > 0 ? 1 : 0;
            status.reclaimable = status.reclaimable && (slot.jobCount > 0 || slots_.isReclaimable(slot));
            for (const auto& [worker, remaining] : slot.remaining) {
                for (const Job* job : jobsOn_[static_cast<std::size_t>(worker)]) {
                    if (job->capacityClass == CapacityClass::Borrowed)
                        status.reclaimTime
                            = std::max(status.reclaimTime, job->spec.checkpointable ? checkpointStopTime : stopTime);
                }
            }
        }
        snapshot.guarantees.push_back(std::move(status));
    }
}

// Estimates the wait as the earlier waiting work divided by the accelerators of the whole fleet.
Milliseconds DefaultPolicy::expectedWait(const Job& job, Timestamp now) const
{
    if (job.phase != Phase::Waiting || findPlacement({ fleet_, free_ }, job.shape, FitRule::BestFit))
        return Milliseconds(0);
    double ahead = 0;
    double capacity = 0;
    for (const auto& [sequence, other] : jobs_.waiting()) {
        if (other->sequence < job.sequence)
            ahead += jobSize(*other) * static_cast<double>(expectedRemaining(estimates_, *other, now).count());
    }
    for (const Worker& worker : fleet_.workers())
        capacity += static_cast<double>(std::max<std::int64_t>(worker.capacity.accelerators, 1));
    return Milliseconds(static_cast<std::int64_t>(ahead / std::max(capacity, 1.0)));
}

} // namespace rosemarylink::policy::internal
