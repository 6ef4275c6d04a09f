#pragma once

#include "rosemarylink/state/KeyValueStore.h"

#include <memory>
#include <string>

namespace rosemarylink::state {

// The platform's store over HTTP, at "IP:port". Calls are not retried; wrap it in a ResilientStore for that. The
// deadline applies to connecting and to each wait for data, not to the call as a whole; a watch adds its own time-out.
class HttpKeyValueStore final : public KeyValueStore {
public:
    explicit HttpKeyValueStore(const std::string& address, Milliseconds deadline = Milliseconds(1000));
    ~HttpKeyValueStore() override;

    Result<std::optional<StoredValue>> read(const std::string& key) override;
    Result<std::vector<KeyedValue>> list(const std::string& prefix) override;
    Result<Revision> compareAndSwap(const std::string& key, Revision expected, const std::string& bytes,
        const std::optional<LeaseId>& lease = std::nullopt) override;
    Status remove(const std::string& key, Revision expected) override;
    Result<LeaseId> grantLease(Milliseconds ttl) override;
    Status renewLease(const LeaseId&) override;
    Status revokeLease(const LeaseId&) override;
    Result<std::vector<WatchEvent>> watch(const std::string& prefix, Revision after, Milliseconds timeout) override;

private:
    class Connections;
    std::unique_ptr<Connections> connections_;
    Milliseconds deadline_;
};

} // namespace rosemarylink::state
