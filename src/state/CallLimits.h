#pragma once

#include "rosemarylink/state/ResilientStore.h"

#include <mutex>
#include <optional>
#include <random>

namespace rosemarylink::state::internal {

// A token bucket that starts full. Thread-safe.
class TokenBucket {
public:
    TokenBucket(double ratePerSecond, double capacity, Milliseconds now);

    // Takes one token and returns nullopt, or returns the time until a token is available.
    std::optional<Milliseconds> take(Milliseconds now);

private:
    std::mutex mutex_;
    double rate_;
    double capacity_;
    double tokens_;
    Milliseconds updatedAt_;
};

// Limits retries to a fraction of the calls, so that they do not multiply the load on a failing store. Each call
// deposits `ratio`; a retry withdraws 1. The balance starts at `reserve` and is capped there. Thread-safe.
class RetryBudget {
public:
    RetryBudget(double ratio, double reserve);
    void deposit();
    bool tryWithdraw();

private:
    std::mutex mutex_;
    double ratio_;
    double reserve_;
    double balance_;
};

// Opens after a number of consecutive failures. After the open time one caller may probe: a success closes the breaker,
// a failure opens it for twice as long, up to a maximum. Thread-safe.
class CircuitBreaker {
public:
    CircuitBreaker(const StoreLimits&, std::uint64_t seed);

    enum class Gate { Closed, Probe, Open };
    Gate tryEnter(Milliseconds now);
    void recordSuccess();
    void recordFailure(Milliseconds now);
    bool isOpen() const;
    Milliseconds retryAfter(Milliseconds now) const;

private:
    mutable std::mutex mutex_;
    std::int64_t failuresToOpen_;
    Milliseconds firstOpenTime_;
    Milliseconds openTimeMaximum_;
    std::mt19937_64 random_;
    std::int64_t failures_ = 0;
    bool open_ = false;
    bool probing_ = false;
    Milliseconds openTime_;
    Milliseconds probeAt_ { 0 };
};

} // namespace rosemarylink::state::internal
