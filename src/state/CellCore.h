#pragma once

#include "CellOwnership.h"
#include "GangLifecycle.h"
#include "JobLedger.h"
#include "PlacementsWriter.h"
#include "WorkerFleet.h"

namespace rosemarylink::state::internal {

// A change of one job's record that a caller's thread writes without the controller's lock.
struct JobWrite {
    std::uint64_t epoch = 0; // of the ownership under which it was prepared
    std::string key;
    Revision expected;
    records::JobRecord record;
};

enum class JobWriteOutcome {
    Written,
    NotWritten, // certainly
    Unknown,
};

// The state of a cell controller; CellController adds the lock and the calls that block.
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

    // A known job with this specification, or a Conflict with another one.
    Result<std::optional<Submission>> known(const model::JobSpec&) const;

    // Lets the policy admit a job whose record the caller will write; it is not launched until finishSubmit.
    Result<std::pair<Submission, JobWrite>> beginSubmit(const model::JobSpec&, const IdempotencyKey&);
    // The record as it is in the store now, when it was written or found.
    void finishSubmit(const JobWrite&, JobWriteOutcome, const std::optional<std::pair<records::JobRecord, Revision>>&);

    // The write that makes a cancellation durable, or nothing when the job has ended. Fails with NotFound.
    Result<std::optional<JobWrite>> beginCancel(const JobId&);
    void finishCancel(const JobWrite&, JobWriteOutcome, const std::optional<std::pair<records::JobRecord, Revision>>&);

    Result<policy::Explanation> explain(const JobId&) const;
    Result<JobStatus> job(const JobId&) const;
    Result<JobProgress> progress(const JobId&) const;
    std::vector<JobStatus> listJobs() const;
    CellSnapshot snapshot() const;

private:
    enum class Role {
        Away,
        Recovering, // collects the workers' reports
        Supervising, // keeps the gangs, and waits for the configuration that decisions were made under
        Owner,
    };

    CellOwnership::Handlers ownershipHandlers();
    PlacementsWriter::Handlers writerHandlers();
    GangLifecycle::Handlers gangHandlers();
    WorkerFleet::Handlers fleetHandlers();

    // Notes that the cell is lost; it is dropped at the end of the step, when no loop over its gangs is under way.
    void noteLost(const std::string& reason);
    void drop();
    void finishLeaving();
    void exportMetrics();
    Timestamp policyNow();

    void applyClaim(ClaimedCell);
    void stepRecovery();
    void takeUpGangs();
    bool mayDecide() const;
    bool leadsGangs() const { return role_ == Role::Supervising || role_ == Role::Owner; }
    void rebuildPolicy();
    void restoreGangs(std::initializer_list<GangStage>);
    void stopBrokenLaunches();
    void queueWaitingJobs();
    void admitAgain(const JobId&);

    void decide();
    void applyStart(const policy::StartDecision&);
    void applyStop(const policy::StopDecision&);
    void endGang(Gang&);
    std::optional<records::JobState> terminalStateOf(Gang&, policy::JobDisposition) const;
    policy::JobDisposition tellPolicy(Gang&, policy::GangOutcome);
    void eraseGang(const JobId&);
    void requeue(const JobId&);
    void jobEnded(const JobId&);
    void cancelKnown(const JobId&);
    records::PlacementsRecord placements();
    JobStatus statusOf(const LedgerEntry&) const;

    CellContext context_;
    CellOwnership ownership_;
    PlacementsWriter writer_;
    JobLedger ledger_;
    GangTable table_;
    GangLifecycle gangs_;
    WorkerFleet fleet_;

    Role role_ = Role::Away;
    std::unique_ptr<policy::SchedulingPolicy> policy_;
    std::optional<policy::PolicyConfig> config_;
    ConfigVersion highestConfig_; // that a decision in the record was made under
    std::optional<std::string> lostReason_;
    std::map<JobId, std::string> unadmitted_; // accepted jobs that the policy refused after a recovery
    std::set<JobId> pendingSubmits_; // their records are being written
    std::vector<std::pair<WorkerReport, Milliseconds>> recoveryReports_;
    std::vector<std::string> warnings_;
    Milliseconds recoveryEnds_ { 0 };
    Milliseconds nextDecision_ { 0 };
    Milliseconds nextMetrics_ { 0 };
    Milliseconds lastStep_ { 0 };
    bool decisionDue_ = false;
    std::int64_t launches_ = 0; // under this token
    Timestamp lastPolicyTime_;
    bool leaving_ = false;
    bool left_ = false;
};

} // namespace rosemarylink::state::internal
