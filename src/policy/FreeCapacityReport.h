#pragma once

#include "PlacementSearch.h"

#include "rosemarylink/policy/SchedulingPolicy.h"

#include <string>

namespace rosemarylink::policy::internal {

// The gang by which fragmentation is judged when no job waits: 32 tasks of one accelerator in one rack.
GangShape referenceGang();

// Fills the free accelerators, the largest fitting gang and the fragmentation.
void fillCapacity(PolicySnapshot&, const Fleet&, const Ledger& free);

// For error messages and explanations, such as "16 tasks of 4 cores, 8000 MB and 1 accelerators in one rack".
std::string describeGang(std::int64_t tasks, const model::Resources& perTask, model::Adjacency);

} // namespace rosemarylink::policy::internal
