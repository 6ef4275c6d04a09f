#pragma once

#include <atomic>
#include <cstdint>

namespace rosemarylink::gateway::internal {

// Limits the retries and hedges together to a share of the requests. The budget starts empty, so that the limit holds
// from the first request on. Safe to use from several threads.
class RetryBudget {
public:
    explicit RetryBudget(double share);

    // Call for each request; adds its share to the budget.
    void deposit();

    // Withdraws one retry or hedge. Returns false when the budget is too small.
    bool tryWithdraw();

    // Returns a withdrawn retry or hedge that was not sent.
    void refund();

private:
    std::int64_t unitsPerRequest_;
    std::atomic<std::int64_t> units_ { 0 };
};

} // namespace rosemarylink::gateway::internal
