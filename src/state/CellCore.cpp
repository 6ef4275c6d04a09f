#include "CellCore.h"

#include "rosemarylink/state/RecordCodec.h"

namespace rosemarylink::state::internal {

using records::GangEnd;
using records::JobState;

namespace {

    // The policy decides at once after an event, and at least this often for changes that depend on time only.
    constexpr Milliseconds decisionInterval { 1000 };

    // Attempt numbers are the token times this, plus the launches under the token, so they rise over all owners.
    constexpr std::int64_t launchesPerToken = 1000000;

    policy::GangOutcome outcomeOf(GangEnd end)
    {
        switch (end) {
        case GangEnd::Completed:
            return policy::GangOutcome::Completed;
        case GangEnd::Failed:
            return policy::GangOutcome::Failed;
        case GangEnd::Stopped:
            return policy::GangOutcome::Stopped;
        case GangEnd::WorkerLost:
            return policy::GangOutcome::WorkerLost;
        case GangEnd::LaunchRefused:
            return policy::GangOutcome::LaunchRefused;
        }
        return policy::GangOutcome::WorkerLost;
    }

    // Whether the gang may have run and a second launch could execute the job twice.
    bool runsOnceOnly(const Gang& gang)
    {
        return gang.startOrdered && !gang.spec.idempotent && !gang.spec.checkpointable;
    }

} // namespace

CellCore::CellCore(CellSettings settings, CellDependencies dependencies)
    : context_(std::move(settings), std::move(dependencies))
    , ownership_(context_, ownershipHandlers())
    , writer_(context_, writerHandlers())
    , ledger_(context_, [this](const JobId& job) { jobEnded(job); })
    , gangs_(context_, table_, gangHandlers())
    , fleet_(context_, fleetHandlers())
{
}

CellOwnership::Handlers CellCore::ownershipHandlers()
{
    return { [this](ClaimedCell claimed) { applyClaim(std::move(claimed)); },
        [this](const std::string& reason) { scheduleDrop(reason); } };
}

PlacementsWriter::Handlers CellCore::writerHandlers()
{
    return { [this] { return placements(); },
        [this](const records::PlacementsRecord& record) { gangs_.applyWritten(record); },
        [this](const std::string& reason) { scheduleDrop(reason); } };
}

GangLifecycle::Handlers CellCore::gangHandlers()
{
    GangLifecycle::Handlers handlers;
    handlers.changed = [this] { writer_.markDirty(); };
    handlers.started = [this](const JobId& job) {
        Gang* gang = table_.find(job);
        if (gang == nullptr || !gang->knownToPolicy || std::exchange(gang->startReported, true))
            return;
        policy_->gangStarted(job, policyNow());
        decisionDue_ = true;
    };
    handlers.completed = [this](Gang& gang) { ledger_.end(gang.record.job, JobState::Completed); };
    handlers.ended = [this](Gang& gang) { endGang(gang); };
    handlers.taskFailed = [this](const JobId& job, const WorkerId& worker) {
        if (policy_)
            policy_->taskFailed(job, worker, policyNow());
    };
    handlers.gangPlaced = [this](const WorkerId& worker) {
        fleet_.setBusy(worker, true);
        fleet_.renewWithin(worker, context_.timings().workerRenewal);
    };
    handlers.earlyReportNeeded
        = [this](const WorkerId& worker) { fleet_.renewWithin(worker, context_.timings().orderRetryDelay); };
    handlers.fenced = [this](const std::string& reason) { scheduleDrop(reason); };
    return handlers;
}

WorkerFleet::Handlers CellCore::fleetHandlers()
{
    WorkerFleet::Handlers handlers;
    handlers.jobsToRenew = [this](const WorkerId& worker) { return table_.jobsToRenew(worker); };
    handlers.reported = [this](const WorkerReport& report, Milliseconds sent) {
        if (role_ == Role::Recovering)
            recoveryReports_.emplace_back(report, sent);
        else
            gangs_.applyReport(report, sent);
    };
    handlers.renewalEnded
        = [this](const WorkerId& worker, const std::vector<JobId>& jobs) { gangs_.renewed(worker, jobs); };
    handlers.workerAdded = [this](const model::WorkerSpec& spec) {
        if (policy_)
            (void)policy_->addWorker(spec, policyNow());
        decisionDue_ = true;
    };
    handlers.stateChanged = [this](const WorkerId& worker, model::ResourceState state) {
        if (policy_)
            policy_->setWorkerState(worker, state, policyNow());
        decisionDue_ = true;
    };
    handlers.lost = [this](const WorkerId& worker) {
        if (managesGangs())
            gangs_.workerLost(worker);
    };
    handlers.fenced = [this](const std::string& reason) { scheduleDrop(reason); };
    return handlers;
}

bool CellCore::step()
{
    const Milliseconds lastStep = std::exchange(lastStep_, context_.now());
    if (context_.now() - lastStep >= context_.timings().leaseTtl)
        ownership_.requireConfirmation();
    const auto completions = context_.completions->drain();
    for (const auto& completion : completions)
        completion();
    if (!lostReason_) {
        if (leaving_)
            finishLeaving();
        else
            ownership_.step(config_.has_value());
    }
    if (!lostReason_ && role_ != Role::NotOwner && !left_ && ownership_.confirmed()) {
        fleet_.step();
        stepRecovery();
    }
    if (!lostReason_ && managesGangs() && !leaving_ && ownership_.confirmed()) {
        ledger_.step();
        gangs_.step();
        decide();
        writer_.step();
    }
    if (lostReason_)
        dropCell();
    exportMetrics();
    return !completions.empty();
}

Status CellCore::configure(const policy::PolicyConfig& config)
{
    if (config_ && config.version < config_->version)
        return makeError(ErrorCode::Conflict, "the configuration in force has a higher version");
    config_ = config;
    if (role_ != Role::Owner)
        return okStatus();
    highestConfig_ = std::max(highestConfig_, config.version);
    BOOST_OUTCOME_TRYV(policy_->configure(config, policyNow()));
    decisionDue_ = true;
    const auto retry = std::exchange(refusedJobs_, {});
    for (const auto& [job, reason] : retry)
        resubmit(job);
    return okStatus();
}

void CellCore::setCandidates(const std::vector<InstanceId>& candidates, const std::vector<CellId>& cells)
{
    ownership_.setCandidates(candidates, cells);
}

void CellCore::setWorkerState(const WorkerId& worker, model::ResourceState state)
{
    fleet_.overrideState(worker, state);
}

void CellCore::leave() { leaving_ = true; }

void CellCore::finishLeaving()
{
    if (left_ || !ownership_.resign())
        return;
    left_ = true;
    if (role_ != Role::NotOwner)
        scheduleDrop("this instance has left");
}

void CellCore::exportMetrics()
{
    const Milliseconds now = context_.now();
    if (now < nextMetrics_)
        return;
    nextMetrics_ = now + decisionInterval;
    MetricsRegistry& metrics = context_.dependencies.metrics;
    const MetricLabels labels { { "cell", context_.cell().value() } };
    metrics.gauge("rosemarylink_cell_owned", "1 while this instance owns the cell.", labels)
        .set(role_ == Role::Owner ? 1 : 0);
    metrics.gauge("rosemarylink_cell_token", "The fencing token held; 0 without the cell.", labels)
        .set(static_cast<double>(context_.token.value()));
    metrics.gauge("rosemarylink_cell_gangs", "Gangs that are launched, run or are being stopped.", labels)
        .set(static_cast<double>(table_.all().size()));
    metrics.gauge("rosemarylink_cell_workers", "Workers of the cell that are known.", labels)
        .set(static_cast<double>(fleet_.workers().size()));
}

void CellCore::scheduleDrop(const std::string& reason)
{
    if (!lostReason_)
        lostReason_ = reason;
}

void CellCore::dropCell()
{
    context_.log.warning(
        "cell lost", { { "cell", context_.cell() }, { "token", context_.token }, { "reason", *lostReason_ } });
    lostReason_.reset();
    const MetricLabels labels { { "cell", context_.cell().value() } };
    context_.dependencies.metrics
        .counter("rosemarylink_cell_losses_total", "Times that the cell was lost or left.", labels)
        .add();
    ++context_.epoch;
    context_.token = FencingToken(0);
    role_ = Role::NotOwner;
    ownership_.reset();
    writer_.reset(Revision(0));
    ledger_.clear();
    table_.clear();
    fleet_.clear();
    policy_.reset();
    refusedJobs_.clear();
    pendingSubmits_.clear();
    recoveryReports_.clear();
    warnings_.clear();
}

Timestamp CellCore::policyNow()
{
    lastPolicyTime_ = std::max(lastPolicyTime_, context_.dependencies.clock.now());
    return lastPolicyTime_;
}

void CellCore::decide()
{
    const Milliseconds now = context_.now();
    // While the store fails, decisions cannot be made durable and would be outdated when it is reachable again.
    if (role_ != Role::Owner || writer_.failing() || ownership_.storeFailing() || now < nextDecision_)
        return;
    if (!decisionDue_ && now < nextDecision_ + decisionInterval)
        return;
    decisionDue_ = false;
    nextDecision_ = now + context_.timings().batchInterval;
    const policy::Decisions decisions = policy_->decide(policyNow());
    for (const policy::StopDecision& stop : decisions.stops)
        applyStop(stop);
    for (const policy::StartDecision& start : decisions.starts)
        applyStart(start);
}

void CellCore::applyStart(const policy::StartDecision& decision)
{
    const JobId& job = decision.job;
    const LedgerEntry* entry = ledger_.find(job);
    const bool pending = pendingSubmits_.count(job) != 0;
    const bool waiting = entry != nullptr && !entry->ending && entry->record.state == JobState::Accepted;
    if (table_.find(job) != nullptr || !(pending || waiting)) {
        policy_->gangEnded(job, policy::GangOutcome::LaunchRefused, policyNow());
        return;
    }
    model::JobSpec spec;
    if (waiting)
        spec = entry->record.spec;
    else
        spec.id = job;
    const std::int64_t attempt = context_.token.value() * launchesPerToken + ++launches_;
    gangs_.launch(spec, decision.placement, decision.borrowed, attempt, !waiting);
}

void CellCore::applyStop(const policy::StopDecision& decision)
{
    Gang* gang = table_.find(decision.job);
    if (gang == nullptr)
        return;
    const bool lost = decision.reason == policy::StopReason::WorkerLost;
    gangs_.stop(*gang, lost ? GangEnd::WorkerLost : GangEnd::Stopped, decision.checkpointFirst);
}

policy::JobDisposition CellCore::reportGangEnd(Gang& gang, policy::GangOutcome outcome)
{
    if (!gang.knownToPolicy)
        return outcome == policy::GangOutcome::Failed ? policy::JobDisposition::Finished
                                                      : policy::JobDisposition::Requeued;
    // Tasks may have run already. Without the start, the policy would treat the gang as one that never ran.
    if (gang.startOrdered && !std::exchange(gang.startReported, true))
        policy_->gangStarted(gang.record.job, policyNow());
    return policy_->gangEnded(gang.record.job, outcome, policyNow());
}

std::optional<JobState> CellCore::terminalStateOf(Gang& gang, policy::JobDisposition disposition) const
{
    const LedgerEntry* entry = ledger_.find(gang.record.job);
    const bool cancelled = entry != nullptr && entry->record.cancelRequested;
    const GangEnd end = gang.end.value_or(GangEnd::WorkerLost);
    if (cancelled)
        return JobState::Cancelled;
    if (disposition == policy::JobDisposition::MayHaveRun)
        return JobState::MayHaveRun;
    if (end == GangEnd::Failed && (disposition == policy::JobDisposition::Finished || runsOnceOnly(gang)))
        return JobState::Failed;
    if (runsOnceOnly(gang))
        return JobState::MayHaveRun;
    if (disposition == policy::JobDisposition::Finished)
        return end == GangEnd::Stopped ? JobState::Cancelled : JobState::Failed;
    return std::nullopt;
}

void CellCore::endGang(Gang& gang)
{
    const JobId job = gang.record.job;
    decisionDue_ = true;
    const GangEnd end = gang.end.value_or(GangEnd::WorkerLost);
    const policy::JobDisposition disposition = reportGangEnd(gang, outcomeOf(end));
    if (gang.jobEndDurable || ledger_.find(job) == nullptr) {
        eraseGang(job);
        return;
    }
    const std::optional<JobState> state = terminalStateOf(gang, disposition);
    if (!state) {
        const bool known = gang.knownToPolicy;
        eraseGang(job);
        if (!known)
            requeue(job);
        return;
    }
    if (disposition == policy::JobDisposition::Requeued && policy_)
        policy_->cancel(job, policyNow());
    ledger_.end(job, *state);
}

void CellCore::eraseGang(const JobId& job)
{
    for (const WorkerId& worker : table_.erase(job))
        fleet_.setBusy(worker, false);
    writer_.markDirty();
}

void CellCore::requeue(const JobId& job)
{
    const LedgerEntry* entry = ledger_.find(job);
    if (!policy_ || entry == nullptr || entry->ending || entry->record.state != JobState::Accepted)
        return;
    const auto admission = policy_->submit(entry->record.spec, policyNow());
    if (!admission)
        refusedJobs_[job] = admission.error().message;
    decisionDue_ = true;
}

void CellCore::jobEnded(const JobId& job)
{
    refusedJobs_.erase(job);
    Gang* gang = table_.find(job);
    if (gang == nullptr || gang->stage != GangStage::Ending)
        return;
    if (gang->end == GangEnd::Completed && !gang->jobEndDurable)
        gangs_.release(*gang);
    else
        eraseGang(job);
}

records::PlacementsRecord CellCore::placements()
{
    records::PlacementsRecord record;
    record.schemaVersion = 1;
    record.cell = context_.cell();
    record.token = context_.token;
    record.configVersion = highestConfig_;
    for (auto& [job, gang] : table_.all()) {
        if (gang.awaitingJobRecord)
            continue;
        gang.startWriteSent = gang.startWriteSent || gang.record.phase == records::GangPhase::Starting;
        record.gangs.push_back(gang.record);
    }
    return record;
}

} // namespace rosemarylink::state::internal
