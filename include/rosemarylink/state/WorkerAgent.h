#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <string>
#include <vector>

namespace rosemarylink::state {

// The tasks of one gang on one worker.
struct WorkerTasks {
    JobId job;
    std::int64_t attempt = 0; // rises with each launch of the job
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

// What a worker says of itself; it lags behind the truth.
struct WorkerReport {
    WorkerId worker;
    FencingToken highestToken;
    std::vector<TaskReport> tasks;
};

// Orders to the platform's workers. Each carries the cell's fencing token; a worker refuses one that is lower than the
// highest it has seen with Fenced. Orders are idempotent for the same job and attempt. Safe to use from several
// threads. A failure carries MayHaveRun when the order may have taken effect.
class WorkerAgent {
public:
    virtual ~WorkerAgent() = default;

    // Holds the capacity under a lease. Fails with ResourceExhausted when it is not free.
    virtual Status reserve(const WorkerId&, FencingToken, const WorkerTasks&, Milliseconds leaseTtl) = 0;

    // Starts reserved tasks. Fails with NotFound when they are not reserved.
    virtual Status start(const WorkerId&, FencingToken, const JobId&, std::int64_t attempt) = 0;

    // Renews the lease of all listed gangs on the worker with one call; the others' leases run on.
    virtual Result<WorkerReport> renew(const WorkerId&, FencingToken, const std::vector<JobId>&, Milliseconds leaseTtl)
        = 0;

    // Drops a reservation or stops running tasks; success when there are none.
    virtual Status release(const WorkerId&, FencingToken, const JobId&, std::int64_t attempt) = 0;
    virtual Status checkpoint(const WorkerId&, FencingToken, const JobId&, std::int64_t attempt) = 0;
    virtual Status throttle(const WorkerId&, FencingToken, const JobId&, double share) = 0;

    virtual Result<WorkerReport> report(const WorkerId&) = 0;

    // The platform's list of workers; it lags behind the truth.
    virtual Result<std::vector<model::WorkerSpec>> listWorkers() = 0;
};

} // namespace rosemarylink::state
