#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/generated/Messages.h"
#include "rosemarylink/state/ConfigStore.h"
#include "rosemarylink/state/ConfigWatcher.h"
#include "rosemarylink/state/MembershipAgent.h"
#include "rosemarylink/transport/PlatformClient.h"
#include "rosemarylink/transport/WebSocketLinks.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rosemarylink::node {

struct InstanceNodeOptions {
    InstanceId self;
    messages::InstanceRole role = messages::InstanceRole::Gateway;
    std::string host = "127.0.0.1"; // IP address of the links
    int linkPort = 0; // 0: the kernel chooses
    RegionId region;
    FailureDomainId failureDomain;
    std::string platformAddress; // IP:port
    Milliseconds refreshInterval { 1000 }; // of the platform's list of instances
    std::vector<state::ListedInstance> peers; // known before the platform's list is read
};

// Parses settings values such as "g1@127.0.0.1:8081". Fails on another form.
Result<std::vector<state::ListedInstance>> parsePeers(const std::vector<std::string>&);

// What every gateway and scheduler runs: links to the other instances, membership and the configuration in force. Its
// threads send heartbeats, read the platform's list, watch the store when on duty and retry until both answer.
class InstanceNode {
public:
    // The store, clock and metrics must outlive the node.
    InstanceNode(const InstanceNodeOptions&, state::KeyValueStore&, const Clock&, MetricsRegistry&);
    ~InstanceNode();
    InstanceNode(const InstanceNode&) = delete;
    InstanceNode& operator=(const InstanceNode&) = delete;

    // Set all of these before start.
    void setHandler(const std::string& type, transport::InstanceLinks::Handler);
    void setLoad(std::function<state::InstanceLoad()>);
    void setConfigListener(state::ConfigSpreader::Listener);
    void setBeatListener(std::function<void()>); // called about once a second, after the heartbeats are sent

    // Fails when the link port cannot be bound.
    Status start();

    // Tells peers and platform that this instance is leaving, and gives its duties up.
    void leave();

    // Live instances of a role that are ready or leaving, this one included unless it is leaving; ordered by id.
    std::vector<InstanceId> readyInstances(messages::InstanceRole) const;

    state::MembershipAgent& agent() { return *agent_; }
    const state::MembershipAgent& agent() const { return *agent_; }
    transport::InstanceLinks& links() { return *links_; }
    state::ConfigStore& configStore() { return configStore_; }
    transport::PlatformClient& platform() { return platform_; }
    // True once this instance has been ready for long enough to have heard every other live one. Duties that are shared
    // by an order of the instances start only then, since the first ready instance would take them all.
    bool settled() const;

    const InstanceNodeOptions& options() const { return options_; }

    // True while the last call of the store by the watch duty succeeded or none was due.
    bool storeReachable() const { return storeReachable_; }

private:
    void startThread(Milliseconds interval, std::function<void()> task);
    bool waitFor(Milliseconds); // false when the node stops
    void beat();
    void refreshInstances();
    void watchConfig();
    void exportMetrics();

    InstanceNodeOptions options_;
    const Clock& clock_;
    MetricsRegistry& metrics_;
    transport::PlatformClient platform_;
    std::unique_ptr<transport::WebSocketLinks> links_;
    std::unique_ptr<state::MembershipChannel> channel_;
    std::unique_ptr<state::MembershipAgent> agent_;
    state::ConfigStore configStore_;
    std::unique_ptr<state::ConfigWatcher> watcher_;
    std::function<void()> beatListener_;
    std::atomic<bool> storeReachable_ { true };
    Milliseconds lastAnnouncement_ { 0 };
    std::atomic<Milliseconds> readySince_ { Milliseconds(0) }; // 0 before the first time

    std::mutex mutex_;
    std::condition_variable stopRequested_;
    bool stopping_ = false;
    std::vector<std::thread> threads_;
};

} // namespace rosemarylink::node
