#include "GroupCapacity.h"

namespace rosemarylink::policy::internal {

GroupCapacity::GroupCapacity(const std::vector<int>& workers, const GangShape& gang, const CapacityIndex& free,
    const std::function<ResourceVector(int worker)>& workerLimit, const std::vector<char>* excluded)
    : workers_(workers)
    , gang_(gang)
{
    free_.reserve(workers.size());
    maxTasks_.reserve(workers.size());
    for (const int worker : workers_) {
        const bool usable
            = free.isSchedulable(worker) && (excluded == nullptr || (*excluded)[static_cast<std::size_t>(worker)] == 0);
        const std::int64_t maxTasks
            = workerLimit ? tasksThatFit(workerLimit(worker), gang.perTask, gang.tasks) : gang.tasks;
        free_.push_back(usable ? free.free(worker) : ResourceVector {});
        maxTasks_.push_back(usable ? maxTasks : 0);
    }
}

void GroupCapacity::adjust(const Job& job, int sign)
{
    for (const auto& [worker, count] : job.tasksByWorker) {
        const auto found = std::lower_bound(workers_.begin(), workers_.end(), worker);
        if (found != workers_.end() && *found == worker)
            free_[static_cast<std::size_t>(found - workers_.begin())] += job.shape.perTask * (sign * count);
    }
}

std::int64_t GroupCapacity::fit() const
{
    std::int64_t sum = 0;
    for (std::size_t index = 0; index < workers_.size(); ++index)
        sum += fit(index);
    return sum;
}

std::vector<int> GroupCapacity::chooseWorkers() const
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
