#include "FakeBackend.h"

namespace rosemarylink::control {

namespace {

    using Lock = std::lock_guard<std::recursive_mutex>;

} // namespace

Result<api::ConfigView> FakeBackend::currentConfig()
{
    const Lock lock(mutex_);
    if (configFailure)
        return *configFailure;
    return config_;
}

Result<api::ConfigView> FakeBackend::storedConfig()
{
    const Lock lock(mutex_);
    if (storeFailure)
        return *storeFailure;
    return config_;
}

Status FakeBackend::checkFeasibility(const model::Declarations&)
{
    return feasibilityFailure ? Status(*feasibilityFailure) : okStatus();
}

void FakeBackend::resetConfig()
{
    const Lock lock(mutex_);
    config_ = {};
    audit_.clear();
}

void FakeBackend::storeAs(const std::string& operatorName, const model::Declarations& declarations)
{
    const Lock lock(mutex_);
    const ConfigVersion version = config_.version + ConfigVersion(1);
    audit_.insert(audit_.begin(),
        { config_.version, version, OperatorId(operatorName), clock.now(), OperationId("other"), { "a change" } });
    config_ = { version, declarations, OperatorId(operatorName), clock.now(), OperationId("other"), std::nullopt };
}

Result<api::ConfigView> FakeBackend::proposeConfig(const ConfigProposal& proposal)
{
    const Lock lock(mutex_);
    ++proposals;
    if (storeFailure)
        return *storeFailure;
    if (concurrentChangesBeforePropose > 0) {
        --concurrentChangesBeforePropose;
        storeAs("omar", config_.declarations);
    }
    if (config_.version != proposal.expectedVersion)
        return makeError(ErrorCode::Conflict,
            "version " + std::to_string(config_.version.value()) + " was accepted from " + config_.acceptedBy.value());
    const ConfigVersion version = config_.version + ConfigVersion(1);
    audit_.insert(audit_.begin(),
        { config_.version, version, proposal.proposedBy, clock.now(), proposal.operation, proposal.changes });
    config_ = { version, proposal.declarations, proposal.proposedBy, clock.now(), proposal.operation, std::nullopt };
    return config_;
}

Result<api::InForceView> FakeBackend::inForce(ConfigVersion version)
{
    const Lock lock(mutex_);
    if (version > config_.version)
        return makeError(ErrorCode::NotFound, "version " + std::to_string(version.value()) + " is not stored");
    if (pollsUntilInForce > 0) {
        --pollsUntilInForce;
        return api::InForceView { version, true, false, behind };
    }
    return api::InForceView { version, true, true, {} };
}

Result<api::AuditList> FakeBackend::audit(const AuditQuery& query)
{
    const Lock lock(mutex_);
    lastAuditQuery = query;
    api::AuditList list;
    for (const api::AuditEntry& entry : audit_) {
        if (!query.acceptedBy || entry.acceptedBy == *query.acceptedBy)
            list.entries.push_back(entry);
    }
    return list;
}

Result<api::JobView> FakeBackend::submitJob(const JobSubmitRequest& request)
{
    const Lock lock(mutex_);
    if (storeFailure)
        return *storeFailure;
    api::JobView view;
    view.job = request.job;
    view.job.id = JobId(request.job.account.value() + "-" + request.key.value());
    view.state = api::JobState::Waiting;
    view.submittedAt = clock.now();
    const auto [position, isNew] = jobs_.emplace(view.job.id, view);
    submissions += isNew ? 1 : 0;
    return position->second;
}

Result<api::JobView*> FakeBackend::find(const JobId& id)
{
    const auto position = jobs_.find(id);
    if (position == jobs_.end())
        return makeError(ErrorCode::NotFound, "unknown");
    return &position->second;
}

Result<api::JobView> FakeBackend::job(const JobId& id)
{
    const Lock lock(mutex_);
    BOOST_OUTCOME_TRY(found, find(id));
    return *found;
}

Result<api::JobList> FakeBackend::jobs(const JobQuery& query)
{
    const Lock lock(mutex_);
    api::JobList list;
    for (const auto& [id, view] : jobs_) {
        if ((!query.account || view.job.account == *query.account) && (!query.state || view.state == *query.state))
            list.jobs.push_back(view);
    }
    return list;
}

// Reports that each job waits for all others.
Result<api::JobExplanation> FakeBackend::explainJob(const JobId& id)
{
    const Lock lock(mutex_);
    BOOST_OUTCOME_TRY(found, find(id));
    api::JobExplanation explanation { id, found->state, "the rack is full", std::nullopt, {} };
    for (const auto& [other, view] : jobs_) {
        if (other != id)
            explanation.waitsFor.push_back(other);
    }
    return explanation;
}

Result<api::JobView> FakeBackend::cancelJob(const JobId& id)
{
    const Lock lock(mutex_);
    BOOST_OUTCOME_TRY(found, find(id));
    found->state = api::JobState::Cancelled;
    return *found;
}

Result<api::AccountList> FakeBackend::accounts()
{
    const Lock lock(mutex_);
    api::AccountList list;
    for (const model::Account& account : config_.declarations.accounts) {
        api::AccountView view;
        view.id = account.id;
        view.weight = account.weight;
        view.quotaAccelerators = account.quotaAccelerators;
        list.accounts.push_back(view);
    }
    return list;
}

Result<api::WorkerList> FakeBackend::workers(const WorkerQuery& query)
{
    const Lock lock(mutex_);
    lastWorkerQuery = query;
    const model::WorkerSpec worker { WorkerId("w1"), RackId("rack-1"), FailureDomainId("amman-1"), RegionId("amman"),
        { Cores(32), Megabytes(64000), Accelerators(8) }, model::ResourceState::Ready };
    return api::WorkerList { { { worker, { Cores(4), Megabytes(8000), Accelerators(2) }, 2, CellId("amman-1") } } };
}

Result<api::StatusView> FakeBackend::status()
{
    const Lock lock(mutex_);
    api::StatusView view { InstanceId("g1"), "0.1.0", config_.version, config_.declarations.preset, !storeFailure,
        std::nullopt, {}, {}, {} };
    view.instances.push_back({ InstanceId("g1"), api::InstanceRole::Gateway, api::InstanceState::Ready, config_.version,
        FailureDomainId("amman-1") });
    api::CellView cell;
    cell.cell = CellId("amman-1");
    cell.owner = InstanceId("s1");
    view.cells.push_back(cell);
    return view;
}

Status FakeBackend::readiness() { return notReady ? Status(*notReady) : okStatus(); }

} // namespace rosemarylink::control
