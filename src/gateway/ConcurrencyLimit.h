#pragma once

#include "rosemarylink/base/Units.h"

namespace rosemarylink::gateway::internal {

// How many requests this gateway keeps in progress with one upstream. All gateways raise their limit by the same step
// while the upstream has free slots, and cut it by the same factor when it reports that it is full. This additive
// increase and multiplicative decrease moves any start towards equal shares (Chiu and Jain, "Analysis of the increase
// and decrease algorithms for congestion avoidance in computer networks", 1989), without a coordinator.
class ConcurrencyLimit {
public:
    // Starts at the equal share of the slots.
    ConcurrencyLimit(int slots, std::size_t gateways);

    // Whole requests, at least 1.
    int value() const;

    // An answer came: whether the upstream reported all slots busy, and whether this gateway used its whole limit.
    void onAnswer(bool full, bool limitReached, Milliseconds now);

    // The upstream refused a request or a connection.
    void onRefusal(Milliseconds now);

private:
    void decrease(double factor, Milliseconds now);

    double maximum_;
    bool alone_;
    double limit_;
    Milliseconds changedAt_ { 0 };
};

} // namespace rosemarylink::gateway::internal
