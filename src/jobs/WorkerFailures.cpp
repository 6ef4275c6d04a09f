#include "WorkerFailures.h"

#include <cmath>

namespace rosemarylink::jobs::internal {

namespace {

    // Time constant with which outcomes are forgotten: a few runs of usual length.
    constexpr Milliseconds memory { 10000 };

    // Tasks fail by their own fault in up to 5% of the runs.
    constexpr double unreliableShare = 0.2;

    // More than one failure, since a task may fail by its own fault.
    constexpr double leastFailures = 1.2;

} // namespace

double WorkerFailures::weightAt(Milliseconds now) const
{
    return std::exp(-static_cast<double>((now - updatedAt_).count()) / static_cast<double>(memory.count()));
}

void WorkerFailures::add(double& count, Milliseconds now)
{
    const double weight = weightAt(now);
    failures_ *= weight;
    successes_ *= weight;
    updatedAt_ = now;
    count += 1;
}

bool WorkerFailures::isUnreliable(Milliseconds now) const
{
    return failures_ * weightAt(now) > leastFailures && failures_ > unreliableShare * (failures_ + successes_);
}

} // namespace rosemarylink::jobs::internal
