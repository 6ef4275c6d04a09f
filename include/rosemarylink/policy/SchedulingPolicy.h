#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::policy {

// Where each task of a gang runs; the index is the task number.
struct Placement {
    std::vector<WorkerId> workers;
};

struct PolicyConfig {
    ConfigVersion version;
    model::Declarations declarations; // its guarantees are those of this cell only
};

// The answer to a submission that was not refused.
struct Admission {
    Milliseconds expectedWait { 0 }; // an estimate from learned run times; no promise
};

enum class StopReason {
    Cancelled,
    Reclaimed, // a guarantee or urgent work needs the capacity
    Defragmented, // will be started again elsewhere
    WorkerLeaving,
    WorkerLost,
};

// Starts a whole gang; the policy counts its capacity as taken from now on.
struct StartDecision {
    JobId job;
    Placement placement;
    bool borrowed = false; // beyond the account's guarantee; may be stopped for reclaiming
    ConfigVersion version;
};

// Stops a whole gang; its capacity is free after gangEnded. Unless it was cancelled, the job waits again.
struct StopDecision {
    JobId job;
    StopReason reason = StopReason::Cancelled;
    bool checkpointFirst = false;
    ConfigVersion version;
};

// Stops come before the starts that need their capacity; a start is only given once its capacity is free.
struct Decisions {
    std::vector<StopDecision> stops;
    std::vector<StartDecision> starts;
};

enum class GangOutcome {
    Completed,
    Failed, // a task exited with an error; the policy decides whether it may run again
    Stopped, // ended by a StopDecision; any checkpoint is kept
    WorkerLost, // ended because a member was lost
    LaunchRefused, // a worker refused the reservation; nothing ran
};

// What became of a job when its gang ended.
enum class JobDisposition {
    Finished, // the job record gets its terminal state
    Requeued, // waits again
    MayHaveRun, // not idempotent, without checkpoint, and started before: ends without another start
};

struct Explanation {
    std::string state; // "waiting", "running", "stopping" or "unknown"
    std::string reason; // one sentence for people
    std::optional<Timestamp> reservedStart; // when the job holds a reservation
    std::vector<JobId> waitsFor; // the running jobs that hold what it needs
};

struct GuaranteeStatus {
    model::GuaranteedShape shape;
    std::int64_t gangsInUse = 0;
    bool reclaimable = true;
    Milliseconds reclaimTime { 0 }; // the longest stop among the work that would be stopped
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
    std::int64_t largestFittingGang = 0; // tasks of one accelerator each, adjacent in one rack
    double fragmentation = 0; // share of free accelerators that the reference gang cannot use
    Accelerators freeAccelerators;
    std::vector<WorkerId> quarantined;
};

// Decides who runs, where, and who is stopped, for one cell. Pure: no I/O, no threads, no clock of its own. Callers
// serialize all calls. Time must not go back between calls.
class SchedulingPolicy {
public:
    virtual ~SchedulingPolicy() = default;

    // Fails with Conflict when the id is known already with another shape.
    virtual Status addWorker(const model::WorkerSpec&, Timestamp) = 0;
    virtual void setWorkerState(const WorkerId&, model::ResourceState, Timestamp) = 0;

    // Takes a new configuration. Fails when the version is lower than the present one.
    virtual Status configure(const PolicyConfig&, Timestamp) = 0;

    // Queues a job. Fails with InvalidArgument when it can never run, with the reason, and with NotFound when the
    // account is not declared. A job that is known already is admitted again without effect.
    virtual Result<Admission> submit(const model::JobSpec&, Timestamp) = 0;

    // Takes over a gang that already runs, after recovery. Fails when a worker is unknown or lacks the capacity.
    virtual Status restore(const model::JobSpec&, const Placement&, bool borrowed, Timestamp started) = 0;

    virtual void cancel(const JobId&, Timestamp) = 0;
    virtual void gangStarted(const JobId&, Timestamp) = 0;
    virtual JobDisposition gangEnded(const JobId&, GangOutcome, Timestamp) = 0;

    // Reports the worker on which a task failed, before gangEnded; it feeds the quarantine.
    virtual void taskFailed(const JobId&, const WorkerId&, Timestamp) = 0;

    virtual Decisions decide(Timestamp) = 0;
    virtual Explanation explain(const JobId&, Timestamp) const = 0;
    virtual PolicySnapshot snapshot(Timestamp) const = 0;
};

// The policies by name: "default", "fifo" and "backfill". Fails with NotFound for another name.
Result<std::unique_ptr<SchedulingPolicy>> makePolicy(const std::string& name);

} // namespace rosemarylink::policy
