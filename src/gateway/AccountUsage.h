#pragma once

#include "rosemarylink/generated/Model.h"

#include <map>
#include <mutex>
#include <vector>

namespace rosemarylink::gateway::internal {

// Counts the requests in progress of each client account over all services of a gateway, and holds the accounts'
// guarantees and weights. Safe to use from several threads.
class AccountUsage {
public:
    // Replaces the accounts and keeps the counts of requests in progress. This gateway's part of each guarantee is the
    // guarantee divided by the number of gateways, rounded up.
    void setAccounts(const std::vector<model::Account>&, std::size_t gateways);

    void recordStart(const AccountId&);
    void recordFinish(const AccountId&);

    int inProgress(const AccountId&) const;

    // Returns true when the account has fewer requests in progress than its guarantee.
    bool isBelowGuarantee(const AccountId&) const;

    // Returns the account's share of spare capacity relative to other accounts, or 1 for an unknown account.
    double weight(const AccountId&) const;

private:
    struct Entry {
        double weight = 1;
        int guarantee = 0;
        int inProgress = 0;
    };

    mutable std::mutex mutex_;
    std::map<AccountId, Entry> entries_;
};

} // namespace rosemarylink::gateway::internal
