#pragma once

#include "Job.h"

#include <functional>
#include <vector>

namespace rosemarylink::policy::internal {

// The free capacity of a group of workers, adjusted for gangs that end or are stopped.
class GroupCapacity {
public:
    // The workers must be in ascending order. An optional limit caps the capacity that the gang may use of each worker.
    GroupCapacity(const std::vector<int>& workers, const GangShape& gang, const CapacityIndex& free,
        const std::function<ResourceVector(int worker)>& workerLimit, const std::vector<char>* excluded);

    // With sign 1, adds the capacity that the job holds in this group to the free capacity. With sign -1, undoes that.
    void adjust(const Job&, int sign);

    // The number of tasks of the gang that fit.
    std::int64_t fit() const;

    // The worker of each task: the single worker that fits the whole gang most tightly, or else the workers that fit
    // the fewest tasks first, which keeps emptier workers free.
    std::vector<int> chooseWorkers() const;

private:
    std::int64_t fit(std::size_t index) const { return tasksThatFit(free_[index], gang_.perTask, maxTasks_[index]); }

    const std::vector<int>& workers_;
    const GangShape& gang_;
    std::vector<ResourceVector> free_;
    std::vector<std::int64_t> maxTasks_;
};

} // namespace rosemarylink::policy::internal
