#include "rosemarylink/scheduler/CellHost.h"

#include "JobViews.h"

#include "rosemarylink/base/JsonReader.h"
#include "rosemarylink/base/Log.h"
#include "rosemarylink/policy/Guarantees.h"

#include <algorithm>
#include <functional>

namespace rosemarylink::scheduler {

namespace {

    const Logger& logger()
    {
        static const Logger log("cells");
        return log;
    }

    // A cell calls the store for lease renewals, placements writes and job records, and each worker separately. With
    // fewer threads, slow workers would delay the calls to the others.
    constexpr std::size_t storeThreads = 4;
    constexpr std::size_t workerThreads = 16;

    Error unknownJob(const JobId& job) { return makeError(ErrorCode::NotFound, "no job has the id " + job.value()); }

    Result<JobId> readJobId(const nlohmann::json& request)
    {
        if (!request.is_object() || !request.contains("job") || !request["job"].is_string())
            return invalidArgument("the request lacks the id of the job");
        return JobId(request["job"].get<std::string>());
    }

    constexpr std::int64_t renewalsPerSecond = 20;

} // namespace

state::CellTimings scaledTimings(state::CellTimings timings, std::size_t workers)
{
    const Milliseconds pacedRenewal(static_cast<std::int64_t>(workers) * 1000 / renewalsPerSecond);
    if (pacedRenewal <= timings.workerRenewal)
        return timings;
    timings.workerLeaseTtl += (pacedRenewal - timings.workerRenewal) * 3;
    timings.workerRenewal = pacedRenewal;
    return timings;
}

CellHost::CellHost(CellHostOptions options, state::KeyValueStore& store, state::KeyValueStore& submissionStore,
    state::WorkerAgent& workers, const Clock& clock, MetricsRegistry& metrics)
    : options_(std::move(options))
    , store_(store)
    , submissionStore_(submissionStore)
    , workers_(workers)
    , clock_(clock)
    , metrics_(metrics)
    , storeCalls_(storeThreads)
    , workerCalls_(workerThreads)
    , discoveryCalls_(1)
{
}

CellHost::~CellHost()
{
    stopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

void CellHost::start()
{
    thread_ = std::thread([this] { run(); });
}

void CellHost::run()
{
    while (!stopping_) {
        discoverCells();
        bool changed = false;
        for (state::CellController* controller : controllers())
            changed = controller->step() || changed;
        if (!changed)
            std::this_thread::sleep_for(options_.stepInterval);
    }
}

void CellHost::discoverCells()
{
    {
        const std::lock_guard lock(mutex_);
        const Milliseconds interval = discovered_ ? options_.discoveryInterval : Milliseconds(1000);
        if (lastDiscovery_.count() > 0 && clock_.monotonic() - lastDiscovery_ < interval)
            return;
        lastDiscovery_ = clock_.monotonic();
    }
    discoveryCalls_.post([this] {
        auto workers = workers_.listWorkers();
        if (!workers) {
            logger().warning("the worker list cannot be read", { { "error", workers.error().message } });
            return;
        }
        const std::lock_guard lock(mutex_);
        fleet_ = std::move(workers).value();
        discovered_ = true;
        for (const model::WorkerSpec& worker : fleet_)
            addCell(worker);
        configureCells();
    });
}

void CellHost::addCell(const model::WorkerSpec& worker)
{
    const CellId id(worker.failureDomain.value());
    if (cells_.count(id) > 0)
        return;
    state::CellSettings settings;
    settings.self = options_.self;
    settings.scope = { id, worker.region, worker.failureDomain };
    const auto isInCell
        = [&worker](const model::WorkerSpec& other) { return other.failureDomain == worker.failureDomain; };
    settings.timings = scaledTimings(
        options_.timings, static_cast<std::size_t>(std::count_if(fleet_.begin(), fleet_.end(), isInCell)));
    settings.seed = options_.seed + std::hash<CellId> {}(id);
    Cell cell;
    cell.failureDomain = worker.failureDomain;
    cell.controller = std::make_unique<state::CellController>(settings,
        state::CellDependencies { store_, workers_, clock_, storeCalls_, workerCalls_, metrics_,
            [policy = options_.policy] { return policy::makePolicy(policy).value(); }, &submissionStore_ });
    cells_.emplace(id, std::move(cell));
    updateCandidates();
    logger().info("cell discovered", { { "cell", id } });
}

void CellHost::configureCells()
{
    if (configVersion_ == ConfigVersion(0))
        return;
    const auto shares = policy::assignGuarantees(declarations_.guarantees, fleet_);
    for (auto& [id, cell] : cells_) {
        policy::PolicyConfig config { configVersion_, declarations_ };
        const auto share = shares.find(cell.failureDomain);
        config.declarations.guarantees = share == shares.end() ? std::vector<model::GuaranteedShape>() : share->second;
        if (const auto status = cell.controller->configure(config); !status)
            logger().warning("configuration refused", { { "cell", id }, { "error", status.error().message } });
    }
}

void CellHost::setConfig(ConfigVersion version, const model::Declarations& declarations)
{
    const std::lock_guard lock(mutex_);
    if (version <= configVersion_)
        return;
    configVersion_ = version;
    declarations_ = declarations;
    configureCells();
}

void CellHost::setCandidates(const std::vector<InstanceId>& candidates)
{
    const std::lock_guard lock(mutex_);
    candidates_ = candidates;
    updateCandidates();
}

void CellHost::updateCandidates()
{
    std::vector<CellId> ids;
    ids.reserve(cells_.size());
    for (const auto& [id, cell] : cells_)
        ids.push_back(id);
    for (auto& [id, cell] : cells_)
        cell.controller->setCandidates(candidates_, ids);
}

std::vector<messages::CellLoad> CellHost::ownedCells() const
{
    std::vector<messages::CellLoad> loads;
    for (const state::CellController* controller : controllers()) {
        const state::CellSnapshot snapshot = controller->snapshot();
        if (snapshot.role == state::CellRole::Owner && snapshot.policy)
            loads.push_back({ snapshot.cell, snapshot.policy->freeAccelerators, snapshot.waitingJobs });
    }
    return loads;
}

Result<nlohmann::json> CellHost::handle(const messages::JobForward& forward)
{
    if (forward.action == messages::JobAction::Submit)
        return submit(forward.request);
    if (forward.action == messages::JobAction::List)
        return listJobs();
    BOOST_OUTCOME_TRY(job, readJobId(forward.request));
    state::CellController* controller = findByJob(job);
    if (!controller)
        return unknownJob(job);
    if (forward.action == messages::JobAction::Cancel) {
        BOOST_OUTCOME_TRYV(controller->cancel(job));
    }
    BOOST_OUTCOME_TRY(status, controller->job(job));
    if (forward.action == messages::JobAction::Explain) {
        BOOST_OUTCOME_TRY(explanation, controller->explain(job));
        api::JobExplanation view;
        view.job = job;
        view.state = internal::toApiState(status);
        view.reason = explanation.reason;
        view.reservedStart = explanation.reservedStart;
        view.waitsFor = explanation.waitsFor;
        return toJson(view);
    }
    return toJson(internal::toJobView(controller->snapshot().cell, status));
}

Result<nlohmann::json> CellHost::submit(const nlohmann::json& request)
{
    BOOST_OUTCOME_TRYV(checkObject(request, "submission", { "cell", "spec", "key" }));
    if (!request.contains("cell") || !request.contains("spec") || !request.contains("key"))
        return invalidArgument("a submission needs the keys cell, spec and key");
    BOOST_OUTCOME_TRY(cell, readString(request["cell"], "cell"));
    BOOST_OUTCOME_TRY(key, readString(request["key"], "key"));
    BOOST_OUTCOME_TRY(spec, model::parseJobSpec(request["spec"]));
    state::CellController* controller = findCell(CellId(cell));
    if (!controller)
        return unavailable("this scheduler has no cell " + cell, Verdict::NotRun);
    BOOST_OUTCOME_TRY(submission, controller->submit(spec, IdempotencyKey(key)));
    BOOST_OUTCOME_TRY(status, controller->job(spec.id));
    api::JobView view = internal::toJobView(CellId(cell), status);
    view.expectedWait = submission.admission.expectedWait;
    return toJson(view);
}

Result<nlohmann::json> CellHost::listJobs() const
{
    nlohmann::json jobs = nlohmann::json::array();
    for (const state::CellController* controller : controllers()) {
        const state::CellSnapshot snapshot = controller->snapshot();
        if (snapshot.role != state::CellRole::Owner)
            continue;
        BOOST_OUTCOME_TRY(statuses, controller->listJobs());
        for (const state::JobStatus& status : statuses)
            jobs.push_back(toJson(internal::toJobView(snapshot.cell, status)));
    }
    return nlohmann::json { { "jobs", jobs } };
}

nlohmann::json CellHost::status() const
{
    nlohmann::json cells = nlohmann::json::array();
    nlohmann::json guarantees = nlohmann::json::array();
    nlohmann::json accounts = nlohmann::json::array();
    nlohmann::json quarantined = nlohmann::json::array();
    for (const state::CellController* controller : controllers()) {
        const state::CellSnapshot snapshot = controller->snapshot();
        if (snapshot.role != state::CellRole::Owner || !snapshot.policy)
            continue;
        cells.push_back(toJson(internal::toCellView(snapshot)));
        for (const policy::GuaranteeStatus& status : snapshot.policy->guarantees)
            guarantees.push_back(
                toJson(api::GuaranteeView { status.shape, status.gangsInUse, status.reclaimable, status.reclaimTime }));
        for (const policy::AccountStatus& account : snapshot.policy->accounts) {
            api::AccountView view;
            view.id = account.account;
            view.waitingJobs = account.waitingJobs;
            view.runningJobs = account.runningJobs;
            view.acceleratorsInUse = account.acceleratorsInUse;
            view.acceleratorsBorrowed = account.acceleratorsBorrowed;
            accounts.push_back(toJson(view));
        }
        for (const WorkerId& worker : snapshot.policy->quarantined)
            quarantined.push_back(worker.value());
    }
    return { { "cells", cells }, { "guarantees", guarantees }, { "accounts", accounts },
        { "quarantined", quarantined } };
}

bool CellHost::leave(Milliseconds limit)
{
    const auto all = controllers();
    for (state::CellController* controller : all)
        controller->leave();
    const Milliseconds start = clock_.monotonic();
    const auto allLeft = [&all] {
        return std::all_of(all.begin(), all.end(), [](const auto* controller) { return controller->hasLeft(); });
    };
    while (!allLeft() && clock_.monotonic() - start < limit)
        std::this_thread::sleep_for(options_.stepInterval);
    return allLeft();
}

std::vector<state::CellController*> CellHost::controllers() const
{
    const std::lock_guard lock(mutex_);
    std::vector<state::CellController*> all;
    all.reserve(cells_.size());
    for (const auto& [id, cell] : cells_)
        all.push_back(cell.controller.get());
    return all;
}

state::CellController* CellHost::findCell(const CellId& id) const
{
    const std::lock_guard lock(mutex_);
    const auto found = cells_.find(id);
    return found == cells_.end() ? nullptr : found->second.controller.get();
}

state::CellController* CellHost::findByJob(const JobId& job) const
{
    for (state::CellController* controller : controllers()) {
        if (controller->job(job))
            return controller;
    }
    return nullptr;
}

} // namespace rosemarylink::scheduler
