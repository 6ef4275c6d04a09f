#pragma once

#include "PlannerFleet.h"

#include <cstddef>
#include <optional>
#include <vector>

// Load pattern: urgent work arrives faster than running work ends, on workers full of small tasks. What is stopped must
// make room where the urgent tasks fit: a task that needs a whole worker gains nothing from capacity freed on many. The
// cheapest way to make room for one more task is therefore found worker by worker.
//
// What a step may preempt follows one order of all work, so that no two units of work can ever stop each other in turn:
// by priority, then work within a guarantee before other work of the highest priority, then, of guaranteed work, by the
// accelerators that a unit needs at once, larger ones first. A unit is a gang, or a single task that is in none. Only
// what is strictly later in this order is preempted.
namespace rosemarylink::jobs::internal {

struct PreemptionChoice {
    double lostCoreSeconds = 0;
    std::vector<std::size_t> work; // indices into PlanInput::running, ascending
};

class PreemptionChooser {
public:
    PreemptionChooser(const PlanInput&, PlannerFleet&);

    // Returns the work whose end makes all tasks of the step fit on the candidates, at the smallest loss that is found;
    // nullopt if there is none.
    std::optional<PreemptionChoice> choose(const PlanStep&, const FleetWorkers& candidates);

    // Counts the chosen work's resources as being released. The work is not chosen again.
    void stop(const PreemptionChoice&);

private:
    struct Share {
        std::size_t work;
        Resources resources;
    };
    // The victims that make room for further tasks on a worker, besides those of the worker's earlier groups. Counts
    // the tasks instead of listing a place for each, so that the size of all groups is bounded by the running work.
    struct VictimGroup {
        double cost = 0;
        std::vector<std::size_t> work;
        int tasks = 0;
    };

    // Work that urgent steps may preempt, and work that any step of a higher priority may preempt.
    enum class Reach { Urgent, Others };

    void buildIndex();
    static bool isWithin(Reach, const PreemptibleWork&);
    // Upper limit on the number of the step's tasks that fit on the worker after preemptions.
    int mostOn(const PlanStep&, std::size_t worker) const;
    std::size_t indexOf(const FleetWorker& worker) const;
    bool mayPreempt(const PlanStep&, std::size_t work) const;
    int capacityWith(const PlanStep&, std::size_t worker, const Resources& freed) const;
    // Groups that make room for `needed` tasks on the worker, or for as many as possible, in the order in which they
    // are to be stopped.
    std::vector<VictimGroup> victimsOn(const PlanStep&, std::size_t worker, std::int64_t needed) const;
    // Drops work that is not needed, most expensive first, because a stopped gang frees capacity on several workers.
    void dropNeedless(const PlanStep&, const FleetWorkers& candidates, PreemptionChoice&) const;

    const PlanInput& input_;
    PlannerFleet& fleet_;
    bool indexed_ = false;
    std::vector<std::vector<Share>> runningOn_; // by worker
    std::vector<Resources> preemptible_[2]; // by reach and worker
    std::vector<std::vector<std::size_t>> workersOf_; // by work
    std::vector<bool> stopped_; // by work
};

} // namespace rosemarylink::jobs::internal
