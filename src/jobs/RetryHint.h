#pragma once

#include "rosemarylink/base/Units.h"

#include <string_view>

// Load pattern: the store is unavailable, and every caller is refused at about the same time. If all returned together,
// and soon, they would use up their attempts during the outage and overload the store at its end.
namespace rosemarylink::jobs::internal {

// When a refused caller should return: the longer the store has been unavailable, the later, spread over half of that
// time again by the request's identity. `unavailableFor` is how long the store has not answered.
Milliseconds retryHint(Milliseconds unavailableFor, std::string_view request);

} // namespace rosemarylink::jobs::internal
