#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/generated/Records.h"
#include "rosemarylink/policy/SchedulingPolicy.h"
#include "rosemarylink/state/Executor.h"
#include "rosemarylink/state/KeyValueStore.h"
#include "rosemarylink/state/WorkerAgent.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::state {

// The workers that belong to a cell: those of the region, and of the failure domain when one is given.
struct CellScope {
    CellId cell;
    RegionId region;
    std::optional<FailureDomainId> failureDomain;
};

// Intervals and time limits of a cell's ownership and of its gangs.
struct CellTimings {
    Milliseconds leaseTtl { 6000 }; // the cell's lease in the store
    Milliseconds leaseRenewal { 2000 };
    Milliseconds candidatePoll { 1000 }; // of the first two candidates; later ones poll less often, by their rank
    Milliseconds claimStagger { 500 }; // each candidate waits this much longer than its predecessor before it claims
    Milliseconds batchInterval { 100 }; // at most one write of the placements record per interval
    Milliseconds workerLeaseTtl { 20000 };
    Milliseconds workerRenewal { 6000 };
    Milliseconds idleWorkerPoll { 30000 }; // workers without gangs; finds orphaned tasks
    Milliseconds workerListPoll { 2500 }; // below 3 s, the time after which a leaving worker must get no new tasks
    Milliseconds orderRetryDelay { 1000 };
    Milliseconds launchTimeout { 15000 }; // per launch stage; a gang that exceeds it is stopped
    Milliseconds checkpointTimeout { 30000 };
    Milliseconds reportGrace { 12000 }; // a report may lack tasks that started less than this ago
    Milliseconds recoveryTimeout { 5000 }; // the longest wait for all workers' reports after a takeover
    Milliseconds storeRetryMaxDelay { 5000 }; // the upper limit of the jittered delay between retries
};

// The services that the controller uses. All must outlive it and the calls that it has posted.
struct CellDependencies {
    KeyValueStore& store;
    WorkerAgent& workers;
    const Clock& clock;
    Executor& storeCalls; // needs at least 2 threads, so that a slow write does not delay the lease renewal
    Executor& workerCalls;
    MetricsRegistry& metrics;
    std::function<std::unique_ptr<policy::SchedulingPolicy>()> makePolicy; // called at each takeover
    // Used by submit() and cancel(). A separate store client with its own call limit keeps a burst of submissions from
    // exhausting the limit of the owner's writes. Null: `store` is used.
    KeyValueStore* submissionStore = nullptr;
};

struct CellSettings {
    InstanceId self;
    CellScope scope;
    CellTimings timings;
    std::uint64_t seed = 0; // of the random jitter
};

enum class CellRole {
    Candidate, // another instance owns the cell, or none does
    Claiming, // is acquiring the lease and raising the fencing token
    Recovering, // owns the cell and collects its workers' reports; launches nothing yet
    Owner,
};

struct Submission {
    policy::Admission admission;
    bool existed = false; // the job had already been submitted; nothing was added
};

struct JobStatus {
    model::JobSpec spec;
    records::JobState state = records::JobState::Accepted;
    std::optional<records::GangPhase> phase; // while the job has a gang
    std::vector<records::GangMember> members;
    bool cancelRequested = false;
    std::optional<Timestamp> submitted;
    std::optional<Timestamp> launched; // when the current launch was decided; while the job has a gang
    std::optional<Timestamp> ended;
};

// The number of a job's tasks in each state, from its workers' reports.
struct JobProgress {
    JobId job;
    std::int64_t tasks = 0;
    std::int64_t reserved = 0;
    std::int64_t running = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    std::optional<Timestamp> since; // when the current launch was decided
};

struct CellSnapshot {
    CellId cell;
    CellRole role = CellRole::Candidate;
    std::optional<InstanceId> owner; // as last read from the store
    FencingToken token; // 0 before the first takeover by this instance
    ConfigVersion configVersion;
    bool storeReachable = true; // false: placements and submissions wait for the store
    std::int64_t waitingJobs = 0;
    std::int64_t launchingGangs = 0;
    std::int64_t runningGangs = 0;
    std::int64_t stoppingGangs = 0;
    std::int64_t workers = 0;
    std::optional<policy::PolicySnapshot> policy; // only while this instance is the owner
    std::vector<std::string> warnings; // jobs that the policy refused at recovery, unreadable records
};

// The owner of one cell, or a candidate for it. The owner holds the cell's lease and fencing token, writes each change
// of a gang to the store before it acts on it, and recovers all gangs at a takeover.
//
// step() never blocks on the store or a worker: it posts the calls to the executors and processes their results in a
// later step. Call it every 20 to 50 ms from one thread. All other methods may be called from any thread; submit() and
// cancel() block for a few store calls. Unless this instance is the owner, the methods on jobs fail with Unavailable
// and the verdict NotRun; the message names the owner if it is known.
class CellController {
public:
    CellController(CellSettings, CellDependencies);
    ~CellController();
    CellController(const CellController&) = delete;
    CellController& operator=(const CellController&) = delete;

    // Processes the results of earlier calls and posts the calls that are due. Returns true if results were processed,
    // so that the caller may step again at once.
    bool step();

    // Sets the policy's configuration, with the guarantees of this cell only. Fails with Conflict if the version is
    // lower than the current one. The cell is not claimed before the first configuration is set.
    Status configure(const policy::PolicyConfig&);

    // Sets the live schedulers that may own the cell, in any order. Their preference order decides which one claims it
    // first; `cells` lists all cells, which are then spread evenly over the schedulers. If this instance is not among
    // the candidates, it does not claim the cell.
    void setCandidates(const std::vector<InstanceId>&, const std::vector<CellId>& cells = {});

    // Overrides the state of a worker that the platform lists as ready, since the list lags. A listed state other than
    // ready takes precedence.
    void setWorkerState(const WorkerId&, model::ResourceState);

    // Accepts a job: on success its record is in the store. Fails with InvalidArgument or NotFound if the policy
    // refuses the job, with Conflict if the id exists with another specification, and with Unavailable if the store
    // cannot be reached or the ownership of the cell could not be confirmed. With the verdict MayHaveRun the record may
    // exist. The same submission may be repeated at any time.
    Result<Submission> submit(const model::JobSpec&, const IdempotencyKey& = {});

    // Cancels a job. On success the cancellation is in the store and is carried out by the next owner if this one
    // fails. Succeeds if the job has already ended.
    Status cancel(const JobId&);

    Result<policy::Explanation> explain(const JobId&) const;
    Result<JobStatus> job(const JobId&) const;
    Result<JobProgress> progress(const JobId&) const;

    // The jobs that have not ended and those that ended under this owner within the last hour, ordered by id.
    Result<std::vector<JobStatus>> listJobs() const;

    CellSnapshot snapshot() const;

    // Gives up the cell for a graceful shutdown: the lease is revoked once the store call in progress has ended, and
    // the cell is not claimed again. Running gangs continue under the next owner.
    void leave();

    // True once leave() has taken effect.
    bool hasLeft() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace rosemarylink::state
