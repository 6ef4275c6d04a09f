#pragma once

#include "Ledger.h"
#include "PlacementSearch.h"

#include <vector>

namespace rosemarylink::policy::internal {

// Calls visit(workers) for each rack, pair of neighbouring racks or worker that the empty fleet could place the gang
// in, by its adjacency. Gangs that only need one region are offered racks and pairs as well.
template <typename Visit>
void visitPlaces(const Fleet& fleet, const Ledger& capacity, const GangShape& gang, Visit&& visit)
{
    const Amount need = gang.perTask * gang.tasks;
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
        if (gang.adjacency == model::Adjacency::Rack || here.next == none)
            continue;
        Amount both = capacity.rackFree(rack);
        both += capacity.rackFree(here.next);
        if (!both.covers(need))
            continue;
        std::vector<int> workers = here.workers;
        const auto& more = fleet.rack(here.next).workers;
        workers.insert(workers.end(), more.begin(), more.end());
        std::sort(workers.begin(), workers.end());
        visit(workers);
    }
}

} // namespace rosemarylink::policy::internal
