#include "DefaultPolicy.h"

#include "rosemarylink/policy/Guarantees.h"

namespace rosemarylink::policy::internal {

namespace {

    // Without events, decisions that depend on time (waits, quarantine, reservations) are made at this interval.
    constexpr Milliseconds periodicDecisionInterval { 5000 };

    // Gangs of at least this many tasks get reservations. The measures of rosemarylink-bench count gangs of the same
    // size as large.
    constexpr std::int64_t largeGangTasks = 32;

    // Run times are often underestimated. Work may use a reserved group only if it would still end in time after this
    // many times its estimate.
    constexpr double estimateMargin = 1.5;

    // Work is stopped for a gang once the wait of the gang, in accelerator-seconds, reaches this many times the cost of
    // the stops.
    constexpr double preemptionWaitFactor = 4;

    // Checkpointable work may use a reserved group if the group is not due for at least this long. Stopping and
    // resuming it costs about one minute.
    constexpr Milliseconds minMovableUse { 20 * 60 * 1000 };

    // Work that was stopped this often to make room is not stopped again for that reason, so that it completes.
    constexpr int maxDefragmentationStops = 3;

    // Work that has run for less time is not stopped to make room, because its start would have been wasted.
    // Non-restartable work waits at least this long before other work is stopped for it.
    constexpr Milliseconds minRunBeforeDefragmentation { 60000 };

    // Planning all idle guaranteed slots anew costs as much as a change of the declarations.
    constexpr Milliseconds slotReplanInterval { 10 * 60 * 1000 };

    // Accelerators kept for urgent work, of each region and of each quota: one thirty-second, and at least enough for
    // two jobs of the usual size.
    constexpr std::int64_t urgentHeadroomDivisor = 32;
    constexpr std::int64_t minUrgentHeadroom = 4;

    // After this wait, non-restartable work may use the capacity kept for urgent work, so that it does not starve.
    constexpr Milliseconds maxUrgentHeadroomWait { 10 * 60 * 1000 };

    // A large gang that has waited this long keeps other work of its account from using up the quota. Shorter waits do
    // not justify the capacity that stays unused.
    constexpr Milliseconds quotaHoldDelay { 30 * 60 * 1000 };

    // A job of any size that has waited this long is treated like a large gang, so that a low worth cannot starve it.
    constexpr Milliseconds starvationWait { 4 * 60 * 60 * 1000 };

    // Under a preset that drains racks, work expected to run longer is kept off racks with a leaving worker.
    constexpr Milliseconds longRunTime { 15 * 60 * 1000 };

} // namespace

DefaultPolicy::DefaultPolicy()
    : slots_(fleet_)
    , order_(estimates_)
    , rules_(&presetRules(model::Preset::Ordinary))
{
}

void DefaultPolicy::workerAdded(int worker)
{
    quarantine_.workerAdded();
    slots_.workerAdded(worker, isAvailable(worker));
}

void DefaultPolicy::availabilityChanged(int worker) { slots_.setSchedulable(worker, isAvailable(worker)); }

void DefaultPolicy::configurationChanged()
{
    rules_ = &presetRules(config_.declarations.preset);
    order_.configure(config_.declarations);
    const std::vector<int> moved = slots_.configure(config_.declarations.guarantees);
    for (const auto& [sequence, job] : jobs_.placed()) {
        if (job->capacityClass != CapacityClass::Guaranteed)
            continue;
        job->slot = moved[static_cast<std::size_t>(job->slot)];
        if (job->slot != none)
            continue;
        // The shape was removed. The job continues as borrowed work if it is restartable.
        job->capacityClass = job->isRestartable() ? CapacityClass::Borrowed : CapacityClass::Dedicated;
        if (job->capacityClass == CapacityClass::Dedicated)
            slots_.allocateDedicated(*job);
        else
            account(job->spec.account).borrowed += job->accelerators();
    }
}

Status DefaultPolicy::checkFeasible(const model::JobSpec& spec, const GangShape& shape) const
{
    if (spec.idempotent || spec.checkpointable)
        return okStatus();
    Job job;
    job.spec = spec;
    job.shape = shape;
    for (const int slot : slots_.slotsOf(spec.account)) {
        if (slots_.admits(slots_.slots()[static_cast<std::size_t>(slot)], job))
            return okStatus();
    }
    if (findPlacement({ fleet_, slots_.unguaranteed() }, shape, FitRule::BestFit))
        return okStatus();
    // Another arrangement of the guaranteed slots may leave capacity for it.
    std::vector<model::WorkerSpec> workers;
    workers.reserve(fleet_.workers().size());
    for (int worker = 0; worker < static_cast<int>(fleet_.workers().size()); ++worker)
        workers.push_back(fleet_.specOf(worker));
    std::vector<model::GuaranteedShape> shapes = config_.declarations.guarantees;
    const std::size_t problems = checkGuarantees(shapes, workers).problems.size();
    for (int region = 0; region < static_cast<int>(fleet_.regionCount()); ++region) {
        if (shape.region != none && shape.region != region)
            continue;
        shapes.push_back({ "", spec.account, fleet_.regionId(region), 1, spec.tasks, spec.perTask, spec.adjacency });
        const bool fits = checkGuarantees(shapes, workers).problems.size() <= problems;
        shapes.pop_back();
        if (fits)
            return okStatus();
    }
    return invalidArgument("job " + spec.id.value()
        + " can be neither stopped nor repeated, so it needs capacity that is not guaranteed to others; no such "
          "capacity fits its size");
}

bool DefaultPolicy::gangRestored(Job& job, bool borrowed)
{
    if (borrowed)
        return true;
    job.slot = slots_.assignRestored(job);
    if (job.slot != none)
        job.capacityClass = CapacityClass::Guaranteed;
    else
        slots_.allocateDedicated(job);
    return true;
}

void DefaultPolicy::capacityReleased(Job& job)
{
    if (job.capacityClass == CapacityClass::Guaranteed)
        slots_.removeJob(job);
    else if (job.capacityClass == CapacityClass::Dedicated)
        slots_.releaseDedicated(job);
}

void DefaultPolicy::taskFailedOn(Job& job, int worker, Timestamp now)
{
    if (quarantine_.taskFailed(worker, job.spec.id, now))
        refreshAvailability(worker);
    for (const AvoidedWorker& earlier : job.avoidedWorkers) {
        // A job that fails on several healthy workers is probably faulty itself.
        if (earlier.worker != worker && !quarantine_.isQuarantined(earlier.worker)
            && !quarantine_.isQuarantined(worker)) {
            quarantine_.discardFailures(earlier.worker, job.spec.id);
            quarantine_.discardFailures(worker, job.spec.id);
        }
    }
}

void DefaultPolicy::gangFinished(Job& job, GangOutcome outcome, Timestamp now)
{
    if (outcome == GangOutcome::Completed) {
        estimates_.observe(job.spec, job.progress + (now - job.started));
        for (const auto& [worker, count] : job.tasksByWorker) {
            if (quarantine_.taskCompleted(worker, now))
                refreshAvailability(worker);
        }
    }
    if (outcome == GangOutcome::Failed) {
        bool atFault = true;
        for (const int worker : job.failedWorkers) {
            atFault = atFault && !quarantine_.isQuarantined(worker);
            job.avoidedWorkers.push_back({ worker, now });
        }
        if (!atFault)
            --job.failures;
    }
    if (job.probedWorker != none)
        quarantine_.probeEnded(job.probedWorker);
    job.probedWorker = none;
}

bool DefaultPolicy::isLarge(const Job& job) const
{
    return job.shape.tasks >= largeGangTasks && job.shape.perTask.accelerators > 0;
}

void DefaultPolicy::setShares()
{
    std::map<std::string, AccountShare> shares;
    for (const auto& [name, use] : accounts_) {
        if (use.isDeclared)
            shares[name] = { use.declared.weight, use.borrowed };
    }
    order_.setShares(shares);
}

void DefaultPolicy::schedule(Decisions& decisions, Timestamp now)
{
    if (!changed_ && now < nextPeriodicDecision_)
        return;
    changed_ = false;
    nextPeriodicDecision_ = now + periodicDecisionInterval;
    failedSearches_.clear();
    slots_.replan();
    startAwaitingJobs(decisions, now);
    startProbes(decisions, now);
    setShares();
    const std::vector<Job*> waiting = order_.sorted(jobs_.waiting(), now);
    for (Job* job : waiting) {
        if (job->spec.urgent)
            tryStart(*job, decisions, now);
    }
    startLargeGangs(waiting, decisions, now);
    for (Job* job : waiting) {
        if (job->phase != Phase::Waiting || job->spec.urgent || reservations_.find(*job) != nullptr)
            continue;
        if (!tryStart(*job, decisions, now) && !job->isRestartable())
            preemptForDedicated(*job, decisions, now);
    }
}

// Tries large gangs in order of submission. Those that cannot start get reservations, and borrowed work may be stopped
// for them.
void DefaultPolicy::startLargeGangs(const std::vector<Job*>& waiting, Decisions& decisions, Timestamp now)
{
    std::vector<Job*> large;
    for (Job* job : waiting) {
        if (job->phase == Phase::Waiting && job->isRestartable()
            && (isLarge(*job) || now - job->submitted >= starvationWait))
            large.push_back(job);
    }
    std::sort(large.begin(), large.end(), [](const Job* a, const Job* b) { return a->sequence < b->sequence; });
    waitingLargeGangs_.clear();
    for (Job* job : large) {
        if (findPlacement({ fleet_, availableCapacity_ }, job->shape, FitRule::FirstFit))
            waitingLargeGangs_[job->spec.account.value()].push_back(job);
    }
    std::vector<Job*> unplaced;
    for (Job* job : large) {
        if (tryStart(*job, decisions, now)) {
            auto& ofAccount = waitingLargeGangs_[job->spec.account.value()];
            ofAccount.erase(std::remove(ofAccount.begin(), ofAccount.end(), job), ofAccount.end());
        } else if ((withinQuota(*job) || reservations_.find(*job) != nullptr) && job->notBefore <= now)
            unplaced.push_back(job);
    }
    reservations_.update(unplaced, { fleet_, free_, availableCapacity_, jobsOn_, estimates_, now });
    const std::vector<Reservation> reserved = reservations_.all();
    for (const Reservation& reservation : reserved)
        preemptForReservation(reservation, decisions, now);
}

bool DefaultPolicy::waitOutweighsCost(const ReclaimPlan& plan, const Job& job, Timestamp now) const
{
    const double waited = std::chrono::duration<double>(now - job.submitted).count() * jobSize(job);
    return plan.cost * preemptionWaitFactor <= waited;
}

// Starts non-restartable work on unguaranteed capacity by stopping borrowed work there.
void DefaultPolicy::preemptForDedicated(Job& job, Decisions& decisions, Timestamp now)
{
    if (!rules_->defragments || job.notBefore > now || !withinQuota(job) || !leavesQuotaHeadroom(job, now)
        || now - job.submitted < minRunBeforeDefragmentation)
        return;
    ReclaimLimits limits;
    limits.workerLimit = [this](int worker) { return slots_.unguaranteed().free(worker); };
    limits.mayStop = [now](const Job& other) {
        return !other.spec.urgent && other.defragmentationStops < maxDefragmentationStops
            && now - other.started >= minRunBeforeDefragmentation;
    };
    limits.excluded = avoidedWorkers(job, now);
    auto plan = planner(now).planAnywhere(job.shape, limits, availableCapacity_);
    if (!plan && now - job.submitted >= starvationWait && now >= job.nextSlotReplan) {
        // Idle guaranteed slots may be spread so that no placement is left for the gang although one is possible.
        job.nextSlotReplan = now + slotReplanInterval;
        if (slots_.replanForDedicated(job.shape))
            plan = planner(now).planAnywhere(job.shape, limits, availableCapacity_);
    }
    if (!plan || !waitOutweighsCost(*plan, job, now) || !leavesUrgentHeadroom(job, plan->workers, now))
        return;
    for (Job* stopped : plan->stops)
        ++stopped->defragmentationStops;
    commitPlan(job, std::move(*plan), CapacityClass::Dedicated, none, StopReason::Defragmented, true, decisions, now);
}

// Stops borrowed work in the reserved group if the wait of the gang outweighs the cost.
void DefaultPolicy::preemptForReservation(const Reservation& reservation, Decisions& decisions, Timestamp now)
{
    Job& gang = *reservation.job;
    if (!rules_->defragments || !withinQuota(gang) || !withinBorrowingLimit(gang))
        return;
    ReclaimLimits limits;
    limits.mayStop = [&gang, now](const Job& job) {
        return !job.spec.urgent && job.defragmentationStops < maxDefragmentationStops
            && now - job.started >= minRunBeforeDefragmentation && job.shape.tasks < gang.shape.tasks;
    };
    auto plan = planner(now).planWithin(reservation.workers, gang.shape, limits);
    if (!plan || !waitOutweighsCost(*plan, gang, now))
        return;
    for (Job* job : plan->stops)
        ++job->defragmentationStops;
    commitPlan(gang, std::move(*plan), CapacityClass::Borrowed, none, StopReason::Defragmented, true, decisions, now);
}

bool DefaultPolicy::withinBorrowingLimit(const Job& job) const
{
    if (rules_->maxBorrowedShare >= 1)
        return true;
    std::int64_t borrowed = job.accelerators();
    std::int64_t total = 0;
    for (const auto& [name, use] : accounts_)
        borrowed += use.borrowed;
    for (const Worker& worker : fleet_.workers())
        total += worker.capacity.accelerators;
    return static_cast<double>(borrowed) <= rules_->maxBorrowedShare * static_cast<double>(total);
}

Timestamp DefaultPolicy::expectedEnd(const Job& job, Timestamp now) const
{
    const auto remaining = static_cast<double>(expectedRemaining(estimates_, job, now).count());
    const Milliseconds needed(static_cast<std::int64_t>(remaining * estimateMargin));
    // Work that is cheap to stop and resume may stay in a reserved group until shortly before the gang starts.
    const bool movable = job.spec.checkpointable && job.defragmentationStops < maxDefragmentationStops
        && job.shape.tasks < largeGangTasks;
    return now + (movable && rules_->defragments ? std::min(needed, minMovableUse) : needed);
}

const Job* DefaultPolicy::gangHoldingQuota(const Job& job, Timestamp now) const
{
    const auto waiting = waitingLargeGangs_.find(job.spec.account.value());
    if (waiting == waitingLargeGangs_.end() || waiting->second.empty())
        return nullptr;
    const Job* gang = waiting->second.front();
    if (gang == &job || now - gang->submitted < quotaHoldDelay)
        return nullptr;
    const Reservation* reservation = reservations_.find(*gang);
    return reservation != nullptr && expectedEnd(job, now) <= reservation->start ? nullptr : gang;
}

// Whether the job leaves enough of the quota of its account for urgent jobs and for the longest waiting large gang of
// the account, which smaller jobs would otherwise keep out indefinitely.
bool DefaultPolicy::leavesQuotaHeadroom(const Job& job, Timestamp now) const
{
    const AccountUse* use = findAccount(job.spec.account);
    if (use == nullptr || !use->declared.quotaAccelerators || job.spec.urgent || job.accelerators() == 0
        || use->inUse == 0)
        return true;
    std::int64_t limit = use->declared.quotaAccelerators->value();
    limit -= std::max(minUrgentHeadroom, limit / urgentHeadroomDivisor);
    if (const Job* gang = gangHoldingQuota(job, now))
        limit -= gang->accelerators();
    return use->inUse + job.accelerators() <= limit;
}

// Whether a non-restartable job on these workers leaves capacity in the region that urgent work can use or reclaim.
bool DefaultPolicy::leavesUrgentHeadroom(const Job& job, const std::vector<int>& workers, Timestamp now) const
{
    if (job.spec.urgent || job.accelerators() == 0 || now - job.submitted >= maxUrgentHeadroomWait)
        return true;
    const int region = fleet_.rackOf(workers.front()).region;
    std::int64_t total = 0;
    std::int64_t unguaranteed = 0;
    for (const auto& rack : totalCapacity_.byAccelerators(region))
        total += rack.first;
    for (const auto& rack : slots_.unguaranteed().byAccelerators(region))
        unguaranteed += rack.first;
    return unguaranteed - job.accelerators() >= std::max(minUrgentHeadroom, total / urgentHeadroomDivisor);
}

const std::vector<char>* DefaultPolicy::excludedWorkers(const Job& job, Timestamp now)
{
    const Timestamp end = expectedEnd(job, now);
    const std::vector<char>* reserved = job.spec.urgent ? nullptr : reservations_.excludedWorkers(end, job);
    const bool drains = rules_->drainsRacks && end - now > longRunTime;
    const bool avoids = avoidsWorkers(job, now);
    if (!avoids && !drains)
        return reserved;
    excluded_.assign(fleet_.workers().size(), 0);
    if (reserved != nullptr)
        excluded_ = *reserved;
    excludeAvoidedWorkers(job, now);
    if (drains)
        excludeDrainingRacks();
    return &excluded_;
}

bool DefaultPolicy::tryStart(Job& job, Decisions& decisions, Timestamp now)
{
    if (job.notBefore > now || !withinQuota(job))
        return false;
    // A gang that uses more than half of a slot tries the slot first, because nothing stops it there. Smaller work
    // tries other capacity first and keeps the slot free.
    const bool fillsSlot = std::any_of(slots_.slotsOf(job.spec.account).begin(), slots_.slotsOf(job.spec.account).end(),
        [&](int slot) { return slots_.slots()[static_cast<std::size_t>(slot)].gang.tasks < 2 * job.shape.tasks; });
    if (fillsSlot && tryFreeSlot(job, decisions, now))
        return true;
    if (tryFreeCapacity(job, decisions, now) || tryFreeSlot(job, decisions, now))
        return true;
    return (job.spec.urgent && tryPreemptForUrgent(job, decisions, now)) || tryReclaimSlot(job, decisions, now);
}

// Starts the job on free capacity: borrowed if the job is restartable, else dedicated.
bool DefaultPolicy::tryFreeCapacity(Job& job, Decisions& decisions, Timestamp now)
{
    const bool dedicated = !job.isRestartable();
    if ((!dedicated && !withinBorrowingLimit(job)) || !leavesQuotaHeadroom(job, now))
        return false;
    const std::vector<char>* excluded = excludedWorkers(job, now);
    const unsigned blocking = excluded == nullptr ? 0 : reservations_.blockingReservations(expectedEnd(job, now), job);
    const bool hasOwnExclusions = excluded == &excluded_;
    if (!hasOwnExclusions) {
        for (const FailedSearch& failed : failedSearches_) {
            if (failed.dedicated == dedicated && failed.blockingReservations == blocking && failed.shape == job.shape)
                return false;
        }
    }
    const SearchSpace space { fleet_, free_, dedicated ? &slots_.unguaranteed() : nullptr, excluded };
    auto placement = findPlacement(space, job.shape, FitRule::BestFit);
    if (!placement) {
        if (!hasOwnExclusions)
            failedSearches_.push_back({ job.shape, blocking, dedicated });
        return false;
    }
    if (dedicated && !leavesUrgentHeadroom(job, *placement, now))
        return false;
    ReclaimPlan plan;
    plan.workers = std::move(*placement);
    commitPlan(job, std::move(plan), dedicated ? CapacityClass::Dedicated : CapacityClass::Borrowed, none,
        StopReason::Reclaimed, true, decisions, now);
    return true;
}

// Stops borrowed work for an urgent job without checkpoints, because writing them takes longer than an urgent job may
// wait.
bool DefaultPolicy::tryPreemptForUrgent(Job& job, Decisions& decisions, Timestamp now)
{
    const bool dedicated = !job.isRestartable();
    ReclaimLimits limits;
    limits.mayStop = [](const Job& other) { return !other.spec.urgent && other.spec.idempotent; };
    if (dedicated)
        limits.workerLimit = [this](int worker) { return slots_.unguaranteed().free(worker); };
    auto plan = planner(now, true).planAnywhere(job.shape, limits, availableCapacity_);
    if (!plan)
        return false;
    commitPlan(job, std::move(*plan), dedicated ? CapacityClass::Dedicated : CapacityClass::Borrowed, none,
        StopReason::Reclaimed, false, decisions, now);
    return true;
}

void DefaultPolicy::commitPlan(Job& job, ReclaimPlan plan, CapacityClass capacityClass, int slot, StopReason reason,
    bool checkpointFirst, Decisions& decisions, Timestamp now)
{
    for (Job* stopped : plan.stops) {
        if (!withdrawStart(*stopped, decisions))
            stop(*stopped, reason, checkpointFirst, decisions);
    }
    allocate(job, std::move(plan.workers), capacityClass, Phase::AwaitingCapacity);
    job.slot = slot;
    if (capacityClass == CapacityClass::Guaranteed)
        slots_.addJob(slot, job, job.workers);
    else if (capacityClass == CapacityClass::Dedicated)
        slots_.allocateDedicated(job);
    reservations_.remove(job);
    startIfFree(job, decisions, now);
}

// Callers apply stops before starts, so a stop of a gang that the same decisions start would have no effect.
bool DefaultPolicy::withdrawStart(Job& job, Decisions& decisions)
{
    const auto found = std::find_if(decisions.starts.begin(), decisions.starts.end(),
        [&job](const StartDecision& start) { return start.job == job.spec.id; });
    if (found == decisions.starts.end())
        return false;
    decisions.starts.erase(found);
    if (job.probedWorker != none)
        quarantine_.probeEnded(job.probedWorker);
    job.probedWorker = none;
    release(job);
    jobs_.enqueue(job);
    failedSearches_.clear();
    changed_ = true;
    return true;
}

bool DefaultPolicy::startIfFree(Job& job, Decisions& decisions, Timestamp now)
{
    for (const auto& [worker, count] : job.tasksByWorker) {
        if (!free_.free(worker).covers({}))
            return false;
    }
    start(job, decisions, now);
    return true;
}

void DefaultPolicy::startAwaitingJobs(Decisions& decisions, Timestamp now)
{
    std::vector<Job*> awaiting;
    for (const auto& [sequence, job] : jobs_.placed()) {
        if (job->phase == Phase::AwaitingCapacity)
            awaiting.push_back(job);
    }
    for (Job* job : awaiting) {
        const bool usable = std::all_of(job->tasksByWorker.begin(), job->tasksByWorker.end(),
            [this](const auto& part) { return isAvailable(part.first); });
        if (usable) {
            startIfFree(*job, decisions, now);
            continue;
        }
        release(*job);
        jobs_.enqueue(*job);
    }
}

} // namespace rosemarylink::policy::internal
