#pragma once

#include "Planner.h"

// Load pattern: a full pool in which tasks end all the time, and urgent work that needs a small part of it. A stop
// takes a while and throws work away, so an urgent step that preempts at once is often slower, and always more
// expensive, than one that is first in line for what ends by itself.
namespace rosemarylink::jobs::internal {

// How fast running work ends by itself in one pool, averaged over the last seconds.
class ReleaseRate {
public:
    void add(Milliseconds now, double cores);

    // In weighted cores per second; see weightedCores.
    double perSecond(Milliseconds now) const;

private:
    double decayed(Milliseconds now) const;

    double rate_ = 0;
    Milliseconds updatedAt_ { 0 };
};

// Decides when urgent steps preempt. One object serves one plan, in the order of its steps.
class PreemptionPatience {
public:
    explicit PreemptionPatience(const PlanInput&);

    // Counts an urgent step that does not fit. It shares what ends by itself with those that come before it.
    void addWaiting(const PlanStep&);

    // How long the step added last waits from its readyAt on before it preempts work with this loss, in weighted
    // core-seconds. Zero where waiting is pointless because too little ends by itself.
    Milliseconds waitBefore(const PlanStep&, double lostCoreSeconds) const;

private:
    const PlanInput& input_;
    double waitingCores_ = 0;
};

} // namespace rosemarylink::jobs::internal
