#include "FifoPolicy.h"

namespace rosemarylink::policy::internal {

void FifoPolicy::schedule(Decisions& decisions, Timestamp now)
{
    const SearchSpace space { fleet_, free_ };
    for (auto next = jobs_.waiting().begin(); next != jobs_.waiting().end();) {
        Job& job = *(next++)->second;
        if (!withinQuota(job))
            continue;
        auto placement = job.notBefore > now ? std::nullopt : findPlacement(space, job.shape, FitRule::FirstFit);
        if (!placement)
            break;
        allocate(job, std::move(*placement), CapacityClass::Dedicated, Phase::Starting);
        start(job, decisions, now);
    }
    changed_ = false;
}

} // namespace rosemarylink::policy::internal
