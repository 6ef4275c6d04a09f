#pragma once

#include "rosemarylink/generated/Model.h"

#include <map>
#include <mutex>
#include <vector>

namespace rosemarylink::gateway::internal {

// Requests in progress by client account over all services of a gateway, with the accounts' guarantees and weights.
// Safe to use from several threads.
class AccountUsage {
public:
    // Each gateway holds an equal part of every guarantee, rounded up.
    void setAccounts(const std::vector<model::Account>&, std::size_t gateways);

    void started(const AccountId&);
    void finished(const AccountId&);

    int inProgress(const AccountId&) const;

    // True when the account has a guarantee that it does not use up.
    bool isBelowGuarantee(const AccountId&) const;

    // The account's share of spare capacity relative to the others; 1 for an unknown account.
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
