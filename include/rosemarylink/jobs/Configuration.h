#pragma once

#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"
#include "rosemarylink/jobs/Job.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

// A queue that callers hand jobs in to, selected by host name and path prefix.
struct Queue {
    std::string host;
    std::string pathPrefix;
    QueueTerms terms;
    bool needsKey = true;
    std::string unsupported; // why no job of the queue can be served; empty when they can
};

struct ClientAccount {
    AccountId id;
    std::set<std::string> keys;
    std::int64_t guaranteedAccelerators = 0; // for its jobs of priority 0, at all times
};

// What the operators have in force: one version, as a whole.
struct Configuration {
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<ClientAccount> accounts;
    std::size_t maximumBodyBytes = 256 * 1024;

    // The queue with the longest prefix of the path at that host, or null.
    const Queue* findQueue(const std::string& host, const std::string& path) const;
    const ClientAccount* accountOfKey(const std::string& key) const;
    const ClientAccount* account(const AccountId&) const;
};

} // namespace rosemarylink::jobs
