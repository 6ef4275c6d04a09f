#include "RunTimeEstimates.h"

#include <algorithm>

namespace rosemarylink::policy::internal {

namespace {

    std::string keyOf(const model::JobSpec& spec) { return spec.account.value() + "\n" + spec.kind.value(); }

} // namespace

void RunTimeEstimates::observe(const model::JobSpec& spec, Milliseconds ran)
{
    predictor_.observe(keyOf(spec), spec.declaredRunTime, ran);
}

Milliseconds RunTimeEstimates::expectedRunTime(const model::JobSpec& spec) const
{
    return predictor_.predict(keyOf(spec), spec.declaredRunTime);
}

Milliseconds expectedRemaining(const RunTimeEstimates& estimates, const Job& job, Timestamp now)
{
    const bool runs = job.phase == Phase::Running || job.phase == Phase::Starting || job.phase == Phase::Stopping;
    const Milliseconds done = job.progress + (runs ? now - job.started : Milliseconds(0));
    const Milliseconds expected = estimates.expectedRunTime(job.spec);
    return std::max({ expected - done, done / 2, Milliseconds(1000) });
}

} // namespace rosemarylink::policy::internal
