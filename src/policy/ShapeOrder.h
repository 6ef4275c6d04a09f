#pragma once

#include "rosemarylink/generated/Model.h"

#include <cstddef>
#include <vector>

namespace rosemarylink::policy::internal {

// The indices of the shapes from the hardest to place to the easiest: the largest gangs first, then the closest
// adjacency, then by account and name, so that the order does not depend on that of the declarations.
std::vector<std::size_t> hardestFirst(const std::vector<model::GuaranteedShape>&);

} // namespace rosemarylink::policy::internal
