#pragma once

#include "ProcessFaults.h"

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::state::fakes {

// An in-memory store on a manual clock. connect() returns further clients of the same data, each with its own faults,
// so that tests can isolate one process. Watches do not block.
class FakeKeyValueStore final : public KeyValueStore {
public:
    struct Faults {
        bool down = false; // calls fail without effect
        bool slow = false; // calls take effect, but their replies miss the deadline
        std::optional<std::int64_t> failWrite; // the n-th write from now fails without effect
        std::optional<std::int64_t> loseReply; // the n-th write from now takes effect and its reply is lost
        std::optional<std::int64_t> expireLeasesAtWrite; // all leases lapse just before the n-th write from now
    };

    explicit FakeKeyValueStore(const Clock& clock)
        : clock_(clock)
        , data_(std::make_shared<Data>())
    {
    }

    std::unique_ptr<FakeKeyValueStore> connect(std::shared_ptr<ProcessFaults> process = nullptr) const
    {
        auto client = std::make_unique<FakeKeyValueStore>(clock_);
        client->data_ = data_;
        client->process_ = std::move(process);
        return client;
    }

    Faults faults;
    std::map<std::string, std::int64_t> callsByKind; // of this client
    std::int64_t writes = 0; // compareAndSwap and remove, of this client
    std::int64_t bytesWritten = 0;

    std::int64_t totalCalls() const
    {
        std::int64_t total = 0;
        for (const auto& [kind, count] : callsByKind)
            total += count;
        return total;
    }

    // Ends all leases and removes the keys bound to them, like a store whose clock jumped forward.
    void expireAllLeases()
    {
        const std::lock_guard lock(data_->mutex);
        for (auto& [id, lease] : data_->leases)
            lease.expires = clock_.monotonic();
        expireLeases();
    }

    Result<std::optional<StoredValue>> read(const std::string& key) override
    {
        return call<std::optional<StoredValue>>("read", [&]() -> Result<std::optional<StoredValue>> {
            const auto found = data_->values.find(key);
            if (found == data_->values.end())
                return std::optional<StoredValue> {};
            return std::optional<StoredValue> { StoredValue { found->second.bytes, found->second.revision } };
        });
    }

    Result<std::vector<KeyedValue>> list(const std::string& prefix) override
    {
        return call<std::vector<KeyedValue>>("list", [&]() -> Result<std::vector<KeyedValue>> {
            std::vector<KeyedValue> values;
            for (auto at = data_->values.lower_bound(prefix); at != data_->values.end(); ++at) {
                if (at->first.compare(0, prefix.size(), prefix) != 0)
                    break;
                values.push_back({ at->first, { at->second.bytes, at->second.revision } });
            }
            return values;
        });
    }

    Result<Revision> compareAndSwap(const std::string& key, Revision expected, const std::string& bytes,
        const std::optional<LeaseId>& lease = std::nullopt) override
    {
        return write<Revision>("cas", [&]() -> Result<Revision> {
            BOOST_OUTCOME_TRYV(checkRevision(key, expected));
            if (lease && data_->leases.count(*lease) == 0)
                return makeError(ErrorCode::NotFound, "the lease has ended");
            bytesWritten += static_cast<std::int64_t>(bytes.size());
            data_->values[key] = { bytes, Revision(++data_->revision), lease };
            data_->events.push_back({ key, Revision(data_->revision), bytes });
            return Revision(data_->revision);
        });
    }

    Status remove(const std::string& key, Revision expected) override
    {
        return write<void>("remove", [&]() -> Status {
            BOOST_OUTCOME_TRYV(checkRevision(key, expected));
            erase(key);
            return okStatus();
        });
    }

    Result<LeaseId> grantLease(Milliseconds ttl) override
    {
        return call<LeaseId>("grant", [&]() -> Result<LeaseId> {
            LeaseId id("lease-" + std::to_string(++data_->leaseCount));
            data_->leases[id] = { ttl, clock_.monotonic() + ttl };
            return id;
        });
    }

    Status renewLease(const LeaseId& id) override
    {
        return call<void>("renew", [&]() -> Status {
            const auto found = data_->leases.find(id);
            if (found == data_->leases.end())
                return makeError(ErrorCode::NotFound, "the lease has ended");
            found->second.expires = clock_.monotonic() + found->second.ttl;
            return okStatus();
        });
    }

    Status revokeLease(const LeaseId& id) override
    {
        return call<void>("revoke", [&]() -> Status {
            if (const auto found = data_->leases.find(id); found != data_->leases.end())
                found->second.expires = clock_.monotonic();
            expireLeases();
            return okStatus();
        });
    }

    Result<std::vector<WatchEvent>> watch(const std::string& prefix, Revision after, Milliseconds) override
    {
        return call<std::vector<WatchEvent>>("watch", [&]() -> Result<std::vector<WatchEvent>> {
            std::vector<WatchEvent> events;
            for (const WatchEvent& event : data_->events) {
                if (event.revision > after && event.key.compare(0, prefix.size(), prefix) == 0)
                    events.push_back(event);
            }
            return events;
        });
    }

private:
    struct Value {
        std::string bytes;
        Revision revision;
        std::optional<LeaseId> lease;
    };
    struct Lease {
        Milliseconds ttl { 0 };
        Milliseconds expires { 0 };
    };
    struct Data {
        std::recursive_mutex mutex; // also guards the counts and faults of all clients
        std::map<std::string, Value> values;
        std::map<LeaseId, Lease> leases;
        std::vector<WatchEvent> events;
        std::int64_t revision = 0;
        std::int64_t leaseCount = 0;
    };

    Status checkRevision(const std::string& key, Revision expected) const
    {
        const auto found = data_->values.find(key);
        const Revision present = found == data_->values.end() ? Revision(0) : found->second.revision;
        if (present != expected)
            return makeError(ErrorCode::Conflict, "the key has another revision");
        return okStatus();
    }

    void erase(const std::string& key)
    {
        data_->values.erase(key);
        data_->events.push_back({ key, Revision(++data_->revision), std::nullopt });
    }

    void expireLeases()
    {
        for (auto lease = data_->leases.begin(); lease != data_->leases.end();) {
            if (lease->second.expires > clock_.monotonic()) {
                ++lease;
                continue;
            }
            std::vector<std::string> bound;
            for (const auto& [key, value] : data_->values) {
                if (value.lease == lease->first)
                    bound.push_back(key);
            }
            for (const std::string& key : bound)
                erase(key);
            lease = data_->leases.erase(lease);
        }
    }

    // Counts down to a fault scheduled for the n-th write. Returns true at that write.
    static bool isDue(std::optional<std::int64_t>& countdown)
    {
        if (!countdown || --*countdown > 0)
            return false;
        countdown.reset();
        return true;
    }

    template <typename T, typename Effect> Result<T> write(const char* kind, Effect effect)
    {
        const std::lock_guard lock(data_->mutex);
        ++writes;
        if (isDue(faults.expireLeasesAtWrite))
            expireAllLeases();
        if (isDue(faults.failWrite))
            return unavailable("the store refused the connection", Verdict::NotRun);
        const bool lose = isDue(faults.loseReply);
        Result<T> result = call<T>(kind, effect);
        if (lose)
            return unavailable("the reply was lost", Verdict::MayHaveRun);
        return result;
    }

    template <typename T, typename Effect> Result<T> call(const char* kind, Effect effect)
    {
        const std::lock_guard lock(data_->mutex);
        ++callsByKind[kind];
        if (faults.down || (process_ && !process_->beginCall()))
            return unavailable("the store refused the connection", Verdict::NotRun);
        expireLeases();
        Result<T> result = effect();
        if (process_)
            process_->endCall();
        if (faults.slow)
            return unavailable("no reply within the deadline", Verdict::MayHaveRun);
        return result;
    }

    const Clock& clock_;
    std::shared_ptr<Data> data_;
    std::shared_ptr<ProcessFaults> process_;
};

} // namespace rosemarylink::state::fakes
