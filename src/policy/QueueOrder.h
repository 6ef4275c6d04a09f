#pragma once

#include "PresetRules.h"
#include "RunTimeEstimates.h"

#include <map>
#include <string>
#include <vector>

namespace rosemarylink::policy::internal {

// The weight of an account and what it borrows.
struct AccountShare {
    double weight = 1;
    std::int64_t borrowed = 0; // accelerators
};

// Orders waiting jobs: urgent ones first, then by worth for each accelerator-second that they still need, which
// minimises the worth-weighted completion time when capacity is short. Accounts that borrow more than their weighted
// share are placed later: scores of different accounts are scaled by at most a factor of four against each other.
class QueueOrder {
public:
    explicit QueueOrder(const RunTimeEstimates&);

    void configure(const model::Declarations&);
    void setShares(const std::map<std::string, AccountShare>&);
    std::vector<Job*> sorted(const std::map<std::uint64_t, Job*>& waiting, Timestamp now) const;
    double worthOf(const model::JobSpec&) const;

private:
    double score(const Job&, Timestamp now) const;

    const RunTimeEstimates& estimates_;
    const PresetRules* rules_;
    std::map<std::string, double> worths_;
    std::map<std::string, double> fairnessFactors_; // by account
};

} // namespace rosemarylink::policy::internal
