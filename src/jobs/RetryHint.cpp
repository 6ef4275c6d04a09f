#include "RetryHint.h"

#include <algorithm>
#include <functional>

namespace rosemarylink::jobs::internal {

namespace {

    // Short refusals (rate limit, leader change) are over within the least; callers that are told to return later than
    // the longest would often wait in vain.
    constexpr Milliseconds shortestRetry { 400 };
    constexpr Milliseconds longestRetry { 4000 };

    // The spread is this fraction (1/N) of the time: wide enough that callers do not return together, and so narrow
    // that an urgent request returns before another that was refused at the same age of the outage.
    constexpr int spreadDivisor = 4;

} // namespace

Milliseconds retryHint(Milliseconds outageAge, Urgency urgency, std::string_view request)
{
    const Milliseconds share = urgency == Urgency::Urgent ? outageAge / 2 : outageAge;
    const Milliseconds longestBase = longestRetry * spreadDivisor / (spreadDivisor + 1);
    const Milliseconds base = std::clamp(share, shortestRetry, longestBase);
    const auto spread = static_cast<std::size_t>(base.count() / spreadDivisor + 1);
    return base + Milliseconds(static_cast<std::int64_t>(std::hash<std::string_view> {}(request) % spread));
}

} // namespace rosemarylink::jobs::internal
