#pragma once

#include "Job.h"

#include <functional>
#include <optional>
#include <vector>

namespace rosemarylink::policy::internal {

// A placement for a gang, and the jobs that must be stopped before the gang can start there.
struct ReclaimPlan {
    std::vector<int> workers; // by task
    std::vector<Job*> stops; // may be empty
    double cost = 0; // accelerator-seconds lost by the stops
};

// What a plan may use. Capacity of work that is already being stopped counts as free at no cost.
struct ReclaimLimits {
    // The capacity of each worker that the gang may use, such as the remaining capacity of a slot; nullptr sets no
    // limit.
    std::function<ResourceVector(int worker)> workerLimit;
    // Whether a job may be stopped. Only called for jobs on borrowed capacity.
    std::function<bool(const Job&)> mayStop;
    const std::vector<char>* excluded = nullptr; // nonzero for excluded workers, by worker
};

// Plans which borrowed work to stop so that a gang fits. The search is greedy and prefers stops that lose the least
// work; checkpointable work loses little.
class ReclaimPlanner {
public:
    // Without checkpoints, stops take effect at once, and capacity of work that still writes a checkpoint does not
    // count as free.
    ReclaimPlanner(const Fleet& fleet, const CapacityIndex& free, const std::vector<std::vector<Job*>>& jobsOn,
        Timestamp now, bool checkpoints)
        : fleet_(fleet)
        , free_(free)
        , jobsOn_(jobsOn)
        , now_(now)
        , checkpoints_(checkpoints)
    {
    }

    // Gives the plan within the given workers, which must satisfy the adjacency of the gang together, or nullopt if the
    // gang does not fit even after all permitted stops.
    std::optional<ReclaimPlan> planWithin(
        const std::vector<int>& workers, const GangShape&, const ReclaimLimits&) const;

    // Gives the cheapest plan over all worker groups that satisfy the adjacency on the given capacity of the empty
    // fleet.
    std::optional<ReclaimPlan> planAnywhere(
        const GangShape&, const ReclaimLimits&, const CapacityIndex& capacity) const;

    // The cost of stopping the job, in accelerator-seconds.
    double stopCost(const Job&) const;

private:
    void keepCheaper(std::optional<ReclaimPlan>&, std::optional<ReclaimPlan>) const;

    const Fleet& fleet_;
    const CapacityIndex& free_;
    const std::vector<std::vector<Job*>>& jobsOn_;
    Timestamp now_;
    bool checkpoints_;
};

// The size of a job for comparing costs: its accelerators, or an eighth of its cores if it uses none.
double jobSize(const Job&);

} // namespace rosemarylink::policy::internal
