#pragma once

#include "rosemarylink/base/Units.h"

#include <deque>
#include <optional>

// Load pattern: an instance makes 1 to 100 calls a second to a store that responds within 4 to 40 ms. For 4 to 6 s the
// store loses 35 to 40% of the responses, and a call without one would wait for its timeout of 900 ms. At other times
// the store responds to all instances 60 times slower, or not at all; further attempts would then only add load, up to
// twice the calls of all instances together.
namespace rosemarylink::jobs {

// Decides when a call without a response is attempted again, and whether the budget allows it. Does no I/O. Times are
// those of a monotonic clock.
class HedgePolicy {
public:
    // A call is attempted at most this many times. With 40% of the responses lost, two attempts leave 16% of the calls
    // without a response and four 3%. All requests of an instance wait for one confirmation of the configuration.
    static constexpr int maximumAttempts = 4;

    static constexpr Milliseconds shortestDelay { 150 };
    static constexpr Milliseconds longestDelay { 900 };

    // Further attempts are limited to this share of the calls plus a constant, so that all instances together stay
    // within the rates of the store.
    static constexpr double attemptsPerCall = 0.2;
    static constexpr double largestBudget = 20;

    // Counts a call, which adds to the budget.
    void recordCall();

    // Records how long after its attempt was sent a response came, including one that came too late to be used.
    void recordResponse(Milliseconds took);

    // Records that no response to a call came within delay().
    void recordOverdue(Milliseconds now);

    // How long to wait for a response before a further attempt: several times the usual response time.
    Milliseconds delay() const;

    // Takes a further attempt from the budget and returns true, if the budget allows it and the store responds at all.
    bool takeAttempt();

    // True if a call got no response within delay() during the last few seconds.
    bool losesResponses(Milliseconds now) const;

private:
    std::deque<Milliseconds> recent_; // response times, the newest last
    double budget_ = largestBudget;
    std::optional<Milliseconds> lastOverdue_;
    int overdueInRow_ = 0; // number of consecutive overdue attempts without any response
};

} // namespace rosemarylink::jobs
