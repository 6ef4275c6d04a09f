#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <string>
#include <vector>

namespace rosemarylink::state {

// The tasks of one gang on one worker.
struct WorkerTasks {
    JobId job;
    std::int64_t attempt = 0; // higher at each launch of the job
    std::int64_t tasks = 0;
    model::Resources perTask;
    std::string command; // what each task executes
};

enum class TaskState { Reserved, Running, Checkpointing, Completed, Failed, Stopped };

struct TaskReport {
    JobId job;
    std::int64_t attempt = 0;
    std::int64_t tasks = 0;
    TaskState state = TaskState::Reserved;
};

// The tasks that a worker reports; may lag behind their actual state.
struct WorkerReport {
    WorkerId worker;
    FencingToken highestToken;
    std::vector<TaskReport> tasks;
};

// Sends orders to the platform's workers. Each order carries the cell's fencing token; a worker refuses an order whose
// token is lower than the highest one it has seen, with Fenced. Orders are idempotent for the same job and attempt.
// Implementations must be safe to use from several threads. A failed order that may have taken effect carries the
// verdict MayHaveRun.
class WorkerAgent {
public:
    virtual ~WorkerAgent() = default;

    // Reserves the capacity under a lease. Fails with ResourceExhausted if it is not free.
    virtual Status reserve(const WorkerId&, FencingToken, const WorkerTasks&, Milliseconds leaseTtl) = 0;

    // Starts reserved tasks. Fails with NotFound when they are not reserved.
    virtual Status start(const WorkerId&, FencingToken, const JobId&, std::int64_t attempt) = 0;

    // Renews the leases of the listed jobs' tasks in one call; the leases of other tasks are unchanged.
    virtual Result<WorkerReport> renew(const WorkerId&, FencingToken, const std::vector<JobId>&, Milliseconds leaseTtl)
        = 0;

    // Drops a reservation or stops running tasks. Succeeds if there are none.
    virtual Status release(const WorkerId&, FencingToken, const JobId&, std::int64_t attempt) = 0;
    virtual Status checkpoint(const WorkerId&, FencingToken, const JobId&, std::int64_t attempt) = 0;
    virtual Status throttle(const WorkerId&, FencingToken, const JobId&, double share) = 0;

    virtual Result<WorkerReport> report(const WorkerId&) = 0;

    // The platform's list of workers; may lag behind their actual state.
    virtual Result<std::vector<model::WorkerSpec>> listWorkers() = 0;
};

} // namespace rosemarylink::state
