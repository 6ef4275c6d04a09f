#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/state/KeyValueStore.h"
#include "rosemarylink/transport/MembershipService.h"
#include "rosemarylink/transport/WebSocketLinks.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace rosemarylink::bench {

// In-memory store shared by the instances of one process, from any thread. Leases never expire, since no instance fails
// to renew its lease during a measurement. While the store is down, all calls except revokeLease() fail with verdict
// NotRun.
class MembershipStore final : public state::KeyValueStore {
public:
    // Wakes pending watches, which then fail.
    void setDown(bool);

    Result<std::optional<state::StoredValue>> read(const std::string& key) override;
    Result<std::vector<state::KeyedValue>> list(const std::string& prefix) override;
    Result<Revision> compareAndSwap(const std::string& key, Revision expected, const std::string& bytes,
        const std::optional<LeaseId>& lease = std::nullopt) override;
    Status remove(const std::string& key, Revision expected) override;
    Result<LeaseId> grantLease(Milliseconds ttl) override;
    Status renewLease(const LeaseId&) override;
    Status revokeLease(const LeaseId&) override;
    Result<std::vector<state::WatchEvent>> watch(
        const std::string& prefix, Revision after, Milliseconds timeout) override;

private:
    Status checkAvailable() const;
    std::vector<state::WatchEvent> changes(const std::string& prefix, Revision after) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool down_ = false;
    std::int64_t revision_ = 0;
    std::map<std::string, state::StoredValue> values_;
};

// The platform's list of instances. It has no delay, since the fleet does not change during a measurement.
class MembershipDirectory final : public state::InstanceDirectory {
public:
    explicit MembershipDirectory(std::vector<state::ListedInstance>& list)
        : listedInstances_(list)
    {
    }
    Result<std::vector<state::ListedInstance>> list() override { return listedInstances_; }

private:
    std::vector<state::ListedInstance>& listedInstances_;
};

// Instances of the membership service in this process, connected by WebSocket links over loopback.
class MembershipFleet {
public:
    explicit MembershipFleet(int instances);
    ~MembershipFleet();
    MembershipFleet(const MembershipFleet&) = delete;
    MembershipFleet& operator=(const MembershipFleet&) = delete;

    // Waits until every instance has received a heartbeat from every other one and considers it live. False if that
    // takes longer than `limit`.
    bool waitUntilConnected(Milliseconds limit);

    // Waits until the given version or a later one is in force on all instances. False if that takes longer than
    // `limit`.
    bool waitUntilInForce(ConfigVersion, Milliseconds limit);

    transport::MembershipService& service(std::size_t instance) { return *instances_[instance]->service; }
    std::size_t size() const { return instances_.size(); }
    MembershipStore& store() { return store_; }

    // Bytes sent and received since the start, summed over all instances.
    std::int64_t bytesTransferred() const;

private:
    struct Instance {
        std::unique_ptr<transport::WebSocketLinks> links;
        std::unique_ptr<transport::MembershipService> service;
    };

    bool waitFor(Milliseconds limit, const std::function<bool()>& condition) const;
    void addInstance(int number);

    SystemClock clock_;
    MembershipStore store_;
    std::vector<state::ListedInstance> listedInstances_;
    MembershipDirectory directory_ { listedInstances_ };
    std::vector<std::unique_ptr<Instance>> instances_;

    std::mutex mutex_;
    std::condition_variable configChanged_;
};

} // namespace rosemarylink::bench
