#include "PreemptionPatience.h"

#include <algorithm>
#include <cmath>

namespace rosemarylink::jobs::internal {

namespace {

    // Time constant of the average.
    constexpr Milliseconds averagedOver { 2000 };

    // What a preemption takes at least: a command, a stop with a checkpoint, and a poll that reports the end.
    constexpr Milliseconds stopDuration { 250 };

    // A step that can still meet its objective, or that is guaranteed, waits no longer than this.
    constexpr Milliseconds longestPatience { 1500 };

    // Work that loses more than this multiple of the step's own work is too costly for a step that ends late anyway.
    constexpr double costlyRatio = 2.0;

    // A late step waits no longer than this either, so that costly work cannot keep it out for good.
    constexpr Milliseconds longestLateWait { 10000 };

    // Guaranteed work waits at most this fraction (1/N) of the time in which it must start.
    constexpr int guaranteedDivisor = 4;

    double coresOf(const PlanStep& step)
    {
        return weightedCores(step.spec->perTask) * static_cast<double>(step.tasks.size());
    }

} // namespace

double ReleaseRate::decayed(Milliseconds now) const
{
    return rate_ * std::exp(-static_cast<double>((now - updatedAt_).count()) / averagedOver.count());
}

void ReleaseRate::add(Milliseconds now, double cores)
{
    rate_ = decayed(now) + cores * 1000.0 / averagedOver.count();
    updatedAt_ = now;
}

double ReleaseRate::perSecond(Milliseconds now) const { return decayed(now); }

PreemptionPatience::PreemptionPatience(const PlanInput& input)
    : input_(input)
{
}

void PreemptionPatience::addWaiting(const PlanStep& step) { waitingCores_ += coresOf(step); }

Milliseconds PreemptionPatience::waitBefore(const PlanStep& step, double lostCoreSeconds) const
{
    if (input_.releasedCoresPerSecond <= 0)
        return Milliseconds(0);
    // A loss of more than the step's own work is worth a longer wait.
    const double ownWork = coresOf(step) * static_cast<double>(step.expectedRunTime.count()) / 1000.0;
    const double ratio = ownWork > 0 ? lostCoreSeconds / ownWork : 1.0;
    const Milliseconds expected(static_cast<std::int64_t>(waitingCores_ / input_.releasedCoresPerSecond * 1000.0));
    if (expected > longestLateWait)
        return Milliseconds(0);
    const bool costly = !step.guaranteed && ratio > costlyRatio;
    const bool late = !step.spec->longRunning && input_.now + step.remaining > step.objectiveAt;
    if (costly && late)
        return longestLateWait;
    // A loss of more than the step's own work is worth a longer wait.
    const Milliseconds longest
        = step.guaranteed ? std::min(longestPatience, input_.urgentRackWait / guaranteedDivisor) : longestPatience;
    const auto patience = static_cast<std::int64_t>(
        std::clamp(ratio, 1.0, static_cast<double>(longest.count()) / stopDuration.count()) * stopDuration.count());
    return costly || expected.count() <= patience ? Milliseconds(patience) : Milliseconds(0);
}

} // namespace rosemarylink::jobs::internal
