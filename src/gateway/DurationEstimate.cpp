#include "DurationEstimate.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

namespace {

    constexpr double meanSmoothing = 0.05; // weight of one sample
    constexpr double stepFraction = 0.05; // of the mean, per sample
    constexpr double fractionAbove = 0.05; // of the samples above the percentile

} // namespace

void DurationEstimate::record(double milliseconds)
{
    if (empty_) {
        empty_ = false;
        mean_ = milliseconds;
        percentile95_ = 2 * milliseconds;
        return;
    }
    mean_ += meanSmoothing * (milliseconds - mean_);
    const double step = stepFraction * std::max(mean_, 0.1);
    percentile95_ += milliseconds > percentile95_ ? step * (1 - fractionAbove) : -step * fractionAbove;
    percentile95_ = std::max(percentile95_, 0.0);
}

} // namespace rosemarylink::gateway::internal
