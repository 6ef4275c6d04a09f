#pragma once

#include "CellContext.h"

#include <map>
#include <set>

namespace rosemarylink::state::internal {

// What the owner does with a gang now. The phase in its record is the intention that must be durable first.
enum class GangStage {
    Reserving,
    Starting,
    Running,
    Checkpointing,
    Releasing,
    Ending, // waits for the job's terminal state to be durable
};

struct Member {
    WorkerId worker;
    std::int64_t tasks = 0;
    bool sent = false; // an order of this gang may have reached the worker
    bool inProgress = false; // one order at a time, so that a later one cannot overtake it
    bool acknowledged = false; // the present stage's order took effect
    bool done = false; // with the present stage
    bool completed = false;
    std::int64_t missing = 0; // reports in a row without its tasks
    Milliseconds nextTry { 0 };
    Milliseconds acknowledgedAt { 0 };
    Milliseconds leaseUntil { 0 }; // its tasks have ended by then unless the lease is renewed
    TaskState reported = TaskState::Reserved;
};

struct Gang {
    model::JobSpec spec;
    records::GangRecord record; // as it should be stored
    std::optional<records::GangPhase> written; // the last durable phase
    GangStage stage = GangStage::Reserving;
    Milliseconds stageSince { 0 };
    Milliseconds startedAt { 0 };
    std::vector<Member> members;
    std::optional<records::GangEnd> end;
    bool held = false; // its job record is not durable yet; it is neither stored nor launched
    bool knownToPolicy = true;
    bool startOffered = false; // a write with the phase starting has left
    bool startOrdered = false; // a task may have run
    bool startReported = false; // to the policy
    bool aborted = false; // given up before the phase starting was offered to the store
    bool terminal = false; // the job's terminal state is durable

    // Whether members may be stopped now: the stop is durable, or nothing of it needs to be. A gang that has lost a
    // member must not go on with the others, and every owner comes to the same end from its workers' reports.
    bool mayStop() const;
    bool renewsLeases() const;
    bool all(bool Member::*flag) const;
};

// The gangs of a cell, by job and by worker.
class GangTable {
public:
    Gang* find(const JobId&);
    const Gang* find(const JobId&) const;
    Gang* find(const JobId&, std::int64_t attempt);
    Gang& insert(Gang);
    // Removes a gang; the workers that hold no other are returned.
    std::vector<WorkerId> erase(const JobId&);
    void clear();

    const std::map<JobId, Gang>& all() const { return gangs_; }
    std::map<JobId, Gang>& all() { return gangs_; }
    std::vector<JobId> on(const WorkerId&) const;
    std::vector<JobId> toRenew(const WorkerId&) const;

    // Gangs with orders to give or to wait for.
    std::vector<JobId> active() const { return { active_.begin(), active_.end() }; }
    void setActive(const JobId&, bool);

private:
    std::map<JobId, Gang> gangs_;
    std::map<WorkerId, std::set<JobId>> byWorker_;
    std::set<JobId> active_;
};

} // namespace rosemarylink::state::internal
