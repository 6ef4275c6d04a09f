#include "CommandWindow.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    constexpr double lowestLimit = 6;
    constexpr double initialLimit = 128;

    // A healthy worker responds within 30 ms across regions, over a new connection within 60 ms.
    constexpr Milliseconds slowResponse { 200 };

    constexpr double latestWeight = 1.0 / 16; // of one response in the share of slow ones
    constexpr double tooManySlow = 0.4;
    constexpr double fewSlow = 0.15;
    constexpr double loweringFactor = 0.6;
    constexpr Milliseconds loweringInterval { 250 }; // responses to earlier commands still arrive for this long

} // namespace

CommandWindow::CommandWindow(int highestLimit)
    : highestLimit_(std::max<double>(lowestLimit, highestLimit))
    , limit_(std::min(initialLimit, highestLimit_))
{
}

void CommandWindow::responded(Milliseconds now, Milliseconds responseTime)
{
    const bool wasFull = !hasSpace();
    inFlight_ = std::max(0, inFlight_ - 1);
    slowShare_ += latestWeight * ((responseTime >= slowResponse ? 1.0 : 0.0) - slowShare_);
    if (slowShare_ >= tooManySlow && now - loweredAt_ >= loweringInterval) {
        limit_ = std::max(lowestLimit, limit_ * loweringFactor);
        loweredAt_ = now;
    } else if (slowShare_ <= fewSlow && wasFull) {
        limit_ = std::min(highestLimit_, limit_ + 1);
    }
}

} // namespace rosemarylink::jobs::internal
