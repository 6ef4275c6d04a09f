#include "DurationEstimate.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

namespace {

    constexpr double meanWeight = 0.05; // of one sample
    constexpr double stepPart = 0.05; // of the mean, for one sample above the percentile
    constexpr double shareAbove = 0.05;

} // namespace

void DurationEstimate::record(double milliseconds)
{
    if (empty_) {
        empty_ = false;
        mean_ = milliseconds;
        percentile95_ = 2 * milliseconds;
        return;
    }
    mean_ += meanWeight * (milliseconds - mean_);
    const double step = stepPart * std::max(mean_, 0.1);
    percentile95_ += milliseconds > percentile95_ ? step * (1 - shareAbove) : -step * shareAbove;
    percentile95_ = std::max(percentile95_, 0.0);
}

} // namespace rosemarylink::gateway::internal
