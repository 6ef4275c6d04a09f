#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <map>
#include <string>
#include <vector>

namespace rosemarylink::policy {

// A guaranteed shape that cannot be placed together with the others.
struct GuaranteeProblem {
    model::GuaranteedShape shape;
    std::int64_t placedGangs = 0; // how many of its gangs could be placed
    std::string reason; // one sentence for people
};

struct GuaranteeFeasibility {
    bool feasible = true;
    std::vector<GuaranteeProblem> problems; // one for each shape that lacks a place, in order of the declarations
};

// Says whether all gangs of all guaranteed shapes fit on the workers at once, adjacent as declared. Workers that are
// not Ready count as absent. Places are searched greedily, from the hardest shape to the easiest, so a set that only a
// cleverer arrangement would fit is reported as a problem; a set reported as feasible always fits.
GuaranteeFeasibility checkGuarantees(const std::vector<model::GuaranteedShape>&, const std::vector<model::WorkerSpec>&);

// Splits the shapes over the failure domains of their regions: each gang is given to one domain, so that the cell of
// that domain can check alone that it is reclaimable. The result depends only on the declarations and the worker list,
// in any order, and not on worker states, so that all schedulers agree. A gang that fits in no domain stays with the
// domain that has most capacity, where its cell reports it as not reclaimable. Domains without shapes are left out.
std::map<FailureDomainId, std::vector<model::GuaranteedShape>> assignGuarantees(
    const std::vector<model::GuaranteedShape>&, const std::vector<model::WorkerSpec>&);

} // namespace rosemarylink::policy
