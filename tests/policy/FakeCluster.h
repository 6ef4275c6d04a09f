#pragma once

#include "PolicyFixture.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::policy::testing {

// Carries out the decisions of a policy at once or on demand, and records every breach of what a policy promises.
class FakeCluster {
public:
    struct Gang {
        model::JobSpec spec;
        Placement placement;
        bool borrowed = false;
        bool stopping = false;
        StopReason reason = StopReason::Cancelled;
    };

    FakeCluster(SchedulingPolicy& policy, const std::vector<model::WorkerSpec>& workers)
        : policy_(policy)
    {
        for (const model::WorkerSpec& worker : workers)
            workers_[worker.id] = worker;
    }

    bool submit(const model::JobSpec& spec, Timestamp now)
    {
        if (!policy_.submit(spec, now))
            return false;
        specs_[spec.id] = spec;
        waiting_.insert(spec.id);
        return true;
    }

    void cancel(const JobId& id, Timestamp now)
    {
        policy_.cancel(id, now);
        waiting_.erase(id);
    }

    void setState(const WorkerId& id, model::ResourceState state, Timestamp now)
    {
        workers_[id].state = state;
        policy_.setWorkerState(id, state, now);
    }

    void decide(Timestamp now)
    {
        const Decisions decisions = policy_.decide(now);
        for (const StopDecision& stop : decisions.stops)
            takeStop(stop);
        for (const StartDecision& start : decisions.starts)
            takeStart(start, now);
    }

    void end(const JobId& id, GangOutcome outcome, Timestamp now)
    {
        const Gang gang = running_.at(id);
        use(gang, -1);
        running_.erase(id);
        const JobDisposition disposition = policy_.gangEnded(id, outcome, now);
        if (disposition == JobDisposition::Requeued)
            waiting_.insert(id);
    }

    // Ends all gangs that were asked to stop, until the policy asks for no more.
    void settle(Timestamp now)
    {
        decide(now);
        for (std::vector<JobId> stopping = stoppingJobs(); !stopping.empty(); stopping = stoppingJobs()) {
            for (const JobId& id : stopping)
                end(id,
                    running_.at(id).reason == StopReason::WorkerLost ? GangOutcome::WorkerLost : GangOutcome::Stopped,
                    now);
            decide(now);
        }
    }

    std::vector<JobId> stoppingJobs() const
    {
        std::vector<JobId> ids;
        for (const auto& [id, gang] : running_) {
            if (gang.stopping)
                ids.push_back(id);
        }
        return ids;
    }

    std::int64_t usedAccelerators() const
    {
        std::int64_t sum = 0;
        for (const auto& [id, gang] : running_)
            sum += gang.spec.tasks * gang.spec.perTask.accelerators.value();
        return sum;
    }

    bool isRunning(const JobId& id) const { return running_.count(id) > 0; }
    const std::map<JobId, Gang>& running() const { return running_; }
    const std::set<JobId>& waiting() const { return waiting_; }
    const std::vector<std::string>& breaches() const { return breaches_; }
    const std::map<WorkerId, model::WorkerSpec>& workers() const { return workers_; }

private:
    void breach(const std::string& what, const JobId& id) { breaches_.push_back(what + ": " + id.value()); }

    void use(const Gang& gang, std::int64_t sign)
    {
        for (const WorkerId& worker : gang.placement.workers) {
            used_[worker].cores += Cores(sign * gang.spec.perTask.cores.value());
            used_[worker].memory += Megabytes(sign * gang.spec.perTask.memory.value());
            used_[worker].accelerators += Accelerators(sign * gang.spec.perTask.accelerators.value());
        }
    }

    void takeStop(const StopDecision& stop)
    {
        const auto found = running_.find(stop.job);
        if (found == running_.end() || found->second.stopping)
            return breach("stop of a gang that does not run", stop.job);
        Gang& gang = found->second;
        const bool forOthers = stop.reason == StopReason::Reclaimed || stop.reason == StopReason::Defragmented;
        if (forOthers && !gang.borrowed)
            breach("stop of work that is not borrowed", stop.job);
        if (forOthers && !gang.spec.idempotent && !stop.checkpointFirst)
            breach("stop without checkpoint of work that runs once", stop.job);
        gang.stopping = true;
        gang.reason = stop.reason;
    }

    void takeStart(const StartDecision& start, Timestamp now)
    {
        const model::JobSpec& spec = specs_.at(start.job);
        const bool runsOnce = !spec.idempotent && !spec.checkpointable;
        if (waiting_.erase(start.job) == 0)
            breach("start of a job that does not wait", start.job);
        if (runsOnce && !startedOnce_.insert(start.job).second)
            breach("second start of work that runs once", start.job);
        if (runsOnce && start.borrowed)
            breach("borrowed start of work that cannot be stopped", start.job);
        if (static_cast<std::int64_t>(start.placement.workers.size()) != spec.tasks)
            breach("partial gang", start.job);
        const Gang gang { spec, start.placement, start.borrowed, false, StopReason::Cancelled };
        use(gang, 1);
        checkPlacement(gang);
        running_[start.job] = gang;
        policy_.gangStarted(start.job, now);
    }

    void checkPlacement(const Gang& gang)
    {
        std::set<WorkerId> distinct(gang.placement.workers.begin(), gang.placement.workers.end());
        std::set<std::string> racks;
        for (const WorkerId& id : distinct) {
            const model::WorkerSpec& worker = workers_.at(id);
            racks.insert(worker.rack.value());
            if (worker.state != model::ResourceState::Ready)
                breach("start on a worker that is not ready", gang.spec.id);
            if (used_[id].accelerators > worker.capacity.accelerators || used_[id].cores > worker.capacity.cores
                || used_[id].memory > worker.capacity.memory)
                breach("start beyond the capacity of " + id.value(), gang.spec.id);
        }
        const model::Adjacency adjacency = gang.spec.adjacency;
        if ((adjacency == model::Adjacency::Worker && distinct.size() > 1)
            || (adjacency == model::Adjacency::Rack && racks.size() > 1)
            || (adjacency == model::Adjacency::NeighbouringRacks && racks.size() > 2))
            breach("gang that is not adjacent", gang.spec.id);
    }

    SchedulingPolicy& policy_;
    std::map<WorkerId, model::WorkerSpec> workers_;
    std::map<WorkerId, model::Resources> used_;
    std::map<JobId, model::JobSpec> specs_;
    std::map<JobId, Gang> running_;
    std::set<JobId> waiting_;
    std::set<JobId> startedOnce_;
    std::vector<std::string> breaches_;
};

inline std::vector<model::WorkerSpec> makeWorkers(int racks, int workersPerRack)
{
    std::vector<model::WorkerSpec> workers;
    for (int rack = 0; rack < racks; ++rack) {
        for (int number = 0; number < workersPerRack; ++number)
            workers.push_back(makeWorker(rack, number));
    }
    return workers;
}

inline model::GuaranteedShape makeShape(
    const std::string& account, std::int64_t gangs, std::int64_t tasks, model::Adjacency adjacency)
{
    model::GuaranteedShape shape;
    shape.name = "shape-" + std::to_string(tasks);
    shape.account = AccountId(account);
    shape.region = RegionId("amman");
    shape.gangs = gangs;
    shape.tasks = tasks;
    shape.perTask = resources(4, 8000, 1);
    shape.adjacency = adjacency;
    return shape;
}

// "moves" holds a gang of 16 in one rack, "quotes" two gangs of 4 on one worker each.
inline PolicyConfig makeGuaranteedConfig(std::int64_t version)
{
    PolicyConfig config = makeConfig(version);
    config.declarations.guarantees
        = { makeShape("moves", 1, 16, model::Adjacency::Rack), makeShape("quotes", 2, 4, model::Adjacency::Worker) };
    return config;
}

} // namespace rosemarylink::policy::testing
