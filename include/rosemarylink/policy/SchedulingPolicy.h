#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::policy {

// The worker of each task of a gang, indexed by task number.
struct Placement {
    std::vector<WorkerId> workers;
};

struct PolicyConfig {
    ConfigVersion version;
    model::Declarations declarations; // with the guarantees of this cell only
};

// The result of an accepted submission.
struct Admission {
    Milliseconds expectedWait { 0 }; // estimated from observed run times; not guaranteed
};

enum class StopReason {
    Cancelled,
    Reclaimed, // the capacity is needed for a guarantee or for urgent work
    Defragmented, // stopped to make room for a large or non-restartable gang
    WorkerLeaving,
    WorkerLost,
};

// Starts all tasks of a gang. The policy counts its capacity as allocated from this decision on.
struct StartDecision {
    JobId job;
    Placement placement;
    bool borrowed = false; // outside the guarantee of the account; may be stopped to reclaim the capacity
    ConfigVersion version;
};

// Stops all tasks of a gang. Its capacity stays allocated until gangEnded is called. Unless the job was cancelled, it
// is queued again if it may run again; see JobDisposition.
struct StopDecision {
    JobId job;
    StopReason reason = StopReason::Cancelled;
    bool checkpointFirst = false;
    ConfigVersion version;
};

// A start is included only once its capacity is free: the stops that it needs were part of earlier decisions and have
// ended. No job is in both lists.
struct Decisions {
    std::vector<StopDecision> stops;
    std::vector<StartDecision> starts;
};

enum class GangOutcome {
    Completed,
    Failed, // a task exited with an error; the policy decides whether to retry
    Stopped, // ended by a StopDecision; a checkpoint that was written is kept
    WorkerLost, // ended because one of its workers was lost
    LaunchRefused, // a worker refused the launch; no task ran
};

// What happens to a job after its gang ended.
enum class JobDisposition {
    Finished, // the job reached a terminal state
    Requeued, // the job waits in the queue again
    MayHaveRun, // ends without a retry: it may have run, and is neither idempotent nor checkpointable
};

struct Explanation {
    std::string state; // "waiting", "running", "stopping" or "unknown"
    std::string reason; // human-readable sentence
    std::optional<Timestamp> reservedStart; // expected start, if capacity is reserved for the job
    std::vector<JobId> waitsFor; // the jobs that hold the reserved capacity
};

struct GuaranteeStatus {
    model::GuaranteedShape shape;
    std::int64_t gangsInUse = 0;
    bool reclaimable = true;
    Milliseconds reclaimTime { 0 }; // longest stop time among the borrowed work on its capacity
};

struct AccountStatus {
    AccountId account;
    std::int64_t waitingJobs = 0;
    std::int64_t runningJobs = 0;
    Accelerators acceleratorsInUse;
    Accelerators acceleratorsBorrowed;
};

struct PolicySnapshot {
    ConfigVersion version;
    model::Preset preset = model::Preset::Ordinary;
    std::vector<GuaranteeStatus> guarantees;
    std::vector<AccountStatus> accounts;
    std::int64_t largestFittingGang = 0; // in tasks of one accelerator each, in one rack
    // Share of the free accelerators, 0 to 1, that 32-task gangs could use if they did not have to fit into one rack.
    double fragmentation = 0;
    Accelerators freeAccelerators;
    std::vector<WorkerId> quarantined;
};

// Decides for one cell which jobs run, on which workers, and which are stopped. Implementations do no I/O, start no
// threads and read no clock. They are not thread-safe: the caller serializes all calls, and the timestamps of
// successive calls must not decrease.
class SchedulingPolicy {
public:
    virtual ~SchedulingPolicy() = default;

    // Adds a worker, or updates the state of a known one. Fails with Conflict if the id is known with another capacity,
    // rack, failure domain or region.
    virtual Status addWorker(const model::WorkerSpec&, Timestamp) = 0;

    // Has no effect for an unknown worker.
    virtual void setWorkerState(const WorkerId&, model::ResourceState, Timestamp) = 0;

    // Applies a configuration. Fails with Conflict if its version is lower than the current one.
    virtual Status configure(const PolicyConfig&, Timestamp) = 0;

    // Queues a job. Fails with InvalidArgument, and the reason, if the job can never run, and with NotFound if its
    // account is not declared. Submitting a known job again has no effect and succeeds.
    virtual Result<Admission> submit(const model::JobSpec&, Timestamp) = 0;

    // Adds a gang that already runs, when state is rebuilt after a restart or takeover. Fails with Conflict if the job
    // already holds capacity, with InvalidArgument if the placement does not list one worker for each task, with
    // NotFound if a worker is unknown, and with ResourceExhausted if a worker lacks the capacity.
    virtual Status restore(const model::JobSpec&, const Placement&, bool borrowed, Timestamp started) = 0;

    // Removes a waiting job, or has the next decision stop a running one. Has no effect for an unknown job.
    virtual void cancel(const JobId&, Timestamp) = 0;

    // Reports that all tasks of a StartDecision run.
    virtual void gangStarted(const JobId&, Timestamp) = 0;

    // Reports that no task of the gang runs any more, and frees its capacity. Gives Finished for an unknown job.
    virtual JobDisposition gangEnded(const JobId&, GangOutcome, Timestamp) = 0;

    // Reports the worker on which a task failed, for the quarantine of workers. Must be called before gangEnded.
    virtual void taskFailed(const JobId&, const WorkerId&, Timestamp) = 0;

    // Gives the decisions that are due. Must be called after events and periodically, since some decisions depend on
    // time.
    virtual Decisions decide(Timestamp) = 0;
    virtual Explanation explain(const JobId&, Timestamp) const = 0;
    virtual PolicySnapshot snapshot(Timestamp) const = 0;
};

// Creates the policy named "default", "fifo" or "backfill". Fails with NotFound for any other name.
Result<std::unique_ptr<SchedulingPolicy>> makePolicy(const std::string& name);

} // namespace rosemarylink::policy
