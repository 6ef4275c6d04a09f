#include "RetryHint.h"

#include <algorithm>
#include <functional>

namespace rosemarylink::jobs::internal {

namespace {

    // Short refusals (rate limit, leader change) are over within the least; callers that are told to return later than
    // the longest would often wait in vain.
    constexpr Milliseconds shortestRetry { 400 };
    constexpr Milliseconds longestRetry { 2000 };

} // namespace

Milliseconds retryHint(Milliseconds unavailableFor, std::string_view request)
{
    const Milliseconds base = std::clamp(unavailableFor / 2, shortestRetry, longestRetry);
    const auto spread = static_cast<std::size_t>(base.count() / 2 + 1);
    return base + Milliseconds(static_cast<std::int64_t>(std::hash<std::string_view> {}(request) % spread));
}

} // namespace rosemarylink::jobs::internal
