#pragma once

namespace rosemarylink::gateway::internal {

// Follows the mean and the 95th percentile of durations in ms. The percentile moves by a step up or down with each
// sample, so that 19 of 20 samples are below it in balance.
class DurationEstimate {
public:
    explicit DurationEstimate(double initial)
        : mean_(initial)
        , percentile95_(initial)
    {
    }

    void record(double milliseconds);
    double mean() const { return mean_; }
    double percentile95() const { return percentile95_; }

private:
    double mean_;
    double percentile95_;
    bool empty_ = true;
};

} // namespace rosemarylink::gateway::internal
