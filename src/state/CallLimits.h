#pragma once

#include "rosemarylink/state/ResilientStore.h"

#include <mutex>
#include <optional>
#include <random>

namespace rosemarylink::state::internal {

// Tokens that arrive at a rate up to a capacity.
class TokenBucket {
public:
    TokenBucket(double ratePerSecond, double capacity, Milliseconds now);

    // Takes one token. Otherwise returns the time until there is one.
    std::optional<Milliseconds> take(Milliseconds now);

private:
    std::mutex mutex_;
    double rate_;
    double capacity_;
    double tokens_;
    Milliseconds last_;
};

// Repetitions are a share of the calls, so that they cannot multiply the load of a store that fails.
class RetryBudget {
public:
    RetryBudget(double ratio, double reserve);
    void earn();
    bool spend();

private:
    std::mutex mutex_;
    double ratio_;
    double reserve_;
    double saved_;
};

// Opens after failures in a row. After a time, one caller is given a probe; its result closes the breaker or opens it
// for twice as long.
class CircuitBreaker {
public:
    CircuitBreaker(const StoreLimits&, std::uint64_t seed);

    enum class Gate { Closed, Probe, Open };
    Gate enter(Milliseconds now);
    void succeeded();
    void failed(Milliseconds now);
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
