#pragma once

namespace rosemarylink::gateway::internal {

// Running estimates of the mean and the 95th percentile of durations in ms. Each sample moves the percentile up or down
// by a step; the steps cancel out when 19 of 20 samples are below it. Not safe to use from several threads.
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
