#pragma once

#include "rosemarylink/policy/SchedulingPolicy.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::state::fakes {

// A minimal policy for tests of the state library: first in, first out, each gang on the first workers with free
// capacity. Considers accelerators and cores only, without guarantees or borrowing. requestStop() simulates a reclaim.
class FirstFitPolicy final : public policy::SchedulingPolicy {
public:
    Status addWorker(const model::WorkerSpec& spec, Timestamp) override
    {
        workers_[spec.id] = { spec.capacity.accelerators.value(), spec.capacity.cores.value(), spec.state };
        return okStatus();
    }

    void setWorkerState(const WorkerId& id, model::ResourceState state, Timestamp) override
    {
        const auto found = workers_.find(id);
        if (found != workers_.end())
            found->second.state = state;
    }

    Status configure(const policy::PolicyConfig& config, Timestamp) override
    {
        version_ = config.version;
        return okStatus();
    }

    Result<policy::Admission> submit(const model::JobSpec& spec, Timestamp) override
    {
        if (spec.perTask.accelerators.value() > 1000)
            return invalidArgument("no worker has so many accelerators");
        if (jobs_.count(spec.id) == 0) {
            jobs_[spec.id] = { spec, State::Waiting, {}, false };
            queue_.push_back(spec.id);
        }
        return policy::Admission {};
    }

    Status restore(const model::JobSpec& spec, const policy::Placement& placement, bool, Timestamp) override
    {
        std::vector<WorkerId> allocated;
        for (const WorkerId& worker : placement.workers) {
            if (!allocate(worker, spec.perTask)) {
                for (const WorkerId& earlier : allocated)
                    deallocate(earlier, spec.perTask);
                return makeError(ErrorCode::ResourceExhausted, "worker " + worker.value() + " lacks the capacity");
            }
            allocated.push_back(worker);
        }
        jobs_[spec.id] = { spec, State::Running, placement.workers, true };
        return okStatus();
    }

    void cancel(const JobId& id, Timestamp) override
    {
        const auto job = jobs_.find(id);
        if (job == jobs_.end())
            return;
        if (job->second.state == State::Waiting) {
            queue_.erase(std::remove(queue_.begin(), queue_.end(), id), queue_.end());
            jobs_.erase(job);
        } else {
            cancelled_.insert(id);
        }
    }

    // Stops a running gang at the next decision, as a reclaim does.
    void requestStop(const JobId& id, policy::StopReason reason, bool checkpointFirst)
    {
        stops_.push_back({ id, reason, checkpointFirst, version_ });
    }

    void gangStarted(const JobId& id, Timestamp) override
    {
        if (const auto job = jobs_.find(id); job != jobs_.end())
            job->second.started = true;
    }

    policy::JobDisposition gangEnded(const JobId& id, policy::GangOutcome outcome, Timestamp) override
    {
        const auto found = jobs_.find(id);
        if (found == jobs_.end())
            return policy::JobDisposition::Finished;
        Job& job = found->second;
        for (const WorkerId& worker : job.placement)
            deallocate(worker, job.spec.perTask);
        job.placement.clear();
        const bool once = job.started && !job.spec.idempotent && !job.spec.checkpointable;
        const bool wasCancelled = cancelled_.erase(id) != 0;
        const bool finished = outcome == policy::GangOutcome::Completed || outcome == policy::GangOutcome::Failed;
        if (finished || wasCancelled || once) {
            jobs_.erase(found);
            return finished || wasCancelled ? policy::JobDisposition::Finished : policy::JobDisposition::MayHaveRun;
        }
        job.state = State::Waiting;
        job.started = false;
        queue_.push_back(id);
        return policy::JobDisposition::Requeued;
    }

    void taskFailed(const JobId&, const WorkerId&, Timestamp) override { ++failedTasks; }

    policy::Decisions decide(Timestamp) override
    {
        policy::Decisions decisions;
        decisions.stops = std::move(stops_);
        stops_.clear();
        for (const JobId& id : cancelled_)
            decisions.stops.push_back({ id, policy::StopReason::Cancelled, false, version_ });
        std::vector<JobId> left;
        for (const JobId& id : queue_) {
            Job& job = jobs_.at(id);
            if (place(job)) {
                job.state = State::Running;
                decisions.starts.push_back({ id, { job.placement }, false, version_ });
            } else {
                left.push_back(id);
            }
        }
        queue_ = std::move(left);
        return decisions;
    }

    policy::Explanation explain(const JobId& id, Timestamp) const override
    {
        const auto job = jobs_.find(id);
        if (job == jobs_.end())
            return { "unknown", "The policy does not know the job.", std::nullopt, {} };
        return { job->second.state == State::Waiting ? "waiting" : "running", "First in, first out.", std::nullopt,
            {} };
    }

    policy::PolicySnapshot snapshot(Timestamp) const override
    {
        policy::PolicySnapshot snapshot;
        snapshot.version = version_;
        return snapshot;
    }

    std::int64_t failedTasks = 0;

private:
    enum class State { Waiting, Running };
    struct Worker {
        std::int64_t accelerators = 0;
        std::int64_t cores = 0;
        model::ResourceState state = model::ResourceState::Ready;
    };
    struct Job {
        model::JobSpec spec;
        State state = State::Waiting;
        std::vector<WorkerId> placement;
        bool started = false;
    };

    bool allocate(const WorkerId& id, const model::Resources& need)
    {
        const auto found = workers_.find(id);
        if (found == workers_.end() || found->second.accelerators < need.accelerators.value()
            || found->second.cores < need.cores.value())
            return false;
        found->second.accelerators -= need.accelerators.value();
        found->second.cores -= need.cores.value();
        return true;
    }

    void deallocate(const WorkerId& id, const model::Resources& need)
    {
        const auto found = workers_.find(id);
        if (found == workers_.end())
            return;
        found->second.accelerators += need.accelerators.value();
        found->second.cores += need.cores.value();
    }

    bool place(Job& job)
    {
        std::vector<WorkerId> chosen;
        for (const auto& [id, worker] : workers_) {
            if (worker.state != model::ResourceState::Ready)
                continue;
            while (static_cast<std::int64_t>(chosen.size()) < job.spec.tasks && allocate(id, job.spec.perTask))
                chosen.push_back(id);
        }
        if (static_cast<std::int64_t>(chosen.size()) == job.spec.tasks) {
            job.placement = std::move(chosen);
            return true;
        }
        for (const WorkerId& id : chosen)
            deallocate(id, job.spec.perTask);
        return false;
    }

    std::map<WorkerId, Worker> workers_;
    std::map<JobId, Job> jobs_;
    std::vector<JobId> queue_;
    std::set<JobId> cancelled_;
    std::vector<policy::StopDecision> stops_;
    ConfigVersion version_;
};

} // namespace rosemarylink::state::fakes
