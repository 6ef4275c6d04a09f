#include "CallLimits.h"

#include <algorithm>
#include <cmath>

namespace rosemarylink::state::internal {

TokenBucket::TokenBucket(double ratePerSecond, double capacity, Milliseconds now)
    : rate_(ratePerSecond)
    , capacity_(capacity)
    , tokens_(capacity)
    , updatedAt_(now)
{
}

std::optional<Milliseconds> TokenBucket::take(Milliseconds now)
{
    const std::lock_guard lock(mutex_);
    tokens_ = std::min(capacity_, tokens_ + rate_ * static_cast<double>((now - updatedAt_).count()) / 1000.0);
    updatedAt_ = now;
    if (tokens_ >= 1) {
        tokens_ -= 1;
        return std::nullopt;
    }
    return Milliseconds(static_cast<std::int64_t>(std::ceil((1 - tokens_) / rate_ * 1000.0)));
}

RetryBudget::RetryBudget(double ratio, double reserve)
    : ratio_(ratio)
    , reserve_(reserve)
    , balance_(reserve)
{
}

void RetryBudget::deposit()
{
    const std::lock_guard lock(mutex_);
    balance_ = std::min(reserve_, balance_ + ratio_);
}

bool RetryBudget::tryWithdraw()
{
    const std::lock_guard lock(mutex_);
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

CircuitBreaker::CircuitBreaker(const StoreLimits& limits, std::uint64_t seed)
    : failuresToOpen_(limits.failuresToOpen)
    , firstOpenTime_(limits.openTime)
    , openTimeMaximum_(limits.maximumOpenTime)
    , random_(seed)
    , openTime_(limits.openTime)
{
}

CircuitBreaker::Gate CircuitBreaker::tryEnter(Milliseconds now)
{
    const std::lock_guard lock(mutex_);
    if (!open_)
        return Gate::Closed;
    if (probing_ || now < probeAt_)
        return Gate::Open;
    probing_ = true;
    return Gate::Probe;
}

void CircuitBreaker::recordSuccess()
{
    const std::lock_guard lock(mutex_);
    // Ignores the late success of a call that started before the breaker opened: the store may have failed since.
    if (open_ && !probing_)
        return;
    failures_ = 0;
    open_ = false;
    probing_ = false;
    openTime_ = firstOpenTime_;
}

void CircuitBreaker::recordFailure(Milliseconds now)
{
    const std::lock_guard lock(mutex_);
    if (open_ && !probing_)
        return;
    if (probing_)
        openTime_ = std::min(openTime_ * 2, openTimeMaximum_);
    else if (++failures_ < failuresToOpen_)
        return;
    open_ = true;
    probing_ = false;
    std::uniform_int_distribution<std::int64_t> jitter(openTime_.count() / 2, openTime_.count());
    probeAt_ = now + Milliseconds(jitter(random_));
}

bool CircuitBreaker::isOpen() const
{
    const std::lock_guard lock(mutex_);
    return open_;
}

Milliseconds CircuitBreaker::retryAfter(Milliseconds now) const
{
    const std::lock_guard lock(mutex_);
    return std::max(Milliseconds(1), probeAt_ - now);
}

} // namespace rosemarylink::state::internal
