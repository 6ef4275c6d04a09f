#pragma once

#include "rosemarylink/base/Units.h"

namespace rosemarylink::gateway::internal {

// Adaptive limit of the requests that this gateway has in progress with one upstream. All gateways raise their limits
// by the same step while the upstream has free slots, and cut them by the same factor when it reports that it is full.
// This additive increase and multiplicative decrease converges to equal shares from any initial limits, without a
// coordinator (Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance in computer
// networks", 1989). Not safe to use from several threads.
class ConcurrencyLimit {
public:
    // The initial limit is an equal share of the slots.
    ConcurrencyLimit(int slots, std::size_t gateways);

    // The limit in whole requests, at least 1.
    int value() const;

    // Call after each response. full: the upstream reported all slots busy. limitReached: this gateway had as many
    // requests in progress as its limit.
    void onResponse(bool full, bool limitReached, Milliseconds now);

    // Call when the upstream refused a request or a connection.
    void onRefusal(Milliseconds now);

private:
    void decrease(double factor, Milliseconds now);

    double maximum_;
    bool isOnlyGateway_;
    double limit_;
    Milliseconds changedAt_ { 0 };
};

} // namespace rosemarylink::gateway::internal
