#include "WorkerFleet.h"

namespace rosemarylink::state::internal {

model::ResourceState FleetWorker::state() const
{
    if (lost || !spec)
        return model::ResourceState::Lost;
    return spec->state == model::ResourceState::Ready ? stateOverride : spec->state;
}

WorkerFleet::WorkerFleet(CellContext& context, Handlers handlers)
    : context_(context)
    , handlers_(std::move(handlers))
{
}

void WorkerFleet::clear()
{
    workers_.clear();
    due_.clear();
    unreported_ = 0;
    hasWorkerList_ = false;
    listInProgress_ = false;
    nextList_ = context_.now();
}

bool WorkerFleet::inScope(const model::WorkerSpec& spec) const
{
    const CellScope& scope = context_.settings.scope;
    return spec.region == scope.region && (!scope.failureDomain || spec.failureDomain == *scope.failureDomain);
}

FleetWorker& WorkerFleet::entry(const WorkerId& id)
{
    const auto [at, added] = workers_.try_emplace(id);
    if (added) {
        // The last contact is unknown. A lease that an earlier owner renewed expires at most one term from now.
        at->second.lastContact = context_.now();
        ++unreported_;
        schedule(id, at->second, context_.now());
    }
    return at->second;
}

void WorkerFleet::schedule(const WorkerId& id, FleetWorker& worker, Milliseconds due)
{
    due_.erase({ worker.due, id });
    worker.due = due;
    due_.insert({ due, id });
}

void WorkerFleet::renewWithin(const WorkerId& id, Milliseconds delay)
{
    FleetWorker& worker = entry(id);
    if (context_.now() + delay < worker.due)
        schedule(id, worker, context_.now() + delay);
}

void WorkerFleet::setBusy(const WorkerId& id, bool busy) { entry(id).busy = busy; }

void WorkerFleet::overrideState(const WorkerId& id, model::ResourceState state)
{
    const auto found = workers_.find(id);
    if (found == workers_.end())
        return;
    found->second.stateOverride = state;
    handlers_.stateChanged(id, found->second.state());
}

void WorkerFleet::step()
{
    const Milliseconds now = context_.now();
    if (!listInProgress_ && now >= nextList_)
        list();
    while (!due_.empty() && due_.begin()->first <= now) {
        const WorkerId id = due_.begin()->second;
        FleetWorker& worker = workers_.at(id);
        schedule(id, worker, now + context_.timings().workerRenewal);
        if (!worker.callInProgress)
            renew(id, worker);
    }
}

void WorkerFleet::list()
{
    listInProgress_ = true;
    nextList_ = context_.now() + context_.timings().workerListPoll;
    context_.call(
        context_.dependencies.workerCalls, [&agent = context_.dependencies.workers] { return agent.listWorkers(); },
        [this](const Result<std::vector<model::WorkerSpec>>& result) {
            listInProgress_ = false;
            applyList(result);
        });
}

void WorkerFleet::applyList(const Result<std::vector<model::WorkerSpec>>& result)
{
    if (!result)
        return;
    std::set<WorkerId> present;
    for (const model::WorkerSpec& spec : result.value()) {
        if (!inScope(spec))
            continue;
        present.insert(spec.id);
        FleetWorker& worker = entry(spec.id);
        const bool added = !worker.spec;
        const model::ResourceState before = worker.state();
        worker.spec = spec;
        if (added)
            handlers_.workerAdded(spec);
        if (added || worker.state() != before)
            handlers_.stateChanged(spec.id, worker.state());
    }
    for (auto& [id, worker] : workers_) {
        if (worker.spec && present.count(id) == 0 && worker.spec->state != model::ResourceState::Lost) {
            worker.spec->state = model::ResourceState::Lost;
            handlers_.stateChanged(id, worker.state());
        }
    }
    hasWorkerList_ = true;
}

void WorkerFleet::renew(const WorkerId& id, FleetWorker& worker)
{
    worker.callInProgress = true;
    std::vector<JobId> jobs = handlers_.jobsToRenew(id);
    context_.call(
        context_.dependencies.workerCalls,
        [&agent = context_.dependencies.workers, id, token = context_.token, jobs,
            ttl = context_.timings().workerLeaseTtl] { return agent.renew(id, token, jobs, ttl); },
        [this, id, jobs, sent = context_.now()](
            const Result<WorkerReport>& result) { applyRenewal(id, result, jobs, sent); });
}

void WorkerFleet::applyRenewal(
    const WorkerId& id, const Result<WorkerReport>& result, const std::vector<JobId>& jobs, Milliseconds sent)
{
    FleetWorker& worker = workers_.at(id);
    worker.callInProgress = false;
    if (!result && result.error().code == ErrorCode::Fenced) {
        handlers_.fenced("a worker has seen a later owner");
        return;
    }
    if (result || result.error().verdict != Verdict::NotRun)
        handlers_.renewalEnded(id, jobs);
    if (!result) {
        recordFailure(id, worker);
        return;
    }
    recordContact(id, worker);
    const CellTimings& timings = context_.timings();
    schedule(id, worker, sent + (worker.busy ? timings.workerRenewal : timings.idleWorkerPoll));
    handlers_.reported(result.value(), sent);
}

void WorkerFleet::recordContact(const WorkerId& id, FleetWorker& worker)
{
    if (!worker.reported) {
        worker.reported = true;
        --unreported_;
    }
    worker.failures = 0;
    worker.lastContact = context_.now();
    if (std::exchange(worker.lost, false))
        handlers_.stateChanged(id, worker.state());
}

// A worker without gangs counts as lost after two consecutive failures. One with gangs counts as lost only when the
// leases of its tasks have expired, because until then its gangs may still be running whole.
void WorkerFleet::recordFailure(const WorkerId& id, FleetWorker& worker)
{
    ++worker.failures;
    const Milliseconds leaseEnd = worker.lastContact + context_.timings().workerLeaseTtl;
    const bool leasesOver = context_.now() >= leaseEnd;
    if (!leasesOver && leaseEnd < worker.due)
        schedule(id, worker, leaseEnd);
    if (worker.lost || !(leasesOver || (!worker.busy && worker.failures >= 2)))
        return;
    worker.lost = true;
    handlers_.stateChanged(id, worker.state());
    handlers_.lost(id);
}

} // namespace rosemarylink::state::internal
