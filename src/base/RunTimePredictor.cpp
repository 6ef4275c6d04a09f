#include "rosemarylink/base/RunTimePredictor.h"

#include <algorithm>
#include <cmath>

namespace rosemarylink {

namespace {

    // Limits the weight of old runs, so that predictions follow a change of a kind within a few dozen runs.
    constexpr int maxEffectiveRuns = 30;

    // The typical time is used only after more than this many runs.
    constexpr int fewRuns = 4;

    double logOf(Milliseconds time) { return std::log(static_cast<double>(std::max<std::int64_t>(time.count(), 1))); }

} // namespace

void RunTimePredictor::update(Predictor& predictor, double sample, double weight)
{
    const double error = sample - predictor.logMean;
    predictor.squaredError += weight * (error * error - predictor.squaredError);
    predictor.logMean += weight * error;
}

void RunTimePredictor::observe(const std::string& kind, Milliseconds declared, Milliseconds ran)
{
    History& history = histories_[kind];
    history.count = std::min(history.count + 1, maxEffectiveRuns);
    const double weight = 1.0 / history.count;
    const double logRan = logOf(ran);
    if (history.count == 1)
        history.typical.logMean = logRan;
    update(history.correction, logRan - logOf(declared), weight);
    update(history.typical, logRan, weight);
}

Milliseconds RunTimePredictor::predict(const std::string& kind, Milliseconds declared) const
{
    const auto found = histories_.find(kind);
    if (found == histories_.end())
        return declared;
    const History& history = found->second;
    if (history.count > fewRuns && history.typical.squaredError < history.correction.squaredError)
        return Milliseconds(static_cast<std::int64_t>(std::exp(history.typical.logMean)) + 1);
    const double corrected = static_cast<double>(declared.count()) * std::exp(history.correction.logMean);
    return Milliseconds(static_cast<std::int64_t>(corrected) + 1);
}

} // namespace rosemarylink
