#pragma once

#include <atomic>
#include <cstdint>

namespace rosemarylink::gateway::internal {

// Limits retries and hedges together to a share of the requests. It starts empty, so that the share holds for every
// prefix of the traffic. Safe to use from several threads.
class RetryBudget {
public:
    explicit RetryBudget(double share);

    // Each request earns its share.
    void earn();

    // True when a retry or hedge may be sent.
    bool spend();

    // Puts back what was spent on a retry that was not sent.
    void refund();

private:
    std::int64_t earned_; // units of one request
    std::atomic<std::int64_t> units_ { 0 };
};

} // namespace rosemarylink::gateway::internal
