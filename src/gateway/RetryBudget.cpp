#include "RetryBudget.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

namespace {

    constexpr std::int64_t unitsPerRetry = 1000000;
    // A quiet hour must not pay for a storm: at most this many retries are saved up.
    constexpr std::int64_t maximumUnits = 100 * unitsPerRetry;

} // namespace

RetryBudget::RetryBudget(double share)
    : earned_(static_cast<std::int64_t>(share * unitsPerRetry))
{
}

void RetryBudget::earn()
{
    std::int64_t units = units_;
    while (!units_.compare_exchange_weak(units, std::min(maximumUnits, units + earned_))) { }
}

bool RetryBudget::spend()
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
