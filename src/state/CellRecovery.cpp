// The part of CellCore that handles a takeover, from the claim to the first decision.
#include "CellCore.h"

namespace rosemarylink::state::internal {

using records::JobState;

void CellCore::applyClaim(ClaimedCell claimed)
{
    context_.log.info("cell claimed", { { "cell", context_.cell() }, { "token", claimed.record.token } });
    const MetricLabels labels { { "cell", context_.cell().value() } };
    context_.dependencies.metrics.counter("rosemarylink_cell_takeovers_total", "Claims of the cell.", labels).add();
    role_ = Role::Recovering;
    context_.token = claimed.record.token;
    launches_ = 0;
    highestConfig_ = claimed.record.configVersion;
    warnings_.clear();
    writer_.reset(claimed.revision);
    fleet_.clear();
    ledger_.reset(claimed.jobs, warnings_);
    for (const records::GangRecord& gang : claimed.record.gangs) {
        const LedgerEntry* entry = ledger_.find(gang.job);
        const bool ended = entry == nullptr || entry->record.state != JobState::Accepted;
        gangs_.adopt(gang, entry == nullptr ? nullptr : &entry->record.spec, ended);
        for (const records::GangMember& member : gang.members)
            fleet_.renewWithin(member.worker, Milliseconds(0));
    }
    recoveryEnds_ = context_.now() + context_.timings().recoveryTimeout;
}

void CellCore::stepRecovery()
{
    const bool reported = fleet_.hasWorkerList() && fleet_.allReported();
    if (role_ == Role::Recovering && (reported || context_.now() >= recoveryEnds_))
        resumeGangs();
    if (role_ != Role::Supervising || !mayDecide())
        return;
    role_ = Role::Owner;
    highestConfig_ = config_->version;
    rebuildPolicy();
    decisionDue_ = true;
    context_.log.info("cell recovered",
        { { "cell", context_.cell() }, { "gangs", table_.all().size() }, { "jobs", ledger_.entries().size() } });
}

// The earlier owner may have decided under a later configuration, and the configuration in force must not revert.
bool CellCore::mayDecide() const { return fleet_.hasWorkerList() && config_ && config_->version >= highestConfig_; }

// Starts to manage the gangs: from here on a gang that loses a member is stopped whole, even before a policy is in
// place.
void CellCore::resumeGangs()
{
    role_ = Role::Supervising;
    stopIncompleteLaunches();
    const auto reports = std::exchange(recoveryReports_, {});
    for (const auto& [report, sent] : reports)
        gangs_.applyReport(report, sent);
    for (const auto& [id, worker] : fleet_.workers()) {
        if (worker.lost)
            gangs_.workerLost(id);
    }
}

void CellCore::rebuildPolicy()
{
    policy_ = context_.dependencies.makePolicy();
    for (const auto& [id, worker] : fleet_.workers()) {
        if (!worker.spec)
            continue;
        (void)policy_->addWorker(*worker.spec, policyNow());
        policy_->setWorkerState(id, worker.state(), policyNow());
    }
    const Status configured = policy_->configure(*config_, policyNow());
    if (!configured)
        warnings_.push_back(configured.error().message);
    // Gangs that are being stopped are restored last: their capacity may already belong to a gang launched after them.
    restoreGangs({ GangStage::Running, GangStage::Starting });
    restoreGangs({ GangStage::Checkpointing, GangStage::Releasing });
    queueWaitingJobs();
}

void CellCore::restoreGangs(std::initializer_list<GangStage> stages)
{
    for (auto& [job, gang] : table_.all()) {
        if (std::find(stages.begin(), stages.end(), gang.stage) == stages.end())
            continue;
        if (gang.jobEndDurable || gang.aborted)
            continue;
        policy::Placement placement;
        for (const Member& member : gang.members)
            placement.workers.insert(placement.workers.end(), static_cast<std::size_t>(member.tasks), member.worker);
        const Status restored = policy_->restore(gang.spec, placement, gang.record.borrowed, gang.record.since);
        gang.knownToPolicy = restored.has_value();
        gang.startReported = gang.knownToPolicy;
        if (gang.knownToPolicy)
            continue;
        warnings_.push_back("gang of job " + job.value() + ": " + restored.error().message);
        gangs_.stop(gang, records::GangEnd::WorkerLost, false);
    }
}

// Stops the launches of which a reported member has neither a reservation nor running tasks.
void CellCore::stopIncompleteLaunches()
{
    std::set<std::pair<WorkerId, std::pair<JobId, std::int64_t>>> held;
    std::set<WorkerId> reported;
    for (const auto& [report, sent] : recoveryReports_) {
        reported.insert(report.worker);
        for (const TaskReport& task : report.tasks)
            held.insert({ report.worker, { task.job, task.attempt } });
    }
    for (auto& [job, gang] : table_.all()) {
        if (gang.stage != GangStage::Starting)
            continue;
        for (const Member& member : gang.members) {
            const bool lacks = held.count({ member.worker, { job, gang.record.attempt } }) == 0;
            if (lacks && reported.count(member.worker) != 0) {
                gangs_.stop(gang, records::GangEnd::WorkerLost, false);
                break;
            }
        }
    }
}

void CellCore::queueWaitingJobs()
{
    std::vector<const LedgerEntry*> waiting;
    for (const auto& [job, entry] : ledger_.entries()) {
        if (entry.record.state == JobState::Accepted)
            waiting.push_back(&entry);
    }
    std::sort(waiting.begin(), waiting.end(),
        [](const LedgerEntry* a, const LedgerEntry* b) { return a->record.submitted < b->record.submitted; });
    for (const LedgerEntry* entry : waiting) {
        const JobId job = entry->record.spec.id;
        if (table_.find(job) == nullptr && !entry->record.cancelRequested)
            requeue(job);
        if (entry->record.cancelRequested)
            applyCancellation(job);
    }
    for (const auto& [job, reason] : refusedJobs_)
        warnings_.push_back("job " + job.value() + ": " + reason);
}

void CellCore::resubmit(const JobId& job)
{
    if (table_.find(job) == nullptr)
        requeue(job);
}

} // namespace rosemarylink::state::internal
