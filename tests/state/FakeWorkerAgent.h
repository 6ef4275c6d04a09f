#pragma once

#include "ProcessFaults.h"

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/state/WorkerAgent.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylink::state::fakes {

// An in-memory fleet of workers that follows the contract of WorkerAgent, on the given clock. Finished tasks stay in
// the reports until they are released. connect() creates further clients of the same workers.
class FakeWorkerAgent final : public WorkerAgent {
public:
    struct Task {
        std::int64_t tasks = 0;
        model::Resources perTask;
        TaskState state = TaskState::Reserved;
        Milliseconds expires { 0 };
        Milliseconds checkpointEnds { 0 };
    };
    using TaskKey = std::pair<JobId, std::int64_t>;
    struct Worker {
        model::WorkerSpec spec;
        FencingToken highestToken;
        bool unreachable = false; // calls fail without effect; its tasks run until their lease expires
        bool loseReplies = false; // orders take effect, but no reply arrives
        bool refuse = false; // refuses reservations
        bool failTasks = false; // tasks fail as soon as they start
        std::optional<WorkerReport> staleReport; // returned instead of the current tasks
        std::map<TaskKey, Task> tasks;
    };

    explicit FakeWorkerAgent(const Clock& clock)
        : clock_(clock)
        , fleet_(std::make_shared<Fleet>())
    {
    }

    std::unique_ptr<FakeWorkerAgent> connect(std::shared_ptr<ProcessFaults> process = nullptr) const
    {
        auto client = std::make_unique<FakeWorkerAgent>(clock_);
        client->fleet_ = fleet_;
        client->process_ = std::move(process);
        return client;
    }

    bool cutOff = false; // this client cannot reach any worker
    std::set<WorkerId> cutOffFrom; // workers that this client cannot reach
    std::int64_t orders = 0; // sent by this client, without reports and lists
    std::int64_t refusedAsFenced = 0;

    void addWorker(model::WorkerSpec spec)
    {
        const WorkerId id = spec.id;
        fleet_->workers[id].spec = std::move(spec);
    }
    Worker& worker(const WorkerId& id) { return fleet_->workers.at(id); }
    std::map<WorkerId, Worker>& workers()
    {
        expireTasks();
        return fleet_->workers;
    }

    // Makes the worker reachable again, without its tasks unless they are kept.
    void restartWorker(const WorkerId& id, bool keepTasks)
    {
        Worker& worker = fleet_->workers.at(id);
        worker.unreachable = false;
        if (!keepTasks)
            worker.tasks.clear();
    }

    // Puts all running tasks of a job into a final state.
    void finishJob(const JobId& job, TaskState state)
    {
        const std::lock_guard lock(fleet_->mutex);
        for (auto& [id, worker] : fleet_->workers) {
            for (auto& [key, task] : worker.tasks) {
                if (key.first == job && task.state == TaskState::Running)
                    task.state = state;
            }
        }
    }

    // Makes a worker return its current report from now on, whatever its tasks do.
    void freezeReport(const WorkerId& id)
    {
        Worker& worker = fleet_->workers.at(id);
        worker.staleReport.reset();
        worker.staleReport = reportOf(worker);
    }

    // The attempts of a job of which at least one task has been started.
    std::set<std::int64_t> startedAttempts(const JobId& job) const
    {
        const auto found = fleet_->started.find(job);
        return found == fleet_->started.end() ? std::set<std::int64_t> {} : found->second;
    }

    // The number of running tasks of a job, including those being checkpointed.
    std::int64_t runningTasks(const JobId& job)
    {
        const std::lock_guard lock(fleet_->mutex);
        expireTasks();
        std::int64_t running = 0;
        for (const auto& [id, worker] : fleet_->workers) {
            for (const auto& [key, task] : worker.tasks) {
                if (key.first == job && (task.state == TaskState::Running || task.state == TaskState::Checkpointing))
                    running += task.tasks;
            }
        }
        return running;
    }

    Status reserve(const WorkerId& id, FencingToken token, const WorkerTasks& order, Milliseconds leaseTtl) override
    {
        return call<void>(id, &token, [&](Worker& worker) -> Status {
            if (worker.tasks.count({ order.job, order.attempt }) != 0)
                return okStatus();
            if (worker.refuse || !fits(worker, order))
                return makeError(ErrorCode::ResourceExhausted, "the capacity is not free");
            worker.tasks[{ order.job, order.attempt }]
                = { order.tasks, order.perTask, TaskState::Reserved, clock_.monotonic() + leaseTtl, Milliseconds(0) };
            return okStatus();
        });
    }

    Status start(const WorkerId& id, FencingToken token, const JobId& job, std::int64_t attempt) override
    {
        return call<void>(id, &token, [&](Worker& worker) -> Status {
            const auto task = worker.tasks.find({ job, attempt });
            if (task == worker.tasks.end())
                return makeError(ErrorCode::NotFound, "nothing is reserved");
            if (task->second.state != TaskState::Reserved)
                return okStatus();
            task->second.state = worker.failTasks ? TaskState::Failed : TaskState::Running;
            fleet_->started[job].insert(attempt);
            return okStatus();
        });
    }

    Result<WorkerReport> renew(
        const WorkerId& id, FencingToken token, const std::vector<JobId>& jobs, Milliseconds leaseTtl) override
    {
        return call<WorkerReport>(id, &token, [&](Worker& worker) -> Result<WorkerReport> {
            const std::set<JobId> renewed(jobs.begin(), jobs.end());
            for (auto& [key, task] : worker.tasks) {
                if (renewed.count(key.first) != 0)
                    task.expires = clock_.monotonic() + leaseTtl;
            }
            return reportOf(worker);
        });
    }

    Status release(const WorkerId& id, FencingToken token, const JobId& job, std::int64_t attempt) override
    {
        return call<void>(id, &token, [&](Worker& worker) -> Status {
            worker.tasks.erase({ job, attempt });
            return okStatus();
        });
    }

    Status checkpoint(const WorkerId& id, FencingToken token, const JobId& job, std::int64_t attempt) override
    {
        return call<void>(id, &token, [&](Worker& worker) -> Status {
            const auto task = worker.tasks.find({ job, attempt });
            if (task != worker.tasks.end() && task->second.state == TaskState::Running) {
                task->second.state = TaskState::Checkpointing;
                task->second.checkpointEnds = clock_.monotonic() + checkpointTime;
            }
            return okStatus();
        });
    }

    Status throttle(const WorkerId& id, FencingToken token, const JobId&, double) override
    {
        return call<void>(id, &token, [](Worker&) -> Status { return okStatus(); });
    }

    Result<WorkerReport> report(const WorkerId& id) override
    {
        return call<WorkerReport>(
            id, nullptr, [&](Worker& worker) -> Result<WorkerReport> { return reportOf(worker); });
    }

    Result<std::vector<model::WorkerSpec>> listWorkers() override
    {
        const std::lock_guard lock(fleet_->mutex);
        if (cutOff || (process_ && !process_->beginCall()))
            return unavailable("the platform cannot be reached", Verdict::NotRun);
        std::vector<model::WorkerSpec> specs;
        for (const auto& [id, worker] : fleet_->workers)
            specs.push_back(worker.spec);
        if (process_)
            process_->endCall();
        return specs;
    }

    Milliseconds checkpointTime { 2000 };

private:
    struct Fleet {
        std::recursive_mutex mutex;
        std::map<WorkerId, Worker> workers;
        std::map<JobId, std::set<std::int64_t>> started;
    };

    static bool fits(const Worker& worker, const WorkerTasks& order)
    {
        std::int64_t accelerators = order.perTask.accelerators.value() * order.tasks;
        std::int64_t cores = order.perTask.cores.value() * order.tasks;
        for (const auto& [key, task] : worker.tasks) {
            if (task.state == TaskState::Completed || task.state == TaskState::Failed
                || task.state == TaskState::Stopped)
                continue;
            accelerators += task.perTask.accelerators.value() * task.tasks;
            cores += task.perTask.cores.value() * task.tasks;
        }
        return accelerators <= worker.spec.capacity.accelerators.value() && cores <= worker.spec.capacity.cores.value();
    }

    static WorkerReport reportOf(const Worker& worker)
    {
        if (worker.staleReport)
            return *worker.staleReport;
        WorkerReport report { worker.spec.id, worker.highestToken, {} };
        for (const auto& [key, task] : worker.tasks)
            report.tasks.push_back({ key.first, key.second, task.tasks, task.state });
        return report;
    }

    void expireTasks()
    {
        const std::lock_guard lock(fleet_->mutex);
        for (auto& [id, worker] : fleet_->workers)
            expireTasks(worker);
    }

    // Drops reservations whose lease has expired. Running tasks with an expired lease become stopped and stay in the
    // report.
    void expireTasks(Worker& worker) const
    {
        for (auto at = worker.tasks.begin(); at != worker.tasks.end();) {
            Task& task = at->second;
            if (task.state == TaskState::Checkpointing && task.checkpointEnds <= clock_.monotonic())
                task.state = TaskState::Stopped;
            const bool lapsed = task.expires <= clock_.monotonic();
            if (lapsed && (task.state == TaskState::Running || task.state == TaskState::Checkpointing))
                task.state = TaskState::Stopped;
            if (lapsed && task.state == TaskState::Reserved)
                at = worker.tasks.erase(at);
            else
                ++at;
        }
    }

    template <typename T, typename Effect> Result<T> call(const WorkerId& id, const FencingToken* token, Effect effect)
    {
        const std::lock_guard lock(fleet_->mutex);
        if (token != nullptr)
            ++orders;
        if (cutOff || (process_ && !process_->beginCall()))
            return unavailable("the worker cannot be reached", Verdict::NotRun);
        const auto found = fleet_->workers.find(id);
        if (found == fleet_->workers.end() || found->second.unreachable || cutOffFrom.count(id) != 0)
            return unavailable("the worker cannot be reached", Verdict::NotRun);
        Worker& worker = found->second;
        expireTasks(worker);
        if (token != nullptr && *token < worker.highestToken) {
            ++refusedAsFenced;
            return makeError(ErrorCode::Fenced, "a later owner holds the cell");
        }
        if (token != nullptr)
            worker.highestToken = *token;
        Result<T> result = effect(worker);
        if (process_)
            process_->endCall();
        if (worker.loseReplies)
            return unavailable("no reply within the deadline", Verdict::MayHaveRun);
        return result;
    }

    const Clock& clock_;
    std::shared_ptr<Fleet> fleet_;
    std::shared_ptr<ProcessFaults> process_;
};

} // namespace rosemarylink::state::fakes
