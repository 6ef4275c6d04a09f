#include "ConcurrencyLimit.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

namespace {

    // One change for each interval gives all gateways equal steps, however many answers each of them gets.
    constexpr Milliseconds changeInterval { 50 };
    constexpr double increase = 0.5; // requests
    constexpr double decreaseWhenFull = 0.9;
    constexpr double decreaseWhenRefused = 0.7;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(int slots, std::size_t gateways)
    : maximum_(std::max(1, slots))
    , alone_(gateways <= 1)
    , limit_(std::max(1.0, maximum_ / static_cast<double>(std::max<std::size_t>(1, gateways))))
{
}

int ConcurrencyLimit::value() const { return static_cast<int>(limit_); }

void ConcurrencyLimit::onAnswer(bool full, bool limitReached, Milliseconds now)
{
    if (now - changedAt_ < changeInterval)
        return;
    if (full) {
        // A gateway that fills an upstream must leave a gap now and then, or another one could never get a slot.
        if (!alone_)
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
