#include "DefaultPolicy.h"

#include "rosemarylink/policy/Guarantees.h"

namespace rosemarylink::policy::internal {

namespace {

    // Waiting, quarantined and reserved work is looked at again this often when nothing else happens.
    constexpr Milliseconds reviewInterval { 5000 };

    // Gangs from this size on get reservations; the measures of the design count them as large too.
    constexpr std::int64_t largeGangTasks = 32;

    // Estimates are often short; work is let into a reserved place only if it ends in time when it runs this much
    // longer than expected.
    constexpr double estimateMargin = 1.5;

    // Room is made once a gang's wait, in accelerator-seconds, exceeds this many times what the stops lose.
    constexpr double moveGainFactor = 4;

    // Movable work is let into a reserved place only if it can stay this long; a move costs about a minute.
    constexpr Milliseconds shortestUse { 20 * 60 * 1000 };

    // Work that was stopped this often to make room is left alone, so that it ends.
    constexpr int mostMoves = 3;

    // Work that started this recently is not stopped to make room; it would have been better not to start it.
    constexpr Milliseconds shortestRunBeforeMove { 60000 };

    // Placing all idle guaranteed gangs anew costs as much as a change of the declarations.
    constexpr Milliseconds firmSearchInterval { 10 * 60 * 1000 };

    // What is kept for urgent work of a region or a quota: a thirty-second, and at least two jobs of the usual size.
    constexpr std::int64_t urgentRoomDivisor = 32;
    constexpr std::int64_t leastUrgentRoom = 4;

    // Work that cannot be stopped uses the room for urgent work after this wait, so that it never waits for good.
    constexpr Milliseconds urgentRoomDelay { 10 * 60 * 1000 };

    // A large gang that waits longer than this keeps its account's other work from using up the quota. Shorter waits
    // are not worth the capacity that stays unused.
    constexpr Milliseconds quotaHoldDelay { 30 * 60 * 1000 };

    // A job of any size that has waited this long is treated like a large gang, so that a low worth delays a job but
    // never for good.
    constexpr Milliseconds longestWait { 4 * 60 * 60 * 1000 };

    // Under a preset that drains racks, work expected to run longer is kept off racks with a worker that leaves.
    constexpr Milliseconds longWork { 15 * 60 * 1000 };

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

void DefaultPolicy::availabilityChanged(int worker) { slots_.setOpen(worker, isAvailable(worker)); }

void DefaultPolicy::configured()
{
    rules_ = &presetRules(config_.declarations.preset);
    order_.configure(config_.declarations);
    const std::vector<int> moved = slots_.configure(config_.declarations.guarantees);
    for (const auto& [sequence, job] : jobs_.placed()) {
        if (job->hold != Hold::Guaranteed)
            continue;
        job->slot = moved[static_cast<std::size_t>(job->slot)];
        if (job->slot != none)
            continue;
        // Its shape is gone. It keeps running, as borrowed work if it can be stopped.
        job->hold = job->mayBeStopped() ? Hold::Borrowed : Hold::Firm;
        if (job->hold == Hold::Firm)
            slots_.takeFirm(*job);
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
    if (findPlacement({ fleet_, slots_.unpromised() }, shape, FitRule::BestFit))
        return okStatus();
    // Another arrangement of the guarantees may leave room for it.
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
        + " can be neither stopped nor repeated, so it needs capacity that is not guaranteed to others; there is no "
          "such "
          "place of its size");
}

bool DefaultPolicy::adoptPlace(Job& job, bool borrowed)
{
    if (borrowed)
        return true;
    job.slot = slots_.adopt(job);
    if (job.slot != none)
        job.hold = Hold::Guaranteed;
    else
        slots_.takeFirm(job);
    return true;
}

void DefaultPolicy::placeReleased(Job& job)
{
    if (job.hold == Hold::Guaranteed)
        slots_.leave(job);
    else if (job.hold == Hold::Firm)
        slots_.giveFirm(job);
}

void DefaultPolicy::taskFailedOn(Job& job, int worker, Timestamp now)
{
    if (quarantine_.taskFailed(worker, job.spec.id, now))
        refreshAvailability(worker);
    for (const AvoidedWorker& earlier : job.avoided) {
        // A job that fails on several good workers is likely at fault itself.
        if (earlier.worker != worker && !quarantine_.isQuarantined(earlier.worker)
            && !quarantine_.isQuarantined(worker)) {
            quarantine_.forgive(earlier.worker, job.spec.id);
            quarantine_.forgive(worker, job.spec.id);
        }
    }
}

void DefaultPolicy::gangFinished(Job& job, GangOutcome outcome, Timestamp now)
{
    if (outcome == GangOutcome::Completed) {
        estimates_.observe(job.spec, job.progress + (now - job.started));
        for (const auto& [worker, count] : job.parts) {
            if (quarantine_.taskCompleted(worker, now))
                refreshAvailability(worker);
        }
    }
    if (outcome == GangOutcome::Failed) {
        bool atFault = true;
        for (const int worker : job.failedWorkers) {
            atFault = atFault && !quarantine_.isQuarantined(worker);
            job.avoided.push_back({ worker, now });
        }
        if (!atFault)
            --job.failures;
    }
    if (job.probed != none)
        quarantine_.probeEnded(job.probed);
    job.probed = none;
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

void DefaultPolicy::choose(Decisions& decisions, Timestamp now)
{
    if (!changed_ && now < nextReview_)
        return;
    changed_ = false;
    nextReview_ = now + reviewInterval;
    failedSearches_.clear();
    slots_.replan();
    startClaims(decisions, now);
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
        if (!tryStart(*job, decisions, now) && !job->mayBeStopped())
            makeFirmRoom(*job, decisions, now);
    }
}

// The longest waiting large gangs come first; those that cannot start get reservations, and then room.
void DefaultPolicy::startLargeGangs(const std::vector<Job*>& waiting, Decisions& decisions, Timestamp now)
{
    std::vector<Job*> large;
    for (Job* job : waiting) {
        if (job->phase == Phase::Waiting && job->mayBeStopped()
            && (isLarge(*job) || now - job->submitted >= longestWait))
            large.push_back(job);
    }
    std::sort(large.begin(), large.end(), [](const Job* a, const Job* b) { return a->sequence < b->sequence; });
    largeWaiting_.clear();
    for (Job* job : large) {
        if (findPlacement({ fleet_, usable_ }, job->shape, FitRule::FirstFit))
            largeWaiting_[job->spec.account.value()].push_back(job);
    }
    std::vector<Job*> unplaced;
    for (Job* job : large) {
        if (tryStart(*job, decisions, now)) {
            auto& ofAccount = largeWaiting_[job->spec.account.value()];
            ofAccount.erase(std::remove(ofAccount.begin(), ofAccount.end(), job), ofAccount.end());
        } else if ((withinQuota(*job) || reservations_.find(*job) != nullptr) && job->notBefore <= now)
            unplaced.push_back(job);
    }
    reservations_.update(unplaced, { fleet_, free_, usable_, jobsOn_, estimates_, now });
    const std::vector<Reservation> reserved = reservations_.all();
    for (const Reservation& reservation : reserved)
        makeRoom(reservation, decisions, now);
}

bool DefaultPolicy::paysOff(const ReclaimPlan& plan, const Job& job, Timestamp now) const
{
    const double waited = std::chrono::duration<double>(now - job.submitted).count() * jobSize(job);
    return plan.cost * moveGainFactor <= waited;
}

// Work that cannot be stopped may use only what no guarantee needs; borrowed work there moves for it.
void DefaultPolicy::makeFirmRoom(Job& job, Decisions& decisions, Timestamp now)
{
    if (!rules_->movesWork || job.notBefore > now || !withinQuota(job) || !leavesQuota(job, now)
        || now - job.submitted < shortestRunBeforeMove)
        return;
    ReclaimLimits limits;
    limits.limit = [this](int worker) { return slots_.unpromised().free(worker); };
    limits.mayStop = [now](const Job& other) {
        return !other.spec.urgent && other.moves < mostMoves && now - other.started >= shortestRunBeforeMove;
    };
    limits.closed = avoidedBy(job, now);
    auto plan = planner(now).anywhere(job.shape, limits, usable_);
    if (!plan && now - job.submitted >= longestWait && now >= job.nextFirmSearch) {
        // Idle guaranteed places may be spread so that no place is left for the gang although one could be.
        job.nextFirmSearch = now + firmSearchInterval;
        if (slots_.makeFirmPlace(job.shape))
            plan = planner(now).anywhere(job.shape, limits, usable_);
    }
    if (!plan || !paysOff(*plan, job, now) || !leavesUrgentRoom(job, plan->workers, now))
        return;
    for (Job* stopped : plan->stops)
        ++stopped->moves;
    carryOut(job, std::move(*plan), Hold::Firm, none, StopReason::Defragmented, true, decisions, now);
}

// Stops borrowed work in the reserved place when the gang's wait has cost more than the stops would.
void DefaultPolicy::makeRoom(const Reservation& reservation, Decisions& decisions, Timestamp now)
{
    Job& gang = *reservation.job;
    if (!rules_->movesWork || !withinQuota(gang) || !mayLend(gang))
        return;
    ReclaimLimits limits;
    limits.mayStop = [&gang, now](const Job& job) {
        return !job.spec.urgent && job.moves < mostMoves && now - job.started >= shortestRunBeforeMove
            && job.shape.tasks < gang.shape.tasks;
    };
    auto plan = planner(now).within(reservation.workers, gang.shape, limits);
    if (!plan || !paysOff(*plan, gang, now))
        return;
    for (Job* job : plan->stops)
        ++job->moves;
    carryOut(gang, std::move(*plan), Hold::Borrowed, none, StopReason::Defragmented, true, decisions, now);
}

bool DefaultPolicy::mayLend(const Job& job) const
{
    if (rules_->lendingShare >= 1)
        return true;
    std::int64_t borrowed = job.accelerators();
    std::int64_t total = 0;
    for (const auto& [name, use] : accounts_)
        borrowed += use.borrowed;
    for (const Worker& worker : fleet_.workers())
        total += worker.capacity.accelerators;
    return static_cast<double>(borrowed) <= rules_->lendingShare * static_cast<double>(total);
}

Timestamp DefaultPolicy::expectedEnd(const Job& job, Timestamp now) const
{
    const auto remaining = static_cast<double>(expectedRemaining(estimates_, job, now).count());
    const Milliseconds needed(static_cast<std::int64_t>(remaining * estimateMargin));
    // Work that can be moved cheaply may stay in a reserved place until shortly before the gang starts.
    const bool movable = job.spec.checkpointable && job.moves < mostMoves && job.shape.tasks < largeGangTasks;
    return now + (movable && rules_->movesWork ? std::min(needed, shortestUse) : needed);
}

const Job* DefaultPolicy::quotaHeldFor(const Job& job, Timestamp now) const
{
    const auto waiting = largeWaiting_.find(job.spec.account.value());
    if (waiting == largeWaiting_.end() || waiting->second.empty())
        return nullptr;
    const Job* gang = waiting->second.front();
    if (gang == &job || now - gang->submitted < quotaHoldDelay)
        return nullptr;
    const Reservation* reservation = reservations_.find(*gang);
    return reservation != nullptr && expectedEnd(job, now) <= reservation->start ? nullptr : gang;
}

// Keeps a little of the quota for urgent jobs, and room for the large gang of the account that has waited longest: its
// smaller jobs would otherwise use the quota up for good.
bool DefaultPolicy::leavesQuota(const Job& job, Timestamp now) const
{
    const AccountUse* use = findAccount(job.spec.account);
    if (use == nullptr || !use->declared.quotaAccelerators || job.spec.urgent || job.accelerators() == 0
        || use->inUse == 0)
        return true;
    std::int64_t limit = use->declared.quotaAccelerators->value();
    limit -= std::max(leastUrgentRoom, limit / urgentRoomDivisor);
    if (const Job* gang = quotaHeldFor(job, now))
        limit -= gang->accelerators();
    return use->inUse + job.accelerators() <= limit;
}

// Work that cannot be stopped leaves some capacity of its region that urgent work can take or reclaim.
bool DefaultPolicy::leavesUrgentRoom(const Job& job, const std::vector<int>& workers, Timestamp now) const
{
    if (job.spec.urgent || job.accelerators() == 0 || now - job.submitted >= urgentRoomDelay)
        return true;
    const int region = fleet_.rackOf(workers.front()).region;
    std::int64_t total = 0;
    std::int64_t unpromised = 0;
    for (const auto& rack : capacity_.byAccelerators(region))
        total += rack.first;
    for (const auto& rack : slots_.unpromised().byAccelerators(region))
        unpromised += rack.first;
    return unpromised - job.accelerators() >= std::max(leastUrgentRoom, total / urgentRoomDivisor);
}

const std::vector<char>* DefaultPolicy::closedFor(const Job& job, Timestamp now)
{
    const Timestamp end = expectedEnd(job, now);
    const std::vector<char>* reserved = job.spec.urgent ? nullptr : reservations_.closedUntil(end, job);
    const bool drains = rules_->drainsRacks && end - now > longWork;
    const bool avoids = hasAvoided(job, now);
    if (!avoids && !drains)
        return reserved;
    closed_.assign(fleet_.workers().size(), 0);
    if (reserved != nullptr)
        closed_ = *reserved;
    closeAvoided(job, now);
    if (drains)
        closeDrainingRacks();
    return &closed_;
}

bool DefaultPolicy::tryStart(Job& job, Decisions& decisions, Timestamp now)
{
    if (job.notBefore > now || !withinQuota(job))
        return false;
    // A gang that fills its guarantee runs there, where nothing stops it. Smaller work leaves the guarantee whole while
    // there is room elsewhere.
    const bool fillsSlot = std::any_of(slots_.slotsOf(job.spec.account).begin(), slots_.slotsOf(job.spec.account).end(),
        [&](int slot) { return slots_.slots()[static_cast<std::size_t>(slot)].gang.tasks < 2 * job.shape.tasks; });
    if (fillsSlot && tryFreeSlot(job, decisions, now))
        return true;
    if (tryFree(job, decisions, now) || tryFreeSlot(job, decisions, now))
        return true;
    return (job.spec.urgent && tryUrgent(job, decisions, now)) || tryReclaim(job, decisions, now);
}

// Starts the job where capacity is free: as borrowed work if it can be stopped, else where no guarantee needs it.
bool DefaultPolicy::tryFree(Job& job, Decisions& decisions, Timestamp now)
{
    const bool firm = !job.mayBeStopped();
    if ((!firm && !mayLend(job)) || !leavesQuota(job, now))
        return false;
    const std::vector<char>* closed = closedFor(job, now);
    const unsigned set = closed == nullptr ? 0 : reservations_.blockingSet(expectedEnd(job, now), job);
    const bool ownSearch = closed == &closed_;
    if (!ownSearch) {
        for (const FailedSearch& failed : failedSearches_) {
            if (failed.firm == firm && failed.blockingSet == set && failed.shape == job.shape)
                return false;
        }
    }
    const SearchSpace space { fleet_, free_, firm ? &slots_.unpromised() : nullptr, closed };
    auto place = findPlacement(space, job.shape, FitRule::BestFit);
    if (!place) {
        if (!ownSearch)
            failedSearches_.push_back({ job.shape, set, firm });
        return false;
    }
    if (firm && !leavesUrgentRoom(job, *place, now))
        return false;
    ReclaimPlan plan;
    plan.workers = std::move(*place);
    carryOut(
        job, std::move(plan), firm ? Hold::Firm : Hold::Borrowed, none, StopReason::Reclaimed, true, decisions, now);
    return true;
}

// Stops borrowed work for an urgent job without waiting for checkpoints, which take longer than it may wait.
bool DefaultPolicy::tryUrgent(Job& job, Decisions& decisions, Timestamp now)
{
    const bool firm = !job.mayBeStopped();
    ReclaimLimits limits;
    limits.mayStop = [](const Job& other) { return !other.spec.urgent && other.spec.idempotent; };
    if (firm)
        limits.limit = [this](int worker) { return slots_.unpromised().free(worker); };
    auto plan = planner(now, true).anywhere(job.shape, limits, usable_);
    if (!plan)
        return false;
    carryOut(
        job, std::move(*plan), firm ? Hold::Firm : Hold::Borrowed, none, StopReason::Reclaimed, false, decisions, now);
    return true;
}

void DefaultPolicy::carryOut(Job& job, ReclaimPlan plan, Hold hold, int slot, StopReason reason, bool checkpointFirst,
    Decisions& decisions, Timestamp now)
{
    for (Job* stopped : plan.stops)
        stop(*stopped, reason, checkpointFirst, decisions);
    occupy(job, std::move(plan.workers), hold, Phase::Claiming);
    job.slot = slot;
    if (hold == Hold::Guaranteed)
        slots_.enter(slot, job, job.workers);
    else if (hold == Hold::Firm)
        slots_.takeFirm(job);
    reservations_.forget(job);
    startIfFree(job, decisions, now);
}

bool DefaultPolicy::startIfFree(Job& job, Decisions& decisions, Timestamp now)
{
    for (const auto& [worker, count] : job.parts) {
        if (!free_.free(worker).covers({}))
            return false;
    }
    start(job, decisions, now);
    return true;
}

void DefaultPolicy::startClaims(Decisions& decisions, Timestamp now)
{
    std::vector<Job*> claims;
    for (const auto& [sequence, job] : jobs_.placed()) {
        if (job->phase == Phase::Claiming)
            claims.push_back(job);
    }
    for (Job* job : claims) {
        const bool usable = std::all_of(
            job->parts.begin(), job->parts.end(), [this](const auto& part) { return isAvailable(part.first); });
        if (usable) {
            startIfFree(*job, decisions, now);
            continue;
        }
        release(*job);
        jobs_.setWaiting(*job);
    }
}

} // namespace rosemarylink::policy::internal
