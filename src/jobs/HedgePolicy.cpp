#include "rosemarylink/jobs/HedgePolicy.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace rosemarylink::jobs {

namespace {

    // The window follows a store that becomes slow within a few responses. The second-longest time of the window counts
    // as usual, so that a single slow response does not delay further attempts.
    constexpr std::size_t windowSize = 16;
    constexpr std::size_t smallestWindow = 4;
    constexpr int delayFactor = 3;

    // With 40% of the responses lost, so many in a row have a probability of 0.2%. A store that is silent for longer is
    // down or out of reach, where further attempts would only use up the budget.
    constexpr int overdueOfSilentStore = 7;

    // A loss of 40% interrupts the overdue calls for longer than this only on instances with few calls.
    constexpr Milliseconds lossMemory { 2000 };

} // namespace

void HedgePolicy::recordCall() { budget_ = std::min(largestBudget, budget_ + attemptsPerCall); }

void HedgePolicy::recordResponse(Milliseconds took)
{
    overdueInRow_ = 0;
    recent_.push_back(took);
    if (recent_.size() > windowSize)
        recent_.pop_front();
}

void HedgePolicy::recordOverdue(Milliseconds now)
{
    lastOverdue_ = now;
    ++overdueInRow_;
}

Milliseconds HedgePolicy::delay() const
{
    if (recent_.size() < smallestWindow)
        return longestDelay; // a first response may be large, and nothing is known about the link
    std::vector<Milliseconds> times(recent_.begin(), recent_.end());
    std::nth_element(times.begin(), times.begin() + 1, times.end(), std::greater<>());
    return std::clamp(times[1] * delayFactor, shortestDelay, longestDelay);
}

bool HedgePolicy::takeAttempt()
{
    if (budget_ < 1 || overdueInRow_ >= overdueOfSilentStore)
        return false;
    budget_ -= 1;
    return true;
}

bool HedgePolicy::losesResponses(Milliseconds now) const { return lastOverdue_ && now - *lastOverdue_ <= lossMemory; }

} // namespace rosemarylink::jobs
