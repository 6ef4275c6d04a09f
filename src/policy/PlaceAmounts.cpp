#include "PlaceAmounts.h"

namespace rosemarylink::policy::internal {

PlaceAmounts::PlaceAmounts(const std::vector<int>& workers, const GangShape& gang, const Ledger& free,
    const std::function<Amount(int worker)>& limit, const std::vector<char>* closed)
    : workers_(workers)
    , gang_(gang)
{
    free_.reserve(workers.size());
    most_.reserve(workers.size());
    for (const int worker : workers_) {
        const bool usable
            = free.isOpen(worker) && (closed == nullptr || (*closed)[static_cast<std::size_t>(worker)] == 0);
        const std::int64_t most = limit ? tasksThatFit(limit(worker), gang.perTask, gang.tasks) : gang.tasks;
        free_.push_back(usable ? free.free(worker) : Amount {});
        most_.push_back(usable ? most : 0);
    }
}

void PlaceAmounts::change(const Job& job, int sign)
{
    for (const auto& [worker, count] : job.parts) {
        const auto found = std::lower_bound(workers_.begin(), workers_.end(), worker);
        if (found != workers_.end() && *found == worker)
            free_[static_cast<std::size_t>(found - workers_.begin())] += job.shape.perTask * (sign * count);
    }
}

std::int64_t PlaceAmounts::fit() const
{
    std::int64_t sum = 0;
    for (std::size_t index = 0; index < workers_.size(); ++index)
        sum += fit(index);
    return sum;
}

std::vector<int> PlaceAmounts::choose() const
{
    std::vector<std::pair<std::int64_t, int>> fits;
    for (std::size_t index = 0; index < workers_.size(); ++index)
        fits.emplace_back(fit(index), workers_[index]);
    std::sort(fits.begin(), fits.end());
    std::vector<int> chosen;
    const auto tightest = std::lower_bound(fits.begin(), fits.end(), std::make_pair(gang_.tasks, none));
    if (tightest != fits.end()) {
        chosen.assign(static_cast<std::size_t>(gang_.tasks), tightest->second);
        return chosen;
    }
    for (const auto& [count, worker] : fits) {
        const auto left = gang_.tasks - static_cast<std::int64_t>(chosen.size());
        chosen.insert(chosen.end(), static_cast<std::size_t>(std::min(left, count)), worker);
    }
    return chosen;
}

} // namespace rosemarylink::policy::internal
