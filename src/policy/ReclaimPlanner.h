#pragma once

#include "Job.h"

#include <functional>
#include <optional>
#include <vector>

namespace rosemarylink::policy::internal {

// A place for a gang, and the work that has to stop before the gang can start there.
struct ReclaimPlan {
    std::vector<int> workers; // by task
    std::vector<Job*> stops; // may be empty
    double cost = 0; // accelerator-seconds that the stops lose
};

// What a plan may use. Work that is being stopped already counts as free at no cost.
struct ReclaimLimits {
    // The most of each worker that the gang may take, such as the room of a slot; nullptr sets no limit.
    std::function<Amount(int worker)> limit;
    // Whether a job may be stopped; only jobs that hold borrowed capacity are asked for.
    std::function<bool(const Job&)> mayStop;
    const std::vector<char>* closed = nullptr; // by worker
};

// Finds the cheapest set of borrowed work to stop so that a gang fits: the least lost work, checkpointed work first.
class ReclaimPlanner {
public:
    // Without checkpoints, stops are immediate, and capacity that waits for a checkpoint does not count as free.
    ReclaimPlanner(const Fleet& fleet, const Ledger& free, const std::vector<std::vector<Job*>>& jobsOn, Timestamp now,
        bool checkpoints)
        : fleet_(fleet)
        , free_(free)
        , jobsOn_(jobsOn)
        , now_(now)
        , checkpoints_(checkpoints)
    {
    }

    // The best plan within the given workers, which must satisfy the adjacency together; nothing when the gang does not
    // fit even after all permitted stops.
    std::optional<ReclaimPlan> within(const std::vector<int>& workers, const GangShape&, const ReclaimLimits&) const;

    // The cheapest plan over all places of the fleet that satisfy the adjacency.
    std::optional<ReclaimPlan> anywhere(const GangShape&, const ReclaimLimits&, const Ledger& capacity) const;

    // What stopping the job loses, in accelerator-seconds.
    double costOf(const Job&) const;

private:
    void keepCheaper(std::optional<ReclaimPlan>&, std::optional<ReclaimPlan>) const;

    const Fleet& fleet_;
    const Ledger& free_;
    const std::vector<std::vector<Job*>>& jobsOn_;
    Timestamp now_;
    bool checkpoints_;
};

// The size of a job for comparing costs: its accelerators, or for work without any, an eighth of its cores.
double jobSize(const Job&);

} // namespace rosemarylink::policy::internal
