#include "rosemarylink/jobs/Configuration.h"

namespace rosemarylink::jobs {

const Queue* Configuration::findQueue(const std::string& host, const std::string& path) const
{
    const Queue* best = nullptr;
    for (const Queue& queue : queues) {
        if (queue.host != host || path.compare(0, queue.pathPrefix.size(), queue.pathPrefix) != 0)
            continue;
        if (!best || queue.pathPrefix.size() > best->pathPrefix.size())
            best = &queue;
    }
    return best;
}

const ClientAccount* Configuration::accountOfKey(const std::string& key) const
{
    for (const ClientAccount& account : accounts) {
        if (account.keys.count(key) > 0)
            return &account;
    }
    return nullptr;
}

const ClientAccount* Configuration::account(const AccountId& id) const
{
    for (const ClientAccount& account : accounts) {
        if (account.id == id)
            return &account;
    }
    return nullptr;
}

} // namespace rosemarylink::jobs
