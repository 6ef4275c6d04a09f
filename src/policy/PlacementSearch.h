#pragma once

#include "CapacityIndex.h"

#include <optional>
#include <vector>

namespace rosemarylink::policy::internal {

struct GangShape {
    std::int64_t tasks = 0;
    ResourceVector perTask;
    model::Adjacency adjacency = model::Adjacency::Region;
    int region = none; // none: any region
};

inline bool operator==(const GangShape& a, const GangShape& b)
{
    return a.tasks == b.tasks && a.perTask == b.perTask && a.adjacency == b.adjacency && a.region == b.region;
}

// The workers and capacity that a search may use: for each worker what is free in the index, or in both indexes if
// there are two. Excluded workers are skipped.
struct SearchSpace {
    const Fleet& fleet;
    const CapacityIndex& free;
    const CapacityIndex* alsoFree = nullptr;
    const std::vector<char>* excluded = nullptr; // nonzero for excluded workers, by worker; nullptr excludes none

    std::int64_t fit(int worker, const ResourceVector& perTask, std::int64_t limit) const;
};

enum class FitRule {
    FirstFit, // the first placement in the order of the fleet
    BestFit, // the placement with the least capacity left over, partly used racks before empty ones
};

// The worker of each task of a gang, all tasks placed and adjacent as required; nullopt if there is no such placement.
std::optional<std::vector<int>> findPlacement(const SearchSpace&, const GangShape&, FitRule);

// The number of gangs of the shape that fit on the free capacity at the same time, each with the adjacency of the
// shape. A lower bound: gangs are counted greedily, rack by rack.
std::int64_t countGangs(const Fleet&, const CapacityIndex&, const GangShape&);

// The number of gangs that would fit if adjacency did not matter.
std::int64_t countGangsIgnoringAdjacency(const Fleet&, const CapacityIndex&, const GangShape&);

} // namespace rosemarylink::policy::internal
