#include "ConcurrencyLimit.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

namespace {

    // At most one change per interval gives all gateways equal steps, however many responses each of them receives.
    constexpr Milliseconds changeInterval { 50 };
    constexpr double increase = 0.5; // requests
    constexpr double decreaseWhenFull = 0.9;
    constexpr double decreaseWhenRefused = 0.7;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, std::size_t gateways)
    : maximum_(std::max(1, slots))
    , isOnlyGateway_(gateways <= 1)
    , limit_(std::max(1.0, maximum_ / static_cast<double>(std::max<std::size_t>(1, gateways))))
{
}

int ConcurrencyLimit::value() const { return static_cast<int>(limit_); }

void ConcurrencyLimit::onResponse(bool full, bool limitReached, Milliseconds now)
{
    if (now - changedAt_ < changeInterval)
        return;
    if (full) {
        // A gateway that fills the upstream must free a slot from time to time; otherwise other gateways never get one.
        if (!isOnlyGateway_)
            decrease(decreaseWhenFull, now);
    } else if (limitReached) {
        limit_ = std::min(maximum_, limit_ + increase);
        changedAt_ = now;
    }
}

void ConcurrencyLimit::onRefusal(Milliseconds now)
{
    if (now - changedAt_ >= changeInterval)
        decrease(decreaseWhenRefused, now);
}

void ConcurrencyLimit::decrease(double factor, Milliseconds now)
{
    limit_ = std::max(1.0, limit_ * factor);
    changedAt_ = now;
}

} // namespace rosemarylink::gateway::internal
