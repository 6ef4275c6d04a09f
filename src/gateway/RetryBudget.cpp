#include "RetryBudget.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

namespace {

    constexpr std::int64_t unitsPerRetry = 1000000;
    // At most 100 retries accumulate, so that a long period without failures does not permit a burst of retries.
    constexpr std::int64_t maximumUnits = 100 * unitsPerRetry;

} // namespace

RetryBudget::RetryBudget(double share)
    : unitsPerRequest_(static_cast<std::int64_t>(share * unitsPerRetry))
{
}

void RetryBudget::deposit()
{
    std::int64_t units = units_;
    while (!units_.compare_exchange_weak(units, std::min(maximumUnits, units + unitsPerRequest_))) { }
}

bool RetryBudget::tryWithdraw()
{
    std::int64_t units = units_;
    while (units >= unitsPerRetry) {
        if (units_.compare_exchange_weak(units, units - unitsPerRetry))
            return true;
    }
    return false;
}

void RetryBudget::refund() { units_ += unitsPerRetry; }

} // namespace rosemarylink::gateway::internal
