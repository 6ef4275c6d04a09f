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

// A store in memory for the instances of one process. Leases do not end, since nothing in a measurement fails to renew.
class SpreadStore final : public state::KeyValueStore {
public:
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
    Status checkUp() const;
    std::vector<state::WatchEvent> changes(const std::string& prefix, Revision after) const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool down_ = false;
    std::int64_t revision_ = 0;
    std::map<std::string, state::StoredValue> values_;
};

// The platform's list; without lag, since the fleet does not change during a measurement.
class SpreadDirectory final : public state::InstanceDirectory {
public:
    explicit SpreadDirectory(std::vector<state::ListedInstance>& list)
        : list_(list)
    {
    }
    Result<std::vector<state::ListedInstance>> list() override { return list_; }

private:
    std::vector<state::ListedInstance>& list_;
};

// Instances with real links on loopback in this process, and the versions that they have put into force.
class SpreadFleet {
public:
    explicit SpreadFleet(int instances);
    ~SpreadFleet();
    SpreadFleet(const SpreadFleet&) = delete;
    SpreadFleet& operator=(const SpreadFleet&) = delete;

    // True when every instance is connected to every other one and hears it within the limit.
    bool waitUntilConnected(Milliseconds limit);

    // Waits until all instances have a version in force; false at the limit.
    bool waitUntilInForce(ConfigVersion, Milliseconds limit);

    transport::MembershipService& service(std::size_t instance) { return *instances_[instance]->service; }
    std::size_t size() const { return instances_.size(); }
    SpreadStore& store() { return store_; }

    // Sent and received bytes of all instances together.
    std::int64_t bytesTransferred() const;

private:
    struct Instance {
        std::unique_ptr<transport::WebSocketLinks> links;
        std::unique_ptr<transport::MembershipService> service;
    };

    bool waitFor(Milliseconds limit, const std::function<bool()>& condition) const;
    void addInstance(int number);

    SystemClock clock_;
    SpreadStore store_;
    std::vector<state::ListedInstance> list_;
    SpreadDirectory directory_ { list_ };
    std::vector<std::unique_ptr<Instance>> instances_;

    std::mutex mutex_;
    std::condition_variable inForce_;
};

} // namespace rosemarylink::bench
