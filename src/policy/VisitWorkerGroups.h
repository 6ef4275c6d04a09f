#pragma once

#include "CapacityIndex.h"
#include "PlacementSearch.h"

#include <vector>

namespace rosemarylink::policy::internal {

// Calls visit(workers) for each worker, rack or pair of neighbouring racks, by the adjacency of the gang, that could
// hold the gang on the given capacity of the empty fleet. Pairs are visited only for racks that cannot hold the gang
// alone. Gangs with Adjacency::Region get racks and pairs of racks only.
template <typename Visit>
void visitWorkerGroups(const Fleet& fleet, const CapacityIndex& capacity, const GangShape& gang, Visit&& visit)
{
    const ResourceVector need = gang.perTask * gang.tasks;
    for (int rack = 0; rack < static_cast<int>(fleet.racks().size()); ++rack) {
        const Rack& here = fleet.rack(rack);
        if (gang.region != none && here.region != gang.region)
            continue;
        if (gang.adjacency == model::Adjacency::Worker) {
            for (const int worker : here.workers) {
                if (capacity.free(worker).covers(need))
                    visit(std::vector<int> { worker });
            }
            continue;
        }
        if (capacity.rackFree(rack).covers(need)) {
            visit(here.workers);
            continue;
        }
        if (gang.adjacency == model::Adjacency::Rack || here.nextRack == none)
            continue;
        ResourceVector both = capacity.rackFree(rack);
        both += capacity.rackFree(here.nextRack);
        if (!both.covers(need))
            continue;
        std::vector<int> workers = here.workers;
        const auto& more = fleet.rack(here.nextRack).workers;
        workers.insert(workers.end(), more.begin(), more.end());
        std::sort(workers.begin(), workers.end());
        visit(workers);
    }
}

} // namespace rosemarylink::policy::internal
