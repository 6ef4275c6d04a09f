#pragma once

#include "Job.h"

#include <functional>
#include <vector>

namespace rosemarylink::policy::internal {

// What the workers of one place have free, with the effect of gangs that end or stop.
class PlaceAmounts {
public:
    // The workers are in rising order. A limit caps what the gang may take of each worker.
    PlaceAmounts(const std::vector<int>& workers, const GangShape& gang, const Ledger& free,
        const std::function<Amount(int worker)>& limit, const std::vector<char>* closed);

    // Adds what the job holds here to the free amounts, or with sign -1 takes it back.
    void change(const Job&, int sign);

    // How many tasks of the gang fit.
    std::int64_t fit() const;

    // The worker of each task: the one that fits all most tightly, or else those with least room first, so that whole
    // workers stay whole.
    std::vector<int> choose() const;

private:
    std::int64_t fit(std::size_t index) const { return tasksThatFit(free_[index], gang_.perTask, most_[index]); }

    const std::vector<int>& workers_;
    const GangShape& gang_;
    std::vector<Amount> free_;
    std::vector<std::int64_t> most_;
};

} // namespace rosemarylink::policy::internal
