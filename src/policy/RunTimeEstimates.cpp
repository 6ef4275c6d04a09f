#include "RunTimeEstimates.h"

#include <cmath>

namespace rosemarylink::policy::internal {

namespace {

    std::string keyOf(const model::JobSpec& spec) { return spec.account.value() + "\n" + spec.kind.value(); }

    // Limits the weight of old runs, so that estimates follow a change of a kind within a few dozen runs.
    constexpr int maxEffectiveRuns = 30;

} // namespace

void RunTimeEstimates::update(Predictor& predictor, double sample, double weight)
{
    const double error = sample - predictor.logMean;
    predictor.squaredError += weight * (error * error - predictor.squaredError);
    predictor.logMean += weight * error;
}

void RunTimeEstimates::observe(const model::JobSpec& spec, Milliseconds ran)
{
    History& history = histories_[keyOf(spec)];
    history.count = std::min(history.count + 1, maxEffectiveRuns);
    const double weight = 1.0 / history.count;
    const double logRan = std::log(static_cast<double>(std::max<std::int64_t>(ran.count(), 1)));
    const double logDeclared = std::log(static_cast<double>(std::max<std::int64_t>(spec.declaredRunTime.count(), 1)));
    if (history.count == 1)
        history.typical.logMean = logRan;
    update(history.correction, logRan - logDeclared, weight);
    update(history.typical, logRan, weight);
}

Milliseconds RunTimeEstimates::expectedRunTime(const model::JobSpec& spec) const
{
    const auto found = histories_.find(keyOf(spec));
    if (found == histories_.end())
        return spec.declaredRunTime;
    const History& history = found->second;
    if (history.count > 4 && history.typical.squaredError < history.correction.squaredError)
        return Milliseconds(static_cast<std::int64_t>(std::exp(history.typical.logMean)) + 1);
    const double corrected = static_cast<double>(spec.declaredRunTime.count()) * std::exp(history.correction.logMean);
    return Milliseconds(static_cast<std::int64_t>(corrected) + 1);
}

Milliseconds expectedRemaining(const RunTimeEstimates& estimates, const Job& job, Timestamp now)
{
    const bool runs = job.phase == Phase::Running || job.phase == Phase::Starting || job.phase == Phase::Stopping;
    const Milliseconds done = job.progress + (runs ? now - job.started : Milliseconds(0));
    const Milliseconds expected = estimates.expectedRunTime(job.spec);
    return std::max({ expected - done, done / 2, Milliseconds(1000) });
}

} // namespace rosemarylink::policy::internal
