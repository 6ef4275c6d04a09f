#pragma once

#include "Ledger.h"

#include <optional>
#include <vector>

namespace rosemarylink::policy::internal {

struct GangShape {
    std::int64_t tasks = 0;
    Amount perTask;
    model::Adjacency adjacency = model::Adjacency::Region;
    int region = none; // none: any region
};

inline bool operator==(const GangShape& a, const GangShape& b)
{
    return a.tasks == b.tasks && a.perTask == b.perTask && a.adjacency == b.adjacency && a.region == b.region;
}

// Where a gang may go: what each worker has free, in both ledgers when there are two, outside the closed workers.
struct SearchSpace {
    const Fleet& fleet;
    const Ledger& free;
    const Ledger* alsoFree = nullptr;
    const std::vector<char>* closed = nullptr; // by worker; nullptr closes none

    std::int64_t fit(int worker, const Amount& perTask, std::int64_t limit) const;
};

enum class FitRule {
    FirstFit, // the first place in the order of the fleet
    BestFit, // the place that destroys least: the smallest hole that is large enough, fragments before whole racks
};

// The worker of each task of a gang that fits whole and adjacent, or nothing.
std::optional<std::vector<int>> findPlacement(const SearchSpace&, const GangShape&, FitRule);

// How many gangs of the shape fit beside each other in the ledger, adjacent each, up to a limit.
std::int64_t countGangs(const Fleet&, const Ledger&, const GangShape&);

// How many gangs would fit if adjacency did not matter.
std::int64_t countGangsAnywhere(const Fleet&, const Ledger&, const GangShape&);

} // namespace rosemarylink::policy::internal
