#include "AccountUsage.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

void AccountUsage::setAccounts(const std::vector<model::Account>& accounts, std::size_t gateways)
{
    const auto parts = static_cast<std::int64_t>(std::max<std::size_t>(1, gateways));
    const std::lock_guard lock(mutex_);
    for (auto& [id, entry] : entries_)
        entry = Entry { 1, 0, entry.inProgress };
    for (const model::Account& account : accounts) {
        Entry& entry = entries_[account.id];
        entry.weight = account.weight;
        entry.guarantee = static_cast<int>((account.requestConcurrency + parts - 1) / parts);
    }
}

void AccountUsage::recordStart(const AccountId& account)
{
    const std::lock_guard lock(mutex_);
    ++entries_[account].inProgress;
}

void AccountUsage::recordFinish(const AccountId& account)
{
    const std::lock_guard lock(mutex_);
    --entries_[account].inProgress;
}

int AccountUsage::inProgress(const AccountId& account) const
{
    const std::lock_guard lock(mutex_);
    const auto position = entries_.find(account);
    return position == entries_.end() ? 0 : position->second.inProgress;
}

bool AccountUsage::isBelowGuarantee(const AccountId& account) const
{
    const std::lock_guard lock(mutex_);
    const auto position = entries_.find(account);
    return position != entries_.end() && position->second.inProgress < position->second.guarantee;
}

double AccountUsage::weight(const AccountId& account) const
{
    const std::lock_guard lock(mutex_);
    const auto position = entries_.find(account);
    return position == entries_.end() ? 1 : position->second.weight;
}

} // namespace rosemarylink::gateway::internal
