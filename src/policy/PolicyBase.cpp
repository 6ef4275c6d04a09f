#include "PolicyBase.h"

#include "FreeCapacityReport.h"

namespace rosemarylink::policy::internal {

namespace {

    constexpr int unknownRegion = -2;

    // A job that failed this often is probably faulty itself, and more attempts would waste capacity.
    constexpr int maxFailures = 3;

    // A worker that refused a launch is usually reported as leaving or lost soon after; the worker list of the platform
    // lags by seconds.
    constexpr Milliseconds refusedLaunchDelay { 1000 };

} // namespace

Status PolicyBase::addWorker(const model::WorkerSpec& spec, Timestamp now)
{
    const bool known = fleet_.find(spec.id) != none;
    BOOST_OUTCOME_TRY(index, fleet_.add(spec));
    if (known) {
        setWorkerState(spec.id, spec.state, now);
        return okStatus();
    }
    workerAdded(index);
    free_.addWorker(fleet_, index, isAvailable(index));
    totalCapacity_.addWorker(fleet_, index, true);
    availableCapacity_.addWorker(fleet_, index, isAvailable(index));
    jobsOn_.emplace_back();
    changed_ = true;
    return okStatus();
}

void PolicyBase::setWorkerState(const WorkerId& id, model::ResourceState state, Timestamp)
{
    const int index = fleet_.find(id);
    if (index == none || fleet_.worker(index).state == state)
        return;
    fleet_.worker(index).state = state;
    refreshAvailability(index);
}

bool PolicyBase::isAvailable(int worker) const
{
    return fleet_.worker(worker).state == model::ResourceState::Ready && !isQuarantined(worker);
}

void PolicyBase::refreshAvailability(int worker)
{
    free_.setSchedulable(fleet_, worker, isAvailable(worker));
    availableCapacity_.setSchedulable(fleet_, worker, isAvailable(worker));
    availabilityChanged(worker);
    changed_ = true;
}

Status PolicyBase::configure(const PolicyConfig& config, Timestamp)
{
    if (config.version < config_.version) {
        return makeError(ErrorCode::Conflict,
            "configuration version " + std::to_string(config.version.value()) + " is lower than the current version "
                + std::to_string(config_.version.value()));
    }
    config_ = config;
    for (auto& [name, use] : accounts_)
        use.isDeclared = false;
    for (const model::Account& declared : config_.declarations.accounts) {
        AccountUse& use = account(declared.id);
        use.declared = declared;
        use.isDeclared = true;
    }
    configurationChanged();
    changed_ = true;
    return okStatus();
}

const PolicyBase::AccountUse* PolicyBase::findAccount(const AccountId& id) const
{
    const auto found = accounts_.find(id.value());
    return found == accounts_.end() ? nullptr : &found->second;
}

int PolicyBase::regionOf(const model::JobSpec& spec) const
{
    if (!spec.region || spec.region->empty())
        return none;
    const int region = fleet_.findRegion(*spec.region);
    return region == none ? unknownRegion : region;
}

Status PolicyBase::checkSubmission(const model::JobSpec& spec, const GangShape& shape) const
{
    const AccountUse* use = findAccount(spec.account);
    if (use == nullptr || !use->isDeclared)
        return makeError(ErrorCode::NotFound, "account " + spec.account.value() + " is not declared");
    const std::int64_t needed = shape.tasks * shape.perTask.accelerators;
    if (use->declared.quotaAccelerators && needed > use->declared.quotaAccelerators->value()) {
        return invalidArgument("job " + spec.id.value() + " needs " + std::to_string(needed)
            + " accelerators; the quota of account " + spec.account.value() + " is "
            + std::to_string(use->declared.quotaAccelerators->value()));
    }
    if (shape.region == unknownRegion)
        return invalidArgument("job " + spec.id.value() + " asks for unknown region " + spec.region->value());
    const SearchSpace empty { fleet_, totalCapacity_ };
    if (!findPlacement(empty, shape, FitRule::FirstFit)) {
        return invalidArgument("job " + spec.id.value()
            + " does not fit on the empty fleet: " + describeGang(spec.tasks, spec.perTask, spec.adjacency));
    }
    return checkFeasible(spec, shape);
}

Result<Admission> PolicyBase::submit(const model::JobSpec& spec, Timestamp now)
{
    if (const Job* known = jobs_.find(spec.id))
        return Admission { expectedWait(*known, now) };
    if (spec.tasks < 1)
        return invalidArgument("job " + spec.id.value() + " has no tasks");
    const GangShape shape { spec.tasks, toResourceVector(spec.perTask), spec.adjacency, regionOf(spec) };
    prepareSubmission();
    BOOST_OUTCOME_TRYV(checkSubmission(spec, shape));
    Job& job = jobs_.add(spec, shape.region, now);
    changed_ = true;
    return Admission { expectedWait(job, now) };
}

Status PolicyBase::restore(const model::JobSpec& spec, const Placement& placement, bool borrowed, Timestamp started)
{
    if (const Job* known = jobs_.find(spec.id); known != nullptr && known->isPlaced())
        return makeError(ErrorCode::Conflict, "job " + spec.id.value() + " already holds capacity");
    if (static_cast<std::int64_t>(placement.workers.size()) != spec.tasks)
        return invalidArgument("the placement of job " + spec.id.value() + " does not list one worker for each task");
    std::vector<int> workers;
    std::map<int, std::int64_t> tasks;
    for (const WorkerId& id : placement.workers) {
        const int worker = fleet_.find(id);
        if (worker == none)
            return makeError(ErrorCode::NotFound, "worker " + id.value() + " is unknown");
        workers.push_back(worker);
        ++tasks[worker];
    }
    const ResourceVector perTask = toResourceVector(spec.perTask);
    for (const auto& [worker, count] : tasks) {
        if (!free_.free(worker).covers(perTask * count)) {
            return makeError(ErrorCode::ResourceExhausted,
                "worker " + fleet_.worker(worker).id.value() + " lacks the capacity for job " + spec.id.value());
        }
    }
    Job* job = jobs_.find(spec.id);
    if (job == nullptr)
        job = &jobs_.add(spec, std::max(regionOf(spec), none), started);
    allocate(*job, std::move(workers), borrowed ? CapacityClass::Borrowed : CapacityClass::Dedicated, Phase::Running);
    job->reportedStarted = true;
    job->started = started;
    gangRestored(*job, borrowed);
    changed_ = true;
    return okStatus();
}

void PolicyBase::cancel(const JobId& id, Timestamp)
{
    Job* job = jobs_.find(id);
    if (job == nullptr || job->cancelled)
        return;
    changed_ = true;
    if (job->phase == Phase::AwaitingCapacity)
        release(*job);
    if (job->phase == Phase::Waiting || job->phase == Phase::AwaitingCapacity) {
        jobs_.remove(*job);
        return;
    }
    job->cancelled = true;
}

void PolicyBase::gangStarted(const JobId& id, Timestamp now)
{
    Job* job = jobs_.find(id);
    if (job == nullptr || (job->phase != Phase::Starting && job->phase != Phase::Stopping))
        return;
    job->reportedStarted = true;
    if (job->phase == Phase::Starting)
        job->phase = Phase::Running;
    job->started = now;
}

JobDisposition PolicyBase::dispositionAfter(const Job& job, GangOutcome outcome) const
{
    const bool isRestartable = job.isRestartable();
    switch (outcome) {
    case GangOutcome::Completed:
        return JobDisposition::Finished;
    case GangOutcome::Failed:
        return job.cancelled || !job.spec.idempotent || job.failures >= maxFailures ? JobDisposition::Finished
                                                                                    : JobDisposition::Requeued;
    case GangOutcome::LaunchRefused:
        // A gang that was reported as started has run, even if a refusal is reported later.
        if (!job.reportedStarted)
            return job.cancelled ? JobDisposition::Finished : JobDisposition::Requeued;
        break;
    case GangOutcome::Stopped:
    case GangOutcome::WorkerLost:
        break;
    }
    if (job.cancelled)
        return JobDisposition::Finished;
    return isRestartable ? JobDisposition::Requeued : JobDisposition::MayHaveRun;
}

JobDisposition PolicyBase::gangEnded(const JobId& id, GangOutcome outcome, Timestamp now)
{
    Job* job = jobs_.find(id);
    if (job == nullptr || !job->isPlaced() || job->phase == Phase::AwaitingCapacity)
        return JobDisposition::Finished;
    changed_ = true;
    if (outcome == GangOutcome::Failed)
        ++job->failures;
    gangFinished(*job, outcome, now);
    if (outcome == GangOutcome::Stopped && job->checkpointRequested && job->phase == Phase::Stopping)
        job->progress += now - job->started;
    release(*job);
    const JobDisposition disposition = dispositionAfter(*job, outcome);
    if (disposition != JobDisposition::Requeued) {
        jobs_.remove(*job);
        return disposition;
    }
    if (outcome == GangOutcome::LaunchRefused)
        job->notBefore = now + refusedLaunchDelay;
    job->failedWorkers.clear();
    jobs_.enqueue(*job);
    return disposition;
}

void PolicyBase::taskFailed(const JobId& id, const WorkerId& workerId, Timestamp now)
{
    Job* job = jobs_.find(id);
    const int worker = fleet_.find(workerId);
    if (job == nullptr || worker == none || !job->isPlaced())
        return;
    job->failedWorkers.push_back(worker);
    taskFailedOn(*job, worker, now);
}

void PolicyBase::allocate(Job& job, std::vector<int> workers, CapacityClass capacityClass, Phase phase)
{
    job.workers = std::move(workers);
    job.capacityClass = capacityClass;
    std::map<int, int> tasks;
    for (const int worker : job.workers)
        ++tasks[worker];
    job.tasksByWorker.assign(tasks.begin(), tasks.end());
    for (const auto& [worker, count] : job.tasksByWorker) {
        free_.allocate(fleet_, worker, job.shape.perTask * count);
        jobsOn_[static_cast<std::size_t>(worker)].push_back(&job);
    }
    jobs_.setPlaced(job, phase);
    AccountUse& use = account(job.spec.account);
    use.inUse += job.accelerators();
    ++use.running;
    if (capacityClass == CapacityClass::Borrowed)
        use.borrowed += job.accelerators();
}

void PolicyBase::release(Job& job)
{
    capacityReleased(job);
    for (const auto& [worker, count] : job.tasksByWorker) {
        free_.release(fleet_, worker, job.shape.perTask * count);
        auto& jobs = jobsOn_[static_cast<std::size_t>(worker)];
        jobs.erase(std::find(jobs.begin(), jobs.end(), &job));
    }
    AccountUse& use = account(job.spec.account);
    use.inUse -= job.accelerators();
    --use.running;
    if (job.capacityClass == CapacityClass::Borrowed)
        use.borrowed -= job.accelerators();
    job.workers.clear();
    job.tasksByWorker.clear();
    job.capacityClass = CapacityClass::None;
    job.slot = none;
}

bool PolicyBase::withinQuota(const Job& job) const
{
    const AccountUse* use = findAccount(job.spec.account);
    if (use == nullptr || !use->declared.quotaAccelerators)
        return true;
    return use->inUse + job.accelerators() <= use->declared.quotaAccelerators->value();
}

StartDecision PolicyBase::makeStart(const Job& job) const
{
    StartDecision decision;
    decision.job = job.spec.id;
    decision.placement.workers.reserve(job.workers.size());
    for (const int worker : job.workers)
        decision.placement.workers.push_back(fleet_.worker(worker).id);
    decision.borrowed = job.capacityClass == CapacityClass::Borrowed;
    decision.version = config_.version;
    return decision;
}

void PolicyBase::start(Job& job, Decisions& decisions, Timestamp now)
{
    job.phase = Phase::Starting;
    job.reportedStarted = false;
    job.started = now;
    decisions.starts.push_back(makeStart(job));
}

void PolicyBase::stop(Job& job, StopReason reason, bool checkpointFirst, Decisions& decisions)
{
    job.checkpointRequested = checkpointFirst && job.spec.checkpointable && job.phase == Phase::Running;
    job.phase = Phase::Stopping;
    job.stopReason = reason;
    decisions.stops.push_back({ job.spec.id, reason, job.checkpointRequested, config_.version });
}

// A gang on a lost worker is stopped as a whole. A gang on a leaving worker is stopped only if a checkpoint preserves
// its work.
void PolicyBase::stopCancelledAndDisrupted(Decisions& decisions)
{
    for (const auto& [sequence, job] : jobs_.placed()) {
        if (job->phase != Phase::Starting && job->phase != Phase::Running)
            continue;
        if (job->cancelled) {
            stop(*job, StopReason::Cancelled, false, decisions);
            continue;
        }
        bool lost = false;
        bool leaving = false;
        for (const int worker : job->workers) {
            const model::ResourceState state = fleet_.worker(worker).state;
            lost = lost || state == model::ResourceState::Lost;
            leaving = leaving || state == model::ResourceState::Leaving;
        }
        if (lost)
            stop(*job, StopReason::WorkerLost, false, decisions);
        else if (leaving && job->spec.checkpointable && job->phase == Phase::Running)
            stop(*job, StopReason::WorkerLeaving, true, decisions);
    }
}

Decisions PolicyBase::decide(Timestamp now)
{
    Decisions decisions;
    if (changed_)
        stopCancelledAndDisrupted(decisions);
    schedule(decisions, now);
    return decisions;
}

std::string PolicyBase::waitReason(const Job& job, Timestamp now) const
{
    if (!withinQuota(job))
        return "the account has used its quota of accelerators";
    if (job.notBefore > now)
        return "a worker refused the last launch; it is retried shortly";
    const SearchSpace space { fleet_, free_ };
    if (!findPlacement(space, job.shape, FitRule::BestFit))
        return "no free capacity fits it with its adjacency: "
            + describeGang(job.spec.tasks, job.spec.perTask, job.spec.adjacency);
    return "other jobs precede it, or the free capacity is reserved or guaranteed to another account";
}

Explanation PolicyBase::explain(const JobId& id, Timestamp now) const
{
    const Job* job = jobs_.find(id);
    if (job == nullptr)
        return { "unknown", "the job is unknown to this cell", std::nullopt, {} };
    switch (job->phase) {
    case Phase::Waiting:
        break;
    case Phase::AwaitingCapacity:
        return { "waiting", "other work on its capacity is being stopped", std::nullopt, {} };
    case Phase::Starting:
    case Phase::Running:
        return { "running",
            job->capacityClass == CapacityClass::Borrowed ? "runs on borrowed capacity and may be stopped"
                                                          : "runs on capacity that is not borrowed",
            std::nullopt, {} };
    case Phase::Stopping:
        return { "stopping", "the job is being stopped", std::nullopt, {} };
    }
    Explanation explanation { "waiting", waitReason(*job, now), std::nullopt, {} };
    fillExplanation(explanation, *job, now);
    return explanation;
}

PolicySnapshot PolicyBase::snapshot(Timestamp) const
{
    PolicySnapshot result;
    result.version = config_.version;
    result.preset = config_.declarations.preset;
    std::map<std::string, std::int64_t> waiting;
    for (const auto& [sequence, job] : jobs_.waiting())
        ++waiting[job->spec.account.value()];
    for (const auto& [name, use] : accounts_) {
        if (use.isDeclared || use.running > 0) {
            result.accounts.push_back(
                { AccountId(name), waiting[name], use.running, Accelerators(use.inUse), Accelerators(use.borrowed) });
        }
    }
    fillCapacity(result, fleet_, free_);
    fillGuarantees(result);
    for (int worker = 0; worker < static_cast<int>(fleet_.workers().size()); ++worker) {
        if (isQuarantined(worker))
            result.quarantined.push_back(fleet_.worker(worker).id);
    }
    return result;
}

} // namespace rosemarylink::policy::internal
