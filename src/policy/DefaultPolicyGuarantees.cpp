#include "DefaultPolicy.h"
#include "PlaceAmounts.h"

#include <set>

namespace rosemarylink::policy::internal {

namespace {

    // What a stop takes, for the reported reclaim time; checkpoints of large jobs take longest.
    constexpr Milliseconds checkpointStop { 60000 };
    constexpr Milliseconds plainStop { 5000 };

    // Long enough for a worker that fails every task to be found out.
    constexpr Milliseconds avoidTime { 30 * 60 * 1000 };

    // A worker that fails every task fails them soon; a probe that has run this long has passed.
    constexpr Milliseconds probeTime { 5 * 60 * 1000 };

    // A probe should not hold a worker that may be sound for long.
    constexpr std::int64_t mostProbeTasks = 8;

} // namespace

// The parts of the slot that are as close as the job demands. A place that is close enough as a whole is one group.
std::vector<std::vector<int>> DefaultPolicy::groupsInSlot(const GuaranteedSlot& slot, const Job& job) const
{
    const bool byWorker = job.shape.adjacency == model::Adjacency::Worker;
    const bool whole = !byWorker && job.shape.adjacency >= slot.gang.adjacency;
    std::map<int, std::vector<int>> groups;
    for (const auto& [worker, room] : slot.room) {
        if (free_.isOpen(worker) && tasksThatFit(room, job.shape.perTask, 1) > 0)
            groups[whole ? 0 : byWorker ? worker : fleet_.worker(worker).rack].push_back(worker);
    }
    std::vector<std::vector<int>> result;
    result.reserve(groups.size());
    for (auto& [key, workers] : groups)
        result.push_back(std::move(workers));
    return result;
}

// Smaller work does not enter a slot that a waiting gang of the account would fill; it would keep the gang out for
// good.
bool DefaultPolicy::isKeptForLarger(const GuaranteedSlot& slot, const Job& job, Timestamp now) const
{
    const auto waiting = largeWaiting_.find(job.spec.account.value());
    if (waiting == largeWaiting_.end() || job.spec.urgent)
        return false;
    return std::any_of(waiting->second.begin(), waiting->second.end(), [&](const Job* gang) {
        return gang->shape.tasks > job.shape.tasks && !hasAvoided(*gang, now) && slots_.admits(slot, *gang)
            && gang->shape.adjacency >= slot.gang.adjacency;
    });
}

std::optional<ReclaimPlan> DefaultPolicy::planInSlot(
    int index, const Job& job, bool mayReclaim, const std::vector<char>* closed, Timestamp now)
{
    const GuaranteedSlot& slot = slots_.slots()[static_cast<std::size_t>(index)];
    if (!slots_.admits(slot, job) || !slot.hasPlace() || isKeptForLarger(slot, job, now))
        return std::nullopt;
    ReclaimLimits limits;
    limits.limit = [&slot](int worker) { return slot.room.at(worker); };
    // Urgent work does not wait for checkpoints, so it may only stop what can be repeated.
    limits.mayStop = [urgent = job.spec.urgent](const Job& other) { return !urgent || other.spec.idempotent; };
    limits.closed = closed;
    std::optional<ReclaimPlan> best;
    for (const std::vector<int>& workers : groupsInSlot(slot, job)) {
        std::optional<ReclaimPlan> plan;
        if (mayReclaim) {
            plan = planner(now, job.spec.urgent).within(workers, job.shape, limits);
        } else {
            const PlaceAmounts place(workers, job.shape, free_, limits.limit, limits.closed);
            if (place.fit() >= job.shape.tasks)
                plan = ReclaimPlan { place.choose(), {}, 0 };
        }
        if (plan && (!best || plan->cost < best->cost))
            best = std::move(plan);
    }
    return best;
}

// The slots of the job's account: those in use first, then the smallest, so that large ones stay whole.
std::vector<int> DefaultPolicy::candidateSlots(const Job& job) const
{
    std::vector<int> candidates = slots_.slotsOf(job.spec.account);
    const auto& slots = slots_.slots();
    std::stable_sort(candidates.begin(), candidates.end(), [&slots](int a, int b) {
        const GuaranteedSlot& first = slots[static_cast<std::size_t>(a)];
        const GuaranteedSlot& second = slots[static_cast<std::size_t>(b)];
        return (first.users > 0) != (second.users > 0) ? first.users > 0 : first.gang.tasks < second.gang.tasks;
    });
    return candidates;
}

// Starts the job inside a guaranteed slot of its account where the slot's place is free, or else moves an idle slot to
// a free place. Places that are reserved for large gangs come last.
bool DefaultPolicy::tryFreeSlot(Job& job, Decisions& decisions, Timestamp now)
{
    const std::vector<int> candidates = candidateSlots(job);
    for (const bool mayUseReserved : { false, true }) {
        const std::vector<char>* closed = mayUseReserved ? avoidedBy(job, now) : closedFor(job, now);
        if (mayUseReserved && reservations_.all().empty())
            continue;
        for (const int slot : candidates) {
            auto plan = planInSlot(slot, job, false, closed, now);
            const GuaranteedSlot& candidate = slots_.slots()[static_cast<std::size_t>(slot)];
            const bool fills = candidate.gang.tasks < 2 * job.shape.tasks;
            if (!plan && fills && slots_.admits(candidate, job) && slots_.moveToFree(slot, free_))
                plan = planInSlot(slot, job, false, closed, now);
            if (!plan)
                continue;
            carryOut(job, std::move(*plan), Hold::Guaranteed, slot, StopReason::Reclaimed, true, decisions, now);
            return true;
        }
    }
    return false;
}

// Moves an idle slot to where reclaiming all of it costs less than what the job needs of the present place, and plans
// the job there. A few tasks would otherwise stop a large gang that happens to overlap the place.
std::optional<ReclaimPlan> DefaultPolicy::planInMovedSlot(int index, const Job& job, double cost, Timestamp now)
{
    const GuaranteedSlot& slot = slots_.slots()[static_cast<std::size_t>(index)];
    if (slot.users > 0 || cost <= 0)
        return std::nullopt;
    ReclaimLimits limits;
    limits.limit = [this, index](int worker) { return slots_.roomToMove(index, worker); };
    limits.mayStop = [urgent = job.spec.urgent](const Job& other) { return !urgent || other.spec.idempotent; };
    auto whole = planner(now, job.spec.urgent).anywhere(slot.gang, limits, usable_);
    if (!whole || whole->cost >= cost)
        return std::nullopt;
    std::vector<int> old = slot.place;
    slots_.moveTo(index, std::move(whole->workers));
    auto plan = planInSlot(index, job, true, avoidedBy(job, now), now);
    if (!plan)
        slots_.moveTo(index, std::move(old));
    return plan;
}

// Starts the job inside the slot of its account whose capacity is cheapest to reclaim.
bool DefaultPolicy::tryReclaim(Job& job, Decisions& decisions, Timestamp now)
{
    std::optional<ReclaimPlan> best;
    int bestSlot = none;
    const auto planWithout = [&](const std::vector<char>* closed) {
        for (const int slot : candidateSlots(job)) {
            auto plan = planInSlot(slot, job, true, closed, now);
            if (!plan || (best && best->cost <= plan->cost))
                continue;
            best = std::move(plan);
            bestSlot = slot;
        }
    };
    planWithout(avoidedBy(job, now));
    // The guarantee comes before the wish to keep away from workers where the job failed.
    if (!best && hasAvoided(job, now))
        planWithout(nullptr);
    if (!best)
        return false;
    if (auto moved = planInMovedSlot(bestSlot, job, best->cost, now))
        best = std::move(moved);
    carryOut(
        job, std::move(*best), Hold::Guaranteed, bestSlot, StopReason::Reclaimed, !job.spec.urgent, decisions, now);
    return true;
}

// Whether the job still keeps away from a worker where it failed. The worker is cleared by another gang that completed
// there, and by time, since the slots of an account may leave the job no other place.
bool DefaultPolicy::isAvoided(const AvoidedWorker& avoided, Timestamp now) const
{
    return now - avoided.since < avoidTime && quarantine_.lastCompleted(avoided.worker) < avoided.since;
}

bool DefaultPolicy::hasAvoided(const Job& job, Timestamp now) const
{
    return std::any_of(
        job.avoided.begin(), job.avoided.end(), [&](const AvoidedWorker& each) { return isAvoided(each, now); });
}

void DefaultPolicy::closeAvoided(const Job& job, Timestamp now)
{
    for (const AvoidedWorker& each : job.avoided) {
        if (isAvoided(each, now))
            closed_[static_cast<std::size_t>(each.worker)] = 1;
    }
}

const std::vector<char>* DefaultPolicy::avoidedBy(const Job& job, Timestamp now)
{
    if (!hasAvoided(job, now))
        return nullptr;
    closed_.assign(fleet_.workers().size(), 0);
    closeAvoided(job, now);
    return &closed_;
}

void DefaultPolicy::closeDrainingRacks()
{
    for (const Worker& worker : fleet_.workers()) {
        if (worker.state != model::ResourceState::Leaving)
            continue;
        for (const int near : fleet_.rack(worker.rack).workers)
            closed_[static_cast<std::size_t>(near)] = 1;
    }
}

// Gives each quarantined worker whose time has passed one small job that can be repeated.
void DefaultPolicy::startProbes(Decisions& decisions, Timestamp now)
{
    for (const auto& [sequence, job] : jobs_.placed()) {
        if (job->probed == none || job->phase != Phase::Running || now - job->started < probeTime)
            continue;
        if (quarantine_.taskCompleted(job->probed, now))
            refreshAvailability(job->probed);
        job->probed = none;
    }
    for (const int worker : quarantine_.dueForProbe(now)) {
        if (fleet_.worker(worker).state != model::ResourceState::Ready)
            continue;
        Job* probe = nullptr;
        for (const auto& [sequence, job] : jobs_.waiting()) {
            const bool suits = job->spec.idempotent && !job->spec.urgent && job->notBefore <= now && withinQuota(*job)
                && job->shape.tasks <= mostProbeTasks
                && tasksThatFit(free_.free(worker), job->shape.perTask, job->shape.tasks) >= job->shape.tasks
                && (job->shape.region == none || job->shape.region == fleet_.rackOf(worker).region)
                && std::none_of(job->avoided.begin(), job->avoided.end(),
                    [worker = worker](const AvoidedWorker& each) { return each.worker == worker; });
            if (suits && (probe == nullptr || job->accelerators() < probe->accelerators()))
                probe = job;
        }
        if (probe == nullptr)
            continue;
        quarantine_.probeStarted(worker);
        probe->probed = worker;
        ReclaimPlan plan;
        plan.workers.assign(static_cast<std::size_t>(probe->shape.tasks), worker);
        carryOut(*probe, std::move(plan), Hold::Borrowed, none, StopReason::Reclaimed, true, decisions, now);
    }
}

void DefaultPolicy::fillExplanation(Explanation& explanation, const Job& job, Timestamp) const
{
    const Reservation* reservation = reservations_.find(job);
    if (reservation == nullptr)
        return;
    explanation.reason = "a place is reserved for it; it starts when the work there has ended";
    explanation.reservedStart = reservation->expected;
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
            status.gangsInUse += slot.users > 0 ? 1 : 0;
            status.reclaimable = status.reclaimable && (slot.users > 0 || slots_.isSound(slot));
            for (const auto& [worker, room] : slot.room) {
                for (const Job* job : jobsOn_[static_cast<std::size_t>(worker)]) {
                    if (job->hold == Hold::Borrowed)
                        status.reclaimTime
                            = std::max(status.reclaimTime, job->spec.checkpointable ? checkpointStop : plainStop);
                }
            }
        }
        snapshot.guarantees.push_back(std::move(status));
    }
}

// The waiting work that comes first, spread over the whole fleet.
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
