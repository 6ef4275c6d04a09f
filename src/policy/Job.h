#pragma once

#include "PlacementSearch.h"

#include "rosemarylink/policy/SchedulingPolicy.h"

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace rosemarylink::policy::internal {

enum class Phase {
    Waiting,
    Claiming, // holds a place whose earlier users are being stopped
    Starting, // a StartDecision was given
    Running,
    Stopping, // a StopDecision was given
};

// On which terms a gang holds its place.
enum class Hold {
    None,
    Guaranteed, // inside a guaranteed shape of its account
    Firm, // on capacity that no guarantee needs; never stopped for others
    Borrowed, // may be stopped for reclaiming
};

// A worker where a job failed.
struct AvoidedWorker {
    int worker = none;
    Timestamp since;
};

struct Job {
    model::JobSpec spec;
    GangShape shape;
    std::uint64_t sequence = 0; // order of submission
    Phase phase = Phase::Waiting;
    Hold hold = Hold::None;
    int slot = none; // the guaranteed slot that it runs in
    std::vector<int> workers; // by task, while it holds a place
    std::vector<std::pair<int, int>> parts; // worker and number of tasks there, while it holds a place
    bool reportedStarted = false; // gangStarted was called for the present run
    bool cancelled = false;
    int failures = 0;
    StopReason stopReason = StopReason::Cancelled;
    bool checkpointAsked = false; // by the stop
    int moves = 0; // stops to make room for others
    Timestamp submitted;
    Timestamp started; // of the present run
    Timestamp notBefore; // a launch that was refused waits until then
    Milliseconds progress { 0 }; // kept by checkpoints
    std::vector<int> failedWorkers; // reported by taskFailed in the present run
    std::vector<AvoidedWorker> avoided; // the next attempt goes elsewhere
    Timestamp nextFirmSearch {}; // when idle guaranteed places may be moved for it again
    int probed = none; // the quarantined worker that its present run probes

    bool holdsPlace() const { return phase != Phase::Waiting; }
    bool mayBeStopped() const { return spec.idempotent || spec.checkpointable; }
    std::int64_t accelerators() const { return shape.perTask.accelerators * shape.tasks; }
};

// All jobs of the cell, by id, and the waiting ones in order of submission.
class JobTable {
public:
    Job& add(const model::JobSpec&, int region, Timestamp);
    Job* find(const JobId&) const;
    void remove(Job&);
    void setWaiting(Job&); // queues it, in its original order
    void clearWaiting(Job&, Phase);

    const std::map<std::uint64_t, Job*>& waiting() const { return waiting_; }
    const std::map<std::uint64_t, Job*>& placed() const { return placed_; }
    std::size_t size() const { return jobs_.size(); }

private:
    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::map<std::uint64_t, Job*> waiting_;
    std::map<std::uint64_t, Job*> placed_;
    std::uint64_t nextSequence_ = 0;
};

} // namespace rosemarylink::policy::internal
