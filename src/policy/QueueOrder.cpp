#include "QueueOrder.h"

#include "ReclaimPlanner.h"

#include <cmath>

namespace rosemarylink::policy::internal {

QueueOrder::QueueOrder(const RunTimeEstimates& estimates)
    : estimates_(estimates)
    , rules_(&presetRules(model::Preset::Ordinary))
{
}

void QueueOrder::configure(const model::Declarations& declarations)
{
    rules_ = &presetRules(declarations.preset);
    worths_.clear();
    for (const model::KindWorth& each : declarations.worths)
        worths_[each.kind.value()] = each.worth;
}

void QueueOrder::setShares(const std::map<std::string, AccountShare>& shares)
{
    fairnessFactors_.clear();
    double weights = 0;
    double borrowed = 0;
    for (const auto& [account, share] : shares) {
        weights += share.weight;
        borrowed += static_cast<double>(share.borrowed);
    }
    for (const auto& [account, share] : shares) {
        const double fairShare = borrowed * share.weight / std::max(weights, 1e-9);
        // Adding one accelerator on each side keeps the ratio finite for accounts that borrow nothing.
        fairnessFactors_[account]
            = std::clamp(std::sqrt((fairShare + 1) / (static_cast<double>(share.borrowed) + 1)), 0.5, 2.0);
    }
}

double QueueOrder::worthOf(const model::JobSpec& spec) const
{
    const auto declared = worths_.find(spec.kind.value());
    return declared == worths_.end() ? spec.worth : declared->second;
}

double QueueOrder::score(const Job& job, Timestamp now) const
{
    const double seconds = std::chrono::duration<double>(expectedRemaining(estimates_, job, now)).count();
    const auto factor = fairnessFactors_.find(job.spec.account.value());
    const double share = factor == fairnessFactors_.end() ? 1 : factor->second;
    // A minimum worth keeps jobs with worth 0 comparable, so that jobs with less remaining work still come first among
    // them.
    const double worth = std::max(worthOf(job.spec), 1e-3);
    return worth * share * (job.spec.urgent ? rules_->urgentFactor : 1) / (std::max(jobSize(job), 0.1) * (seconds + 1));
}

std::vector<Job*> QueueOrder::sorted(const std::map<std::uint64_t, Job*>& waiting, Timestamp now) const
{
    struct Scored {
        double score;
        Job* job;
    };
    std::vector<Scored> scored;
    scored.reserve(waiting.size());
    for (const auto& [sequence, job] : waiting)
        scored.push_back({ score(*job, now), job });
    std::sort(scored.begin(), scored.end(), [](const Scored& a, const Scored& b) {
        if (a.job->spec.urgent != b.job->spec.urgent)
            return a.job->spec.urgent;
        return a.score != b.score ? a.score > b.score : a.job->sequence < b.job->sequence;
    });
    std::vector<Job*> jobs;
    jobs.reserve(scored.size());
    for (const Scored& each : scored)
        jobs.push_back(each.job);
    return jobs;
}

} // namespace rosemarylink::policy::internal
