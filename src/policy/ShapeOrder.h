#pragma once

#include "rosemarylink/generated/Model.h"

#include <cstddef>
#include <vector>

namespace rosemarylink::policy::internal {

// The indices of the shapes from the hardest to place to the easiest: by falling accelerators and cores of the gang,
// then the strictest adjacency, then account and name, so that the result does not depend on the order of the
// declarations.
std::vector<std::size_t> hardestFirst(const std::vector<model::GuaranteedShape>&);

} // namespace rosemarylink::policy::internal
