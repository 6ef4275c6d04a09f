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

// A queue to which callers submit jobs, selected by host name and path prefix.
struct Queue {
    std::string host;
    std::string pathPrefix;
    QueuePolicy policy;
    bool needsKey = true;
    std::string unsupportedReason; // why the queue's jobs cannot be served; empty if they can
};

struct ClientAccount {
    AccountId id;
    std::set<std::string> keys;
    std::int64_t guaranteedAccelerators = 0; // reserved for its jobs of priority 0
};

// One complete version of the operators' configuration.
struct Configuration {
    std::int64_t version = 0;
    std::vector<Queue> queues;
    std::vector<ClientAccount> accounts;
    std::set<ServiceId> guardedPools; // whose workers refuse starts that exceed their capacity
    std::size_t maximumBodyBytes = 256 * 1024;

    // Returns the queue of that host with the longest matching path prefix, or null.
    const Queue* findQueue(const std::string& host, const std::string& path) const;
    const ClientAccount* accountOfKey(const std::string& key) const;
    const ClientAccount* account(const AccountId&) const;
};

} // namespace rosemarylink::jobs
