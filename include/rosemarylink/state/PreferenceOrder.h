#pragma once

#include "rosemarylink/base/StrongId.h"

#include <vector>

namespace rosemarylink::state {

// Methods to order the instances that may claim a cell without an owner. They differ in how evenly the cells of lost
// instances are distributed over the remaining ones, which `rosemarylink-bench state` measures.
enum class OrderMethod {
    Chained, // by instance id, starting at an offset given by the cell's number
    Rendezvous, // rendezvous hashing: by a hash of cell and instance
    RotatedPlacement, // Chen, Hsiao, Li and Yu, "Using rotational mirrored declustering for replica placement in a
                      // disk-array-based video server"
};

// Returns the candidates in the order in which they claim the cell. The chained and rotated orders number the cells, so
// they need the list of all cells. Both lists may be in any order. Instances whose lists differ may compute different
// orders; the cell's lease still ensures that only one of them becomes the owner.
std::vector<InstanceId> preferenceOrder(
    OrderMethod, const CellId&, const std::vector<CellId>& cells, const std::vector<InstanceId>& candidates);

} // namespace rosemarylink::state
