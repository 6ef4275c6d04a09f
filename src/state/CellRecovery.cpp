// The part of CellCore that takes a cell over: from the claim to the first decision.
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
            fleet_.expectWithin(member.worker, Milliseconds(0));
    }
    recoveryEnds_ = context_.now() + context_.timings().recoveryLimit;
}

void CellCore::stepRecovery()
{
    const bool reported = fleet_.listKnown() && fleet_.allReported();
    if (role_ == Role::Recovering && (reported || context_.now() >= recoveryEnds_))
        takeUpGangs();
    if (role_ != Role::Supervising || !mayDecide())
        return;
    role_ = Role::Owner;
    highestConfig_ = config_->version;
    rebuildPolicy();
    decisionDue_ = true;
    context_.log.info("cell recovered",
        { { "cell", context_.cell() }, { "gangs", table_.all().size() }, { "jobs", ledger_.entries().size() } });
}

// The earlier owner may have decided under a later configuration, and no configuration reverts.
bool CellCore::mayDecide() const { return fleet_.listKnown() && config_ && config_->version >= highestConfig_; }

// Gangs are kept whole from here on, with or without a policy.
void CellCore::takeUpGangs()
{
    role_ = Role::Supervising;
    stopBrokenLaunches();
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
    // A gang that is being stopped may share its capacity with one that was launched after it, so it comes last.
    restoreGangs({ GangStage::Running, GangStage::Starting });
    restoreGangs({ GangStage::Checkpointing, GangStage::Releasing });
    queueWaitingJobs();
}

void CellCore::restoreGangs(std::initializer_list<GangStage> stages)
{
    for (auto& [job, gang] : table_.all()) {
        if (std::find(stages.begin(), stages.end(), gang.stage) == stages.end())
            continue;
        if (gang.terminal || gang.aborted)
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

// A launch goes on only when all members still hold their reservation or run already.
void CellCore::stopBrokenLaunches()
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
            cancelKnown(job);
    }
    for (const auto& [job, reason] : unadmitted_)
        warnings_.push_back("job " + job.value() + ": " + reason);
}

void CellCore::admitAgain(const JobId& job)
{
    if (table_.find(job) == nullptr)
        requeue(job);
}

} // namespace rosemarylink::state::internal
