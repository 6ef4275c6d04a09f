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
    AwaitingCapacity, // holds a placement on which other work is still being stopped
    Starting, // a StartDecision was given
    Running,
    Stopping, // a StopDecision was given
};

// On what terms a gang holds its capacity.
enum class CapacityClass {
    None,
    Guaranteed, // in a guaranteed slot of its account
    Dedicated, // outside all guaranteed slots; never stopped for other work
    Borrowed, // may overlap guaranteed slots; may be stopped to reclaim the capacity
};

// A worker on which a task of the job failed.
struct AvoidedWorker {
    int worker = none;
    Timestamp since;
};

struct Job {
    model::JobSpec spec;
    GangShape shape;
    std::uint64_t sequence = 0; // order of submission
    Phase phase = Phase::Waiting;
    CapacityClass capacityClass = CapacityClass::None;
    int slot = none; // the guaranteed slot that it uses
    std::vector<int> workers; // by task, while it is placed
    std::vector<std::pair<int, int>> tasksByWorker; // (worker, number of tasks), while it is placed
    bool reportedStarted = false; // gangStarted was called for the current run
    bool cancelled = false;
    int failures = 0;
    StopReason stopReason = StopReason::Cancelled;
    bool checkpointRequested = false; // a checkpoint was requested with the stop
    int defragmentationStops = 0; // number of stops with StopReason::Defragmented
    Timestamp submitted;
    Timestamp started; // start of the current run
    Timestamp notBefore; // earliest next launch, set after a refused launch
    Milliseconds progress { 0 }; // run time that checkpoints preserved
    std::vector<int> failedWorkers; // reported by taskFailed in the current run
    std::vector<AvoidedWorker> avoidedWorkers; // workers that the next attempts should not use
    Timestamp nextSlotReplan {}; // earliest time at which idle slots may be planned anew for it
    int probedWorker = none; // the quarantined worker that the current run probes

    bool isPlaced() const { return phase != Phase::Waiting; }
    // Whether a stopped run may be followed by another one. Only restartable jobs may be preempted.
    bool isRestartable() const { return spec.idempotent || spec.checkpointable; }
    std::int64_t accelerators() const { return shape.perTask.accelerators * shape.tasks; }
};

// The jobs of the cell by id, with the waiting and the placed ones in order of submission.
class JobTable {
public:
    Job& add(const model::JobSpec&, int region, Timestamp);
    Job* find(const JobId&) const;
    void remove(Job&);
    void enqueue(Job&); // puts it back at its original position in the queue
    void setPlaced(Job&, Phase);

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
