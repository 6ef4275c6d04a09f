#pragma once

#include "PolicyFixture.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::policy::testing {

// Carries out the decisions of a policy and records violations of its contract: partial or non-adjacent gangs, starts
// beyond capacity, repeated starts of non-restartable work, and stops of work that is not borrowed.
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

    // Applies a configuration. Only this may make running work borrowed: restartable work whose guaranteed shape is
    // removed, and no more of it than the removed gangs hold.
    Status configure(const PolicyConfig& config, Timestamp now)
    {
        std::vector<model::GuaranteedShape> removed;
        for (const GuaranteeStatus& status : policy_.snapshot(now).guarantees) {
            model::GuaranteedShape shape = status.shape;
            for (const model::GuaranteedShape& kept : config.declarations.guarantees)
                shape.gangs -= isSameGang(shape, kept) ? kept.gangs : 0;
            if (shape.gangs > 0)
                removed.push_back(shape);
        }
        Status status = policy_.configure(config, now);
        if (status)
            acceptBorrowed(removed, now);
        checkBorrowed(now);
        return status;
    }

    void decide(Timestamp now)
    {
        const Decisions decisions = policy_.decide(now);
        for (const StopDecision& stop : decisions.stops)
            applyStop(stop);
        for (const StartDecision& start : decisions.starts)
            applyStart(start, now);
        checkBorrowed(now);
    }

    void end(const JobId& id, GangOutcome outcome, Timestamp now)
    {
        const Gang gang = running_.at(id);
        addUse(gang, -1);
        running_.erase(id);
        const JobDisposition disposition = policy_.gangEnded(id, outcome, now);
        if (disposition == JobDisposition::Requeued)
            waiting_.insert(id);
    }

    // Ends all stopping gangs and repeats decisions until no gang is stopping.
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
    const std::vector<std::string>& violations() const { return violations_; }
    const std::map<WorkerId, model::WorkerSpec>& workers() const { return workers_; }

private:
    void addViolation(const std::string& what, const JobId& id) { violations_.push_back(what + ": " + id.value()); }

    static bool isSameGang(const model::GuaranteedShape& a, const model::GuaranteedShape& b)
    {
        return a.account == b.account && a.name == b.name && a.region == b.region && a.tasks == b.tasks
            && a.adjacency == b.adjacency && a.perTask.cores == b.perTask.cores && a.perTask.memory == b.perTask.memory
            && a.perTask.accelerators == b.perTask.accelerators;
    }

    // Whether the policy reports the gang as borrowed; nullopt if the gang is being stopped.
    std::optional<bool> reportedBorrowed(const JobId& id, Timestamp now) const
    {
        const Explanation explanation = policy_.explain(id, now);
        if (explanation.state != "running")
            return std::nullopt;
        return explanation.reason == "runs on borrowed capacity and may be stopped";
    }

    void acceptBorrowed(const std::vector<model::GuaranteedShape>& removed, Timestamp now)
    {
        std::map<AccountId, std::int64_t> left;
        for (const model::GuaranteedShape& shape : removed)
            left[shape.account] += shape.gangs * shape.tasks * shape.perTask.accelerators.value();
        for (auto& [id, gang] : running_) {
            const model::JobSpec& spec = gang.spec;
            const bool fits = std::any_of(removed.begin(), removed.end(), [&spec](const model::GuaranteedShape& shape) {
                return shape.account == spec.account && spec.tasks <= shape.tasks
                    && spec.perTask.accelerators <= shape.perTask.accelerators;
            });
            const std::int64_t accelerators = spec.tasks * spec.perTask.accelerators.value();
            if (gang.borrowed || !fits || (!spec.idempotent && !spec.checkpointable)
                || left[spec.account] < accelerators || !reportedBorrowed(id, now).value_or(false))
                continue;
            left[spec.account] -= accelerators;
            gang.borrowed = true;
        }
    }

    void checkBorrowed(Timestamp now)
    {
        for (const auto& [id, gang] : running_) {
            if (reportedBorrowed(id, now).value_or(gang.borrowed) != gang.borrowed)
                addViolation("work reported as borrowed, or as not borrowed, against its guarantee", id);
        }
    }

    void addUse(const Gang& gang, std::int64_t sign)
    {
        for (const WorkerId& worker : gang.placement.workers) {
            used_[worker].cores += Cores(sign * gang.spec.perTask.cores.value());
            used_[worker].memory += Megabytes(sign * gang.spec.perTask.memory.value());
            used_[worker].accelerators += Accelerators(sign * gang.spec.perTask.accelerators.value());
        }
    }

    void applyStop(const StopDecision& stop)
    {
        const auto found = running_.find(stop.job);
        if (found == running_.end() || found->second.stopping)
            return addViolation("stop of a gang that is not running", stop.job);
        Gang& gang = found->second;
        const bool forOthers = stop.reason == StopReason::Reclaimed || stop.reason == StopReason::Defragmented;
        if (forOthers && !gang.borrowed)
            addViolation("stop of work that is not borrowed", stop.job);
        if (forOthers && !gang.spec.idempotent && !stop.checkpointFirst)
            addViolation("stop of non-idempotent work without a checkpoint", stop.job);
        gang.stopping = true;
        gang.reason = stop.reason;
    }

    void applyStart(const StartDecision& start, Timestamp now)
    {
        const model::JobSpec& spec = specs_.at(start.job);
        const bool isNonRestartable = !spec.idempotent && !spec.checkpointable;
        if (waiting_.erase(start.job) == 0)
            addViolation("start of a job that is not waiting", start.job);
        if (isNonRestartable && !startedNonRestartable_.insert(start.job).second)
            addViolation("second start of non-restartable work", start.job);
        if (isNonRestartable && start.borrowed)
            addViolation("start of non-restartable work on borrowed capacity", start.job);
        if (static_cast<std::int64_t>(start.placement.workers.size()) != spec.tasks)
            addViolation("partial gang", start.job);
        const Gang gang { spec, start.placement, start.borrowed, false, StopReason::Cancelled };
        addUse(gang, 1);
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
                addViolation("start on a worker that is not ready", gang.spec.id);
            if (used_[id].accelerators > worker.capacity.accelerators || used_[id].cores > worker.capacity.cores
                || used_[id].memory > worker.capacity.memory)
                addViolation("start exceeds the capacity of " + id.value(), gang.spec.id);
        }
        const model::Adjacency adjacency = gang.spec.adjacency;
        if ((adjacency == model::Adjacency::Worker && distinct.size() > 1)
            || (adjacency == model::Adjacency::Rack && racks.size() > 1)
            || (adjacency == model::Adjacency::NeighbouringRacks && racks.size() > 2))
            addViolation("gang violates its adjacency", gang.spec.id);
    }

    SchedulingPolicy& policy_;
    std::map<WorkerId, model::WorkerSpec> workers_;
    std::map<WorkerId, model::Resources> used_;
    std::map<JobId, model::JobSpec> specs_;
    std::map<JobId, Gang> running_;
    std::set<JobId> waiting_;
    std::set<JobId> startedNonRestartable_;
    std::vector<std::string> violations_;
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

// Account "moves" has one guaranteed gang of 16 tasks in one rack, account "quotes" two gangs of 4 tasks on one worker
// each.
inline PolicyConfig makeGuaranteedConfig(std::int64_t version)
{
    PolicyConfig config = makeConfig(version);
    config.declarations.guarantees
        = { makeShape("moves", 1, 16, model::Adjacency::Rack), makeShape("quotes", 2, 4, model::Adjacency::Worker) };
    return config;
}

} // namespace rosemarylink::policy::testing
