#pragma once

#include "rosemarylink/generated/Messages.h"
#include "rosemarylink/generated/Model.h"

#include <vector>

namespace rosemarylink::control {

// A cell with the load that its owner last reported in a heartbeat.
struct CellCandidate {
    messages::CellLoad load;
    InstanceId owner;
    RegionId region;
    bool holdsGuarantee = false; // a guaranteed shape of the job's account is assigned to this cell
};

// Returns the cells that may run the job, best first: cells that can start it immediately, then cells that hold a
// guarantee of the account, then cells with fewer waiting jobs, then cells with more free accelerators. When the job
// names a region, cells of other regions are omitted. Ties are broken by a hash of the job's id and the cell, which
// distributes a burst of jobs over equal cells.
std::vector<CellCandidate> rankCells(const model::JobSpec&, std::vector<CellCandidate>);

} // namespace rosemarylink::control
