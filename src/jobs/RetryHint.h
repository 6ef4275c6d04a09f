#pragma once

#include "rosemarylink/base/Units.h"

#include <string_view>

// Load pattern: the store is unavailable for seconds, and every caller is refused at about the same time. If all
// returned together, and soon, they would use up their attempts during the outage and overload the store at its end.
// After the outage the backlog competes for workers, and urgent jobs lose their value first.
namespace rosemarylink::jobs::internal {

enum class Urgency {
    Urgent, // jobs of a queue of priority 0
    Other,
};

// When a refused caller should return: after half of the outage's age for urgent requests and after all of it for
// others, within 0.4 and 4 s and spread over a quarter more by the request's identity. `outageAge` is how long the
// store has not responded.
Milliseconds retryHint(Milliseconds outageAge, Urgency, std::string_view request);

} // namespace rosemarylink::jobs::internal
