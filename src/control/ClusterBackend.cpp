#include "rosemarylink/control/ClusterBackend.h"

#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/control/Authenticator.h"
#include "rosemarylink/generated/Submissions.h"
#include "rosemarylink/policy/Guarantees.h"

#include <algorithm>
#include <set>

namespace rosemarylink::control {

namespace {

    // Longer than the deadline of a store operation, as the owner writes to the store before it answers.
    constexpr Milliseconds callTimeout { 8000 };

    constexpr Milliseconds fleetMaximumAge { 10000 };

    // The time until a cell has a new owner: failure detection and expiry of the lease.
    constexpr Milliseconds takeoverRetryTime { 8000 };

    // The longest interval between two probes of an unavailable store.
    constexpr Milliseconds storeRetryTime { 8000 };

    // Bounds the retries of a submission. Among concurrent submissions each round rules out at least one cell, so more
    // rounds indicate another fault.
    constexpr int maximumBindingRounds = 8;

    Error noOwnerError(const std::string& what)
    {
        Error error = unavailable(what + " has no live owner", Verdict::NotRun);
        error.retryAfter = takeoverRetryTime;
        return error;
    }

    // Converts a failure that occurred before the job was sent to a cell. The binding may or may not be stored, but no
    // cell has accepted the job.
    Error notAcceptedError(Error error)
    {
        error.verdict = Verdict::NotRun;
        if (!error.retryAfter)
            error.retryAfter = storeRetryTime;
        return error;
    }

    std::string submissionKey(const JobId& job) { return "submissions/" + job.value(); }

    std::string encode(const submissions::SubmissionRecord& record)
    {
        const auto cbor = nlohmann::json::to_cbor(toJson(record));
        return { cbor.begin(), cbor.end() };
    }

    Result<submissions::SubmissionRecord> decode(const std::string& bytes)
    {
        const auto json = nlohmann::json::from_cbor(bytes, true, false);
        auto record = submissions::parseSubmissionRecord(json);
        if (!record)
            return makeError(ErrorCode::Unsupported, record.error().message);
        return record;
    }

    api::ConfigView toView(const config::ConfigRecord& record)
    {
        api::ConfigView view;
        view.version = record.version;
        view.declarations = record.declarations;
        if (!record.audit.empty()) {
            view.acceptedBy = record.audit.back().changedBy;
            view.acceptedAt = record.audit.back().at;
        }
        view.operation = record.operation;
        return view;
    }

    std::string summarize(const std::vector<std::string>& changes)
    {
        constexpr std::size_t maximumSummaryLength = 256; // the schema's limit
        std::string summary;
        for (const std::string& change : changes)
            summary += (summary.empty() ? "" : "; ") + change;
        if (summary.size() > maximumSummaryLength)
            summary = summary.substr(0, maximumSummaryLength - 3) + "...";
        return summary;
    }

    api::AuditEntry toView(const config::AuditEntry& entry)
    {
        return { entry.fromVersion, entry.toVersion, entry.changedBy, entry.at, entry.operation, { entry.summary } };
    }

    bool matches(const JobQuery& query, const api::JobView& view)
    {
        return (!query.account || view.job.account == *query.account) && (!query.state || view.state == *query.state)
            && (!query.after || *query.after < view.job.id);
    }

    template <typename View, typename Parse>
    void appendParsed(const nlohmann::json& answer, const char* key, std::vector<View>& views, Parse parse)
    {
        if (!answer.contains(key) || !answer[key].is_array())
            return;
        for (const auto& element : answer[key]) {
            if (auto view = parse(element, key))
                views.push_back(std::move(view).value());
        }
    }

    void accumulate(api::AccountView& total, const api::AccountView& part)
    {
        total.waitingJobs += part.waitingJobs;
        total.runningJobs += part.runningJobs;
        total.acceleratorsInUse += part.acceleratorsInUse;
        total.acceleratorsBorrowed += part.acceleratorsBorrowed;
    }

} // namespace

JobId jobIdFor(const AccountId& account, const IdempotencyKey& key)
{
    // An account's id cannot contain the separator, so different pairs never give the same text.
    return JobId("j" + sha256Hex(account.value() + '\0' + key.value()).substr(0, 24));
}

ClusterBackend::ClusterBackend(node::InstanceNode& node, state::ResilientStore& store, const Clock& clock)
    : node_(node)
    , store_(store)
    , clock_(clock)
{
}

Result<api::ConfigView> ClusterBackend::currentConfig()
{
    api::ConfigView view;
    const auto current = node_.agent().config().inForce();
    if (!current)
        return view;
    view.version = current->version;
    view.declarations = current->declarations;
    view.acceptedAt = current->acceptedAt;
    view.operation = current->operation;
    BOOST_OUTCOME_TRY(coverage, inForce(current->version));
    view.inForce = coverage;
    return view;
}

Result<api::ConfigView> ClusterBackend::storedConfig()
{
    BOOST_OUTCOME_TRY(record, node_.membership().configStore().read());
    if (!record)
        return api::ConfigView();
    api::ConfigView view = toView(*record);
    BOOST_OUTCOME_TRY(coverage, inForce(view.version));
    view.inForce = coverage;
    return view;
}

Status ClusterBackend::checkFeasibility(const model::Declarations& declarations)
{
    BOOST_OUTCOME_TRY(workers, fleet());
    const auto feasibility = policy::checkGuarantees(declarations.guarantees, workers);
    if (feasibility.feasible)
        return okStatus();
    std::string message = "the guarantees cannot all be placed on the fleet at once";
    for (const policy::GuaranteeProblem& problem : feasibility.problems) {
        message += "; guarantee \"" + problem.shape.name + "\" of account \"" + problem.shape.account.value()
            + "\": " + problem.reason;
    }
    return invalidArgument(message);
}

Result<api::ConfigView> ClusterBackend::proposeConfig(const ConfigProposal& proposal)
{
    state::ConfigProposal change;
    change.expected = proposal.expectedVersion;
    change.declarations = proposal.declarations;
    change.changedBy = proposal.proposedBy;
    change.summary = summarize(proposal.changes);
    change.operation = proposal.operation;
    BOOST_OUTCOME_TRY(acceptance, node_.membership().propose(change));
    api::ConfigView view;
    view.version = acceptance.version;
    view.declarations = proposal.declarations;
    view.acceptedBy = proposal.proposedBy;
    view.acceptedAt = acceptance.current.acceptedAt;
    view.operation = proposal.operation;
    BOOST_OUTCOME_TRY(coverage, inForce(acceptance.version));
    view.inForce = coverage;
    return view;
}

Result<api::InForceView> ClusterBackend::inForce(ConfigVersion version)
{
    api::InForceView view;
    view.version = version;
    view.accepted = version <= node_.agent().config().version();
    const state::ConfigCoverage coverage = node_.agent().coverage(version);
    view.everywhere = coverage.everywhere;
    for (const InstanceId& instance : coverage.behind) {
        const auto member = node_.agent().membership().member(instance);
        const bool isSelf = instance == node_.options().self;
        view.behind.push_back({ instance,
            isSelf       ? node_.agent().config().version()
                : member ? member->configVersion()
                         : ConfigVersion(0) });
    }
    return view;
}

Result<api::AuditList> ClusterBackend::audit(const AuditQuery& query)
{
    state::AuditFilter filter;
    filter.changedBy = query.acceptedBy;
    filter.since = query.since;
    if (query.until)
        filter.until = *query.until - Milliseconds(1); // the query's end is exclusive, the filter's is inclusive
    if (query.before)
        filter.lastVersion = *query.before - ConfigVersion(1);
    filter.limit = static_cast<std::size_t>(query.limit) + 1; // one extra entry shows whether there is a next page
    BOOST_OUTCOME_TRY(entries, node_.membership().auditLog().read(filter));
    api::AuditList list;
    for (const config::AuditEntry& entry : entries) {
        if (list.entries.size() == static_cast<std::size_t>(query.limit)) {
            list.before = list.entries.back().toVersion;
            break;
        }
        list.entries.push_back(toView(entry));
    }
    return list;
}

Result<std::vector<model::WorkerSpec>> ClusterBackend::fleet()
{
    {
        const std::lock_guard lock(fleetMutex_);
        if (!fleet_.empty() && clock_.monotonic() - fleetReadAt_ < fleetMaximumAge)
            return fleet_;
    }
    BOOST_OUTCOME_TRY(workers, node_.platform().listWorkers());
    const std::lock_guard lock(fleetMutex_);
    fleet_ = workers;
    fleetReadAt_ = clock_.monotonic();
    return workers;
}

std::vector<InstanceId> ClusterBackend::cellOwners() const
{
    std::vector<InstanceId> owners;
    for (const state::Member& member : node_.agent().membership().members()) {
        if (member.live() && member.heartbeat && !member.heartbeat->cells.empty())
            owners.push_back(member.id);
    }
    return owners;
}

Result<std::vector<CellCandidate>> ClusterBackend::cellCandidates(const model::JobSpec& job)
{
    BOOST_OUTCOME_TRY(workers, fleet());
    std::map<std::string, RegionId> regions;
    for (const model::WorkerSpec& worker : workers)
        regions[worker.failureDomain.value()] = worker.region;
    std::set<std::string> guaranteed;
    if (const auto current = node_.agent().config().inForce()) {
        for (const auto& [domain, shapes] : policy::assignGuarantees(current->declarations.guarantees, workers)) {
            for (const model::GuaranteedShape& shape : shapes) {
                if (shape.account == job.account)
                    guaranteed.insert(domain.value());
            }
        }
    }
    std::vector<CellCandidate> cells;
    for (const state::Member& member : node_.agent().membership().members()) {
        if (!member.live() || !member.heartbeat)
            continue;
        for (const messages::CellLoad& load : member.heartbeat->cells)
            cells.push_back({ load, member.id, regions[load.cell.value()], guaranteed.count(load.cell.value()) > 0 });
    }
    cells = rankCells(job, std::move(cells));
    if (cells.empty())
        return noOwnerError(job.region ? "region " + job.region->value() : std::string("every cell"));
    return cells;
}

Result<CellId> ClusterBackend::bindToCell(const JobId& job, const std::vector<CellCandidate>& cells)
{
    const std::string key = submissionKey(job);
    const submissions::SubmissionRecord record { 1, makeRandomId<OperationId>(), cells.front().load.cell,
        clock_.now() };
    const auto written = store_.compareAndSwap(key, Revision(0), encode(record));
    if (written)
        return record.cell;
    if (written.error().code != ErrorCode::Conflict && written.error().verdict != Verdict::MayHaveRun)
        return written.error();
    // Another submission wrote the record first, or the reply was lost. In both cases the stored record is
    // authoritative.
    BOOST_OUTCOME_TRY(stored, store_.read(key));
    if (!stored)
        return written.error();
    BOOST_OUTCOME_TRY(decoded, decode(stored->bytes));
    return decoded.cell;
}

Result<CellId> ClusterBackend::rebindToCell(const JobId& job, const CellId& refusedBy, const CellId& next)
{
    const std::string key = submissionKey(job);
    BOOST_OUTCOME_TRY(stored, store_.read(key));
    if (!stored)
        return makeError(ErrorCode::Conflict, "the submission record no longer exists; submit again");
    BOOST_OUTCOME_TRY(record, decode(stored->bytes));
    if (record.cell != refusedBy)
        return record.cell;
    record.cell = next;
    record.operation = makeRandomId<OperationId>();
    const auto written = store_.compareAndSwap(key, stored->revision, encode(record));
    if (!written && written.error().code != ErrorCode::Conflict)
        return written.error();
    return next;
}

Result<api::JobView> ClusterBackend::submitJob(const JobSubmitRequest& request)
{
    model::JobSpec job = request.job;
    job.id = jobIdFor(job.account, request.key);
    BOOST_OUTCOME_TRY(cells, cellCandidates(job));
    const auto bound = bindToCell(job.id, cells);
    if (!bound)
        return notAcceptedError(bound.error());
    CellId cell = bound.value();
    std::set<CellId> refused;
    for (int round = 0; round < maximumBindingRounds; ++round) {
        auto accepted = submitToCell(job, request.key, cell);
        // Only InvalidArgument proves that the cell did not accept the job: the cell can never run it. After any other
        // failure the cell may have accepted the job, so it is not sent to another one.
        if (accepted || accepted.error().code != ErrorCode::InvalidArgument)
            return accepted;
        refused.insert(cell);
        const auto next = std::find_if(cells.begin(), cells.end(),
            [&refused](const CellCandidate& candidate) { return refused.count(candidate.load.cell) == 0; });
        if (next == cells.end())
            return accepted;
        const auto rebound = rebindToCell(job.id, cell, next->load.cell);
        if (!rebound)
            return notAcceptedError(rebound.error());
        cell = rebound.value();
    }
    return makeError(ErrorCode::ResourceExhausted, "the job was rejected by too many cells in turn; submit it again");
}

Result<api::JobView> ClusterBackend::submitToCell(
    const model::JobSpec& job, const IdempotencyKey& key, const CellId& cell)
{
    for (const state::Member& member : node_.agent().membership().members()) {
        if (!member.live() || !member.heartbeat)
            continue;
        const auto& owned = member.heartbeat->cells;
        if (std::none_of(owned.begin(), owned.end(), [&](const auto& load) { return load.cell == cell; }))
            continue;
        BOOST_OUTCOME_TRY(answer,
            callOwner(member.id, messages::JobAction::Submit,
                { { "cell", cell.value() }, { "spec", toJson(job) }, { "key", key.value() } }));
        return api::parseJobView(answer);
    }
    return noOwnerError("cell " + cell.value());
}

Result<nlohmann::json> ClusterBackend::callOwner(
    const InstanceId& owner, messages::JobAction action, const nlohmann::json& request)
{
    messages::JobForward forward;
    forward.action = action;
    forward.request = request;
    return node_.links().call(owner, "job", toJson(forward), callTimeout);
}

Result<nlohmann::json> ClusterBackend::callOwnersUntilFound(messages::JobAction action, const JobId& job)
{
    std::optional<Error> failure;
    for (const InstanceId& owner : cellOwners()) {
        auto answer = callOwner(owner, action, { { "job", job.value() } });
        if (answer)
            return answer;
        if (answer.error().code != ErrorCode::NotFound)
            failure = answer.error();
    }
    if (failure)
        return *failure;
    if (cellOwners().empty())
        return noOwnerError("every cell");
    return makeError(ErrorCode::NotFound, "no job has the id " + job.value());
}

Result<api::JobView> ClusterBackend::job(const JobId& job)
{
    BOOST_OUTCOME_TRY(answer, callOwnersUntilFound(messages::JobAction::Status, job));
    return api::parseJobView(answer);
}

Result<api::JobView> ClusterBackend::cancelJob(const JobId& job)
{
    BOOST_OUTCOME_TRY(answer, callOwnersUntilFound(messages::JobAction::Cancel, job));
    return api::parseJobView(answer);
}

Result<api::JobExplanation> ClusterBackend::explainJob(const JobId& job)
{
    BOOST_OUTCOME_TRY(answer, callOwnersUntilFound(messages::JobAction::Explain, job));
    return api::parseJobExplanation(answer);
}

Result<api::JobList> ClusterBackend::jobs(const JobQuery& query)
{
    std::map<JobId, api::JobView> found;
    for (const InstanceId& owner : cellOwners()) {
        BOOST_OUTCOME_TRY(answer, callOwner(owner, messages::JobAction::List, nlohmann::json::object()));
        std::vector<api::JobView> views;
        appendParsed(answer, "jobs", views, &api::parseJobView);
        for (api::JobView& view : views) {
            if (matches(query, view))
                found.emplace(view.job.id, std::move(view));
        }
    }
    api::JobList list;
    for (auto& [id, view] : found) {
        if (list.jobs.size() == static_cast<std::size_t>(query.limit)) {
            list.after = list.jobs.back().job.id;
            break;
        }
        list.jobs.push_back(std::move(view));
    }
    return list;
}

ClusterBackend::ClusterStatus ClusterBackend::clusterStatus()
{
    ClusterStatus total;
    for (const InstanceId& owner : cellOwners()) {
        const auto answer = node_.links().call(owner, "cells", nlohmann::json::object(), callTimeout);
        if (!answer)
            continue;
        appendParsed(answer.value(), "cells", total.cells, &api::parseCellView);
        appendParsed(answer.value(), "guarantees", total.guarantees, &api::parseGuaranteeView);
        appendParsed(answer.value(), "accounts", total.accounts, &api::parseAccountView);
        for (const auto& worker : answer.value().value("quarantined", nlohmann::json::array()))
            total.quarantined.emplace_back(worker.get<std::string>());
    }
    return total;
}

Result<api::AccountList> ClusterBackend::accounts()
{
    api::AccountList list;
    const auto current = node_.agent().config().inForce();
    if (!current)
        return list;
    const ClusterStatus cluster = clusterStatus();
    for (const model::Account& account : current->declarations.accounts) {
        api::AccountView view;
        view.id = account.id;
        view.weight = account.weight;
        view.quotaAccelerators = account.quotaAccelerators;
        view.requestConcurrency = account.requestConcurrency;
        for (const api::AccountView& part : cluster.accounts) {
            if (part.id == account.id)
                accumulate(view, part);
        }
        for (const api::GuaranteeView& guarantee : cluster.guarantees) {
            if (guarantee.shape.account == account.id)
                view.guarantees.push_back(guarantee);
        }
        list.accounts.push_back(view);
    }
    return list;
}

Result<api::WorkerList> ClusterBackend::workers(const WorkerQuery& query)
{
    BOOST_OUTCOME_TRY(specs, node_.platform().listWorkers());
    std::map<WorkerId, api::WorkerView> views;
    for (const model::WorkerSpec& spec : specs) {
        api::WorkerView view;
        view.worker = spec;
        view.cell = CellId(spec.failureDomain.value());
        views.emplace(spec.id, view);
    }
    for (const WorkerId& worker : clusterStatus().quarantined) {
        const auto position = views.find(worker);
        if (position != views.end() && position->second.worker.state == model::ResourceState::Ready)
            position->second.worker.state = model::ResourceState::Quarantined;
    }
    BOOST_OUTCOME_TRY(running, jobs({ std::nullopt, std::nullopt, std::nullopt, 100000 }));
    for (const api::JobView& job : running.jobs) {
        for (const WorkerId& worker : job.workers) {
            const auto position = views.find(worker);
            if (position == views.end())
                continue;
            api::WorkerView& view = position->second;
            ++view.tasks;
            view.used.cores += job.job.perTask.cores;
            view.used.memory += job.job.perTask.memory;
            view.used.accelerators += job.job.perTask.accelerators;
        }
    }
    api::WorkerList list;
    for (auto& [id, view] : views) {
        const bool wanted = (!query.region || view.worker.region == *query.region)
            && (!query.rack || view.worker.rack == *query.rack) && (!query.state || view.worker.state == *query.state);
        if (wanted)
            list.workers.push_back(std::move(view));
    }
    return list;
}

Result<api::StatusView> ClusterBackend::status()
{
    api::StatusView view;
    view.answeredBy = node_.options().self;
    view.softwareVersion = ROSEMARYLINK_VERSION;
    view.storeAvailable = !store_.isOpen();
    if (const auto current = node_.agent().config().inForce()) {
        view.configVersion = current->version;
        view.preset = current->declarations.preset;
        BOOST_OUTCOME_TRY(coverage, inForce(current->version));
        view.inForce = coverage;
    }
    const auto addInstance = [&view](const InstanceId& id, messages::InstanceRole role, messages::InstanceState state,
                                 ConfigVersion version, const FailureDomainId& domain) {
        // The schemas of messages and API use the same names for roles and states.
        const auto apiRole = api::parseInstanceRole(std::string(messages::instanceRoleName(role)));
        const auto apiState = api::parseInstanceState(std::string(messages::instanceStateName(state)));
        if (apiRole && apiState)
            view.instances.push_back({ id, apiRole.value(), apiState.value(), version, domain });
    };
    const node::InstanceNodeOptions& self = node_.options();
    addInstance(self.self, self.role, node_.agent().state(), node_.agent().config().version(), self.failureDomain);
    for (const state::Member& member : node_.agent().membership().members()) {
        addInstance(member.id, member.heartbeat ? member.heartbeat->role : messages::InstanceRole::Gateway,
            member.state, member.configVersion(), member.listed ? member.listed->failureDomain : FailureDomainId());
    }
    ClusterStatus cluster = clusterStatus();
    view.cells = std::move(cluster.cells);
    for (api::GuaranteeView& guarantee : cluster.guarantees) {
        if (!guarantee.reclaimable)
            view.guaranteesAtRisk.push_back(std::move(guarantee));
    }
    return view;
}

Status ClusterBackend::readiness()
{
    const messages::InstanceState state = node_.agent().state();
    if (state == messages::InstanceState::Ready)
        return okStatus();
    const bool unconfigured = node_.agent().config().version() == ConfigVersion(0);
    return unavailable("the instance is " + std::string(messages::instanceStateName(state))
            + (unconfigured ? " and has no configuration yet" : ""),
        Verdict::NotRun);
}

} // namespace rosemarylink::control
