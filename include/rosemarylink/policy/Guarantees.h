#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/generated/Model.h"

#include <map>
#include <string>
#include <vector>

namespace rosemarylink::policy {

// A guaranteed shape of which some gangs fit nowhere beside the gangs of the other shapes.
struct GuaranteeProblem {
    model::GuaranteedShape shape;
    std::int64_t placedGangs = 0; // number of its gangs that could be placed
    std::string reason; // human-readable sentence
};

struct GuaranteeFeasibility {
    bool feasible = true;
    std::vector<GuaranteeProblem> problems; // one for each shape with unplaced gangs, in the order of the shapes
};

// Checks whether all gangs of all guaranteed shapes fit on the workers at the same time, with the declared adjacency.
// Workers that are not Ready count as absent. The search is greedy, from the shape that is hardest to place to the
// easiest: a set reported as feasible always fits, but a set that fits only in an arrangement the search does not try
// is reported as infeasible. Has no side effects and may be called from any thread.
GuaranteeFeasibility checkGuarantees(const std::vector<model::GuaranteedShape>&, const std::vector<model::WorkerSpec>&);

// Splits the gangs of each shape over the failure domains of the region of the shape, so that the cell of each domain
// can check on its own that its gangs are reclaimable. The result depends neither on the order of the declarations and
// workers nor on worker states, so all schedulers compute the same assignment. A gang that fits in no domain is
// assigned to the domain with the most unassigned capacity, whose cell reports it as not reclaimable. Domains without
// shapes are omitted. Has no side effects and may be called from any thread.
std::map<FailureDomainId, std::vector<model::GuaranteedShape>> assignGuarantees(
    const std::vector<model::GuaranteedShape>&, const std::vector<model::WorkerSpec>&);

} // namespace rosemarylink::policy
