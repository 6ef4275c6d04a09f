#pragma once

#include "CellContext.h"

#include <map>
#include <set>

namespace rosemarylink::state::internal {

// What the owner currently does with a gang. The phase in the gang's record must be durable before the owner acts on
// it.
enum class GangStage {
    Reserving,
    Starting,
    Running,
    Checkpointing,
    Releasing,
    Ending, // waits until the job's terminal state is durable
};

// The tasks of a gang on one worker, and the progress of the orders for the current stage.
struct Member {
    WorkerId worker;
    std::int64_t tasks = 0;
    bool orderSent = false; // an order for this gang may have reached the worker
    bool orderInProgress = false; // one order at a time, so that a later order cannot overtake an earlier one
    bool acknowledged = false; // the worker has acknowledged the order of the current stage
    bool done = false; // the current stage is done on this worker
    bool completed = false;
    std::int64_t missingReports = 0; // consecutive reports without its tasks
    Milliseconds nextTry { 0 };
    Milliseconds acknowledgedAt { 0 };
    Milliseconds leaseUntil { 0 }; // the worker stops the tasks by then unless the lease is renewed
    TaskState reported = TaskState::Reserved;
};

struct Gang {
    model::JobSpec spec;
    records::GangRecord record; // as it should be stored
    std::optional<records::GangPhase> durablePhase; // the last phase known to be stored
    GangStage stage = GangStage::Reserving;
    Milliseconds stageSince { 0 };
    Milliseconds startedAt { 0 };
    std::vector<Member> members;
    std::optional<records::GangEnd> end;
    bool awaitingJobRecord = false; // neither stored nor launched until its job record is durable
    bool knownToPolicy = true;
    bool startWriteSent = false; // a write with the phase Starting was posted
    bool startOrdered = false; // a start order may have been sent, so tasks may have run
    bool startReported = false; // the policy knows of the start
    bool aborted = false; // stopped before a write with the phase Starting was posted
    bool jobEndDurable = false; // the job's terminal state is durable

    // Whether members may be stopped now: the stop is durable or need not be. It need not be for a gang that has lost a
    // member: the others must not keep running, and any owner reaches the same result from the workers' reports.
    bool mayStop() const;
    bool renewsLeases() const;
    bool allMembers(bool Member::*flag) const;
};

// The gangs of a cell, by job and by worker.
class GangTable {
public:
    Gang* find(const JobId&);
    const Gang* find(const JobId&) const;
    Gang* find(const JobId&, std::int64_t attempt);
    Gang& insert(Gang);
    // Removes a gang and returns the workers that hold no other gang.
    std::vector<WorkerId> erase(const JobId&);
    void clear();

    const std::map<JobId, Gang>& all() const { return gangs_; }
    std::map<JobId, Gang>& all() { return gangs_; }
    std::vector<JobId> jobsOn(const WorkerId&) const;
    // The jobs whose leases on the worker are to be renewed.
    std::vector<JobId> jobsToRenew(const WorkerId&) const;

    // Gangs in a stage that step() advances.
    std::vector<JobId> active() const { return { active_.begin(), active_.end() }; }
    void setActive(const JobId&, bool);

private:
    std::map<JobId, Gang> gangs_;
    std::map<WorkerId, std::set<JobId>> byWorker_;
    std::set<JobId> active_;
};

} // namespace rosemarylink::state::internal
