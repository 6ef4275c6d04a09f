#pragma once

#include "rosemarylink/generated/Messages.h"
#include "rosemarylink/generated/Model.h"

#include <vector>

namespace rosemarylink::control {

// One cell as the heartbeats of its owner show it.
struct CellCandidate {
    messages::CellLoad load;
    InstanceId owner;
    RegionId region;
    bool holdsGuarantee = false; // a guaranteed shape of the job's account lies in this cell
};

// The cells that may take the job, best first: those that can start it at once, then those where the account holds a
// guarantee, then those with fewer waiting jobs and more free accelerators. Cells of other regions are left out when
// the job names one. The order of equal cells depends on the job's id, so that a burst spreads over them.
std::vector<CellCandidate> rankCells(const model::JobSpec&, std::vector<CellCandidate>);

} // namespace rosemarylink::control
