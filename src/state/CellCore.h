#pragma once

#include "CellOwnership.h"
#include "GangLifecycle.h"
#include "JobLedger.h"
#include "PlacementsWriter.h"
#include "WorkerFleet.h"

namespace rosemarylink::state::internal {

// A change to one job record, prepared under the controller's lock and written by the calling thread without it.
struct JobWrite {
    std::uint64_t epoch = 0; // of the ownership under which it was prepared
    std::string key;
    Revision expected;
    records::JobRecord record;
};

enum class JobWriteOutcome {
    Written,
    NotWritten,
    Unknown, // no reply: the record may have been written
};

// The implementation of CellController without locking and blocking calls. All methods need the controller's lock.
class CellCore {
public:
    CellCore(CellSettings, CellDependencies);

    bool step();
    Status configure(const policy::PolicyConfig&);
    void setCandidates(const std::vector<InstanceId>&, const std::vector<CellId>&);
    void setWorkerState(const WorkerId&, model::ResourceState);
    void leave();
    bool hasLeft() const { return left_; }

    // Fails unless this instance owns the cell and has recovered it.
    Status checkOwner() const;
    std::uint64_t epoch() const { return context_.epoch; }
    FencingToken token() const { return context_.token; }
    const OperationId& leaseOperation() const { return ownership_.leaseOperation(); }

    // The earlier submission of the same job, if there is one. Fails with Conflict if its specification differs.
    Result<std::optional<Submission>> findEarlier(const model::JobSpec&) const;

    // Has the policy admit a job, whose record the caller then writes. The job is not launched before finishSubmit().
    Result<std::pair<Submission, JobWrite>> beginSubmit(const model::JobSpec&, const IdempotencyKey&);
    // Completes a submission. The last argument is the stored record, if it was written or found.
    void finishSubmit(const JobWrite&, JobWriteOutcome, const std::optional<std::pair<records::JobRecord, Revision>>&);

    // The write that makes a cancellation durable, or nothing if the job has ended. Fails with NotFound for an unknown
    // job.
    Result<std::optional<JobWrite>> beginCancel(const JobId&);
    void finishCancel(const JobWrite&, JobWriteOutcome, const std::optional<std::pair<records::JobRecord, Revision>>&);

    Result<policy::Explanation> explain(const JobId&) const;
    Result<JobStatus> job(const JobId&) const;
    Result<JobProgress> progress(const JobId&) const;
    std::vector<JobStatus> listJobs() const;
    CellSnapshot snapshot() const;

private:
    enum class Role {
        NotOwner,
        Recovering, // collects the workers' reports
        Supervising, // manages the gangs, and waits for the configuration version of the earlier owner's decisions
        Owner,
    };

    CellOwnership::Handlers ownershipHandlers();
    PlacementsWriter::Handlers writerHandlers();
    GangLifecycle::Handlers gangHandlers();
    WorkerFleet::Handlers fleetHandlers();

    // Records that the cell is lost. The state is dropped at the end of the step, when no loop iterates over the gangs.
    void scheduleDrop(const std::string& reason);
    void dropCell();
    void finishLeaving();
    void exportMetrics();
    Timestamp policyNow();

    void applyClaim(ClaimedCell);
    void stepRecovery();
    void resumeGangs();
    bool mayDecide() const;
    bool managesGangs() const { return role_ == Role::Supervising || role_ == Role::Owner; }
    void rebuildPolicy();
    void restoreGangs(std::initializer_list<GangStage>);
    void stopIncompleteLaunches();
    void queueWaitingJobs();
    void resubmit(const JobId&);

    void decide();
    void applyStart(const policy::StartDecision&);
    void applyStop(const policy::StopDecision&);
    void endGang(Gang&);
    std::optional<records::JobState> terminalStateOf(Gang&, policy::JobDisposition) const;
    policy::JobDisposition reportGangEnd(Gang&, policy::GangOutcome);
    void eraseGang(const JobId&);
    void requeue(const JobId&);
    void jobEnded(const JobId&);
    void applyCancellation(const JobId&);
    records::PlacementsRecord placements();
    JobStatus statusOf(const LedgerEntry&) const;

    CellContext context_;
    CellOwnership ownership_;
    PlacementsWriter writer_;
    JobLedger ledger_;
    GangTable table_;
    GangLifecycle gangs_;
    WorkerFleet fleet_;

    Role role_ = Role::NotOwner;
    std::unique_ptr<policy::SchedulingPolicy> policy_;
    std::optional<policy::PolicyConfig> config_;
    ConfigVersion highestConfig_; // the highest version under which a stored decision was made
    std::optional<std::string> lostReason_;
    std::map<JobId, std::string> refusedJobs_; // accepted jobs that the policy refused when they were queued again
    std::set<JobId> pendingSubmits_; // jobs whose first record is being written
    std::vector<std::pair<WorkerReport, Milliseconds>> recoveryReports_;
    std::vector<std::string> warnings_;
    Milliseconds recoveryEnds_ { 0 };
    Milliseconds nextDecision_ { 0 };
    Milliseconds nextMetrics_ { 0 };
    Milliseconds lastStep_ { 0 };
    bool decisionDue_ = false;
    std::int64_t launches_ = 0; // launches under the current token
    Timestamp lastPolicyTime_;
    bool leaving_ = false;
    bool left_ = false;
};

} // namespace rosemarylink::state::internal
