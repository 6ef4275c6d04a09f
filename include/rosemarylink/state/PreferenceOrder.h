#pragma once

#include "rosemarylink/base/StrongId.h"

#include <vector>

namespace rosemarylink::state {

// The ways to order the instances that may claim an ownerless cell. They differ in how evenly the survivors share the
// cells of lost instances; `rosemarylink-bench state` measures it.
enum class OrderMethod {
    Chained, // the instances in the order of their ids, from the cell's number on
    Rendezvous, // by the hash of cell and instance
    RotatedPlacement, // Chen, Hsiao, Li and Yu, "Using rotational mirrored declustering for replica placement in a
                      // disk-array-based video server"
};

// The candidates in the order in which they claim the cell. The chained and rotated orders number the cells, so they
// need the list of all cells. Both lists may be in any order. Instances with different views may disagree for a while;
// the cell's lease still lets one of them win only.
std::vector<InstanceId> preferenceOrder(
    OrderMethod, const CellId&, const std::vector<CellId>& cells, const std::vector<InstanceId>& candidates);

} // namespace rosemarylink::state
