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

// The times of a cell's ownership and of its gangs, with the values of the design page.
struct CellTimings {
    Milliseconds leaseTtl { 6000 }; // of the cell's lease in the store
    Milliseconds leaseRenewal { 2000 };
    Milliseconds candidatePoll { 1000 }; // of the first two candidates; those after them poll ever more slowly
    Milliseconds claimStagger { 500 }; // each candidate waits this much longer than the one before it to claim
    Milliseconds batchInterval { 100 }; // at most one placements write in this time
    Milliseconds workerLeaseTtl { 20000 };
    Milliseconds workerRenewal { 6000 };
    Milliseconds idleWorkerPoll { 30000 }; // of workers without tasks; finds orphaned tasks
    Milliseconds workerListPoll { 2500 }; // a leaving worker gets nothing new after 3 s
    Milliseconds orderRetry { 1000 };
    Milliseconds launchLimit { 15000 }; // a gang that has not started on all workers by then is stopped
    Milliseconds checkpointLimit { 30000 };
    Milliseconds reportGrace { 12000 }; // a report may miss tasks that were started less than this ago
    Milliseconds recoveryLimit { 5000 }; // waits this long for the reports of all workers after a takeover
    Milliseconds storeRetryMaximum { 5000 }; // the longest jittered delay between tries after a store failure
};

// What the controller is built on. All references outlive it and the calls that it has posted.
struct CellDependencies {
    KeyValueStore& store;
    WorkerAgent& workers;
    const Clock& clock;
    Executor& storeCalls; // at least 2 threads, so that a slow write does not delay the lease renewal
    Executor& workerCalls;
    MetricsRegistry& metrics;
    std::function<std::unique_ptr<policy::SchedulingPolicy>()> makePolicy; // called at each takeover
    // For the calls of submit and cancel, in a role of its own so that a burst of them does not use up the call limit
    // of the owner's writes. Null: the store above.
    KeyValueStore* submissionStore = nullptr;
};

struct CellSettings {
    InstanceId self;
    CellScope scope;
    CellTimings timings;
    std::uint64_t seed = 0; // of the jitter
};

enum class CellRole {
    Candidate, // another instance owns the cell, or none does
    Claiming, // acquires the lease and the fencing token
    Recovering, // owns the cell and reads its workers; nothing is launched yet
    Owner,
};

// What a submission came to.
struct Submission {
    policy::Admission admission;
    bool existed = false; // an earlier submission with the same id was found; nothing was added
};

struct JobStatus {
    model::JobSpec spec;
    records::JobState state = records::JobState::Accepted;
    std::optional<records::GangPhase> phase; // while the job has a gang
    std::vector<records::GangMember> members;
    bool cancelRequested = false;
    std::optional<Timestamp> submitted;
    std::optional<Timestamp> launched; // when the present launch was decided; while the job has a gang
    std::optional<Timestamp> ended;
};

// How far a running job is, from its workers' reports.
struct JobProgress {
    JobId job;
    std::int64_t tasks = 0;
    std::int64_t reserved = 0;
    std::int64_t running = 0;
    std::int64_t completed = 0;
    std::int64_t failed = 0;
    std::optional<Timestamp> since; // when its present launch was decided
};

struct CellSnapshot {
    CellId cell;
    CellRole role = CellRole::Candidate;
    std::optional<InstanceId> owner; // as last seen
    FencingToken token; // 0 before the first takeover by this instance
    ConfigVersion configVersion;
    bool storeReachable = true; // false: placements and jobs wait for the store
    std::int64_t waitingJobs = 0;
    std::int64_t launchingGangs = 0;
    std::int64_t runningGangs = 0;
    std::int64_t stoppingGangs = 0;
    std::int64_t workers = 0;
    std::optional<policy::PolicySnapshot> policy; // only while this instance is the owner
    std::vector<std::string> warnings; // jobs that recovery could not admit, records that could not be read
};

// The owner of one cell, or a candidate for it. It joins the policy, the store and the workers: it holds the cell's
// lease and fencing token, writes each change of a gang before it acts on it, and recovers all gangs at a takeover.
//
// step() never waits for the store or a worker: it posts their calls to the executors and takes up the results in a
// later step. Call it every 20 to 50 ms from one thread. All other methods may be called from any thread; submit and
// cancel block for at most a few calls of the store. When this instance is not the owner, the methods on jobs fail with
// Unavailable, NotRun and the owner's id in the message.
class CellController {
public:
    CellController(CellSettings, CellDependencies);
    ~CellController();
    CellController(const CellController&) = delete;
    CellController& operator=(const CellController&) = delete;

    // Takes up results and does what is due. True when something changed, so that another step may follow at once.
    bool step();

    // Sets the configuration to decide under, with the guarantees of this cell only. Lower versions are refused with
    // Conflict. A cell is not claimed before the first one is set.
    Status configure(const policy::PolicyConfig&);

    // Sets the live schedulers that may own the cell, in any order. The preference order among them decides who claims
    // it first; it spreads the cells evenly when all cells are given. Without this instance among the candidates, the
    // cell is not claimed.
    void setCandidates(const std::vector<InstanceId>&, const std::vector<CellId>& cells = {});

    // Sets a worker's state ahead of the platform's list; the list decides again once it reports a state other than
    // ready.
    void setWorkerState(const WorkerId&, model::ResourceState);

    // Accepts a job: on success its record is in the store. Fails with InvalidArgument or NotFound when the policy
    // refuses it, with Conflict when the id exists with another specification, and with Unavailable when the store or
    // the cell's ownership is in doubt; MayHaveRun then says that the record may exist, and the same submission may be
    // repeated at any time.
    Result<Submission> submit(const model::JobSpec&, const IdempotencyKey& = {});

    // Ends a job. On success the wish is in the store and survives the owner. Success when the job has ended already.
    Status cancel(const JobId&);

    Result<policy::Explanation> explain(const JobId&) const;
    Result<JobStatus> job(const JobId&) const;
    Result<JobProgress> progress(const JobId&) const;

    // The jobs that have not ended and those that ended under this owner within the last hour, ordered by id.
    Result<std::vector<JobStatus>> listJobs() const;

    CellSnapshot snapshot() const;

    // Gives the cell up: the lease is revoked once the calls in progress have ended, and the cell is not claimed again.
    // For a graceful shutdown; running gangs go on under the next owner.
    void leave();

    // True once leave() has taken effect.
    bool hasLeft() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace rosemarylink::state
