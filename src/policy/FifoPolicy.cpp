#include "FifoPolicy.h"

namespace rosemarylink::policy::internal {

void FifoPolicy::choose(Decisions& decisions, Timestamp now)
{
    const SearchSpace space { fleet_, free_ };
    for (auto next = jobs_.waiting().begin(); next != jobs_.waiting().end();) {
        Job& job = *(next++)->second;
        if (!withinQuota(job))
            continue;
        auto place = job.notBefore > now ? std::nullopt : findPlacement(space, job.shape, FitRule::FirstFit);
        if (!place)
            break;
        occupy(job, std::move(*place), Hold::Firm, Phase::Starting);
        start(job, decisions, now);
    }
    changed_ = false;
}

} // namespace rosemarylink::policy::internal
