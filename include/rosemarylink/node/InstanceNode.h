#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/generated/Messages.h"
#include "rosemarylink/transport/MembershipService.h"
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
    std::string host = "127.0.0.1"; // IP address for the instance links
    int linkPort = 0; // 0: an ephemeral port
    RegionId region;
    FailureDomainId failureDomain;
    std::string platformAddress; // IP:port
    Milliseconds refreshInterval { 1000 }; // between reads of the platform's instance list
    std::vector<state::ListedInstance> peers; // used until the platform lists them
};

// Parses settings values such as "g1@127.0.0.1:8081". Fails with InvalidArgument on any other form.
Result<std::vector<state::ListedInstance>> parsePeers(const std::vector<std::string>&);

// The part that every gateway and scheduler runs: links to the other instances, membership and the distribution of the
// configuration. Announces the instance to the platform and marks it ready once its configuration is up to date.
class InstanceNode {
public:
    // The store, clock and metrics must outlive the node.
    InstanceNode(const InstanceNodeOptions&, state::KeyValueStore&, const Clock&, MetricsRegistry&);
    ~InstanceNode();
    InstanceNode(const InstanceNode&) = delete;
    InstanceNode& operator=(const InstanceNode&) = delete;

    // Handlers and listeners. Set them before start(); they are called from the node's own threads.
    void setHandler(const std::string& type, transport::InstanceLinks::Handler);
    void setLoad(std::function<state::InstanceLoad()>);
    void setConfigListener(state::ConfigReplicator::Listener);
    void setTickListener(std::function<void()>); // called about once a second; optional

    // Fails when the link port cannot be bound.
    Status start();

    // Ends the node's threads and closes its links. No handler or listener runs after it. Whoever set them calls it
    // before destroying what they use. A second call has no effect.
    void stop();

    // Announces to the peers and the platform that this instance is leaving.
    void leave();

    // The instances of a role that are ready or silent, and this one unless it is leaving; ordered by id.
    std::vector<InstanceId> readyInstances(messages::InstanceRole) const;

    state::MembershipAgent& agent() { return service_->agent(); }
    const state::MembershipAgent& agent() const { return service_->agent(); }
    transport::InstanceLinks& links() { return *links_; }
    transport::MembershipService& membership() { return *service_; }
    transport::PlatformClient& platform() { return platform_; }

    // True once this instance has been ready long enough to have heard from every other live one. Duties that are
    // spread over the instances must not start earlier, since the first ready instance would take all of them.
    bool membershipSettled() const;

    const InstanceNodeOptions& options() const { return options_; }

private:
    void run();
    void tick();
    void exportMetrics();

    InstanceNodeOptions options_;
    const Clock& clock_;
    MetricsRegistry& metrics_;
    transport::PlatformClient platform_;
    std::unique_ptr<transport::WebSocketLinks> links_;
    std::unique_ptr<state::InstanceDirectory> directory_;
    std::unique_ptr<transport::MembershipService> service_;
    std::function<void()> tickListener_;
    std::atomic<Milliseconds> readySince_ { Milliseconds(0) }; // monotonic; 0 until the instance is ready

    std::mutex mutex_;
    std::condition_variable stopRequested_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace rosemarylink::node
