#include "DefaultPolicy.h"

namespace rosemarylink::policy::internal {

void DefaultPolicy::choose(Decisions& decisions, Timestamp now)
{
    const SearchSpace space { fleet_, free_ };
    for (const bool urgent : { true, false }) {
        for (auto next = jobs_.waiting().begin(); next != jobs_.waiting().end();) {
            Job& job = *(next++)->second;
            if (job.spec.urgent != urgent || job.notBefore > now || !withinQuota(job))
                continue;
            if (auto place = findPlacement(space, job.shape, FitRule::BestFit)) {
                occupy(job, std::move(*place), job.mayBeStopped() ? Hold::Borrowed : Hold::Firm, Phase::Starting);
                start(job, decisions, now);
            }
        }
    }
    changed_ = false;
}

} // namespace rosemarylink::policy::internal
