#pragma once

#include "PlacementSearch.h"

#include "rosemarylink/policy/SchedulingPolicy.h"

#include <string>

namespace rosemarylink::policy::internal {

// The gang for which fragmentation is reported: 32 tasks of one accelerator each in one rack.
GangShape referenceGang();

// Fills the free accelerators, the largest gang that fits and the fragmentation.
void fillCapacity(PolicySnapshot&, const Fleet&, const CapacityIndex& free);

// Describes a gang for error messages and explanations, such as "16 tasks of 4 cores, 8000 MB and 1 accelerators each,
// adjacent by rack".
std::string describeGang(std::int64_t tasks, const model::Resources& perTask, model::Adjacency);

} // namespace rosemarylink::policy::internal
