#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/control/ClusterBackend.h"
#include "rosemarylink/control/OperatorApi.h"
#include "rosemarylink/gateway/RequestService.h"
#include "rosemarylink/generated/SettingsGateway.h"
#include "rosemarylink/node/InstanceNode.h"
#include "rosemarylink/state/HttpKeyValueStore.h"
#include "rosemarylink/state/ResilientStore.h"
#include "rosemarylink/transport/HttpServer.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace rosemarylink::process {

// Owns and connects the components of a gateway process. All methods are called from the main thread.
class GatewayProcess {
public:
    GatewayProcess(const settings_gateway::GatewaySettings&, std::vector<control::OperatorKey>);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    // Starts the component threads and servers. Call once. Fails when a port cannot be bound.
    Status start();

    // The port of the HTTP server; valid after start().
    int httpPort() const { return server_->port(); }

    // Shuts the gateway down gracefully: announces it, waits for the announce time so that the load balancer can react,
    // and finishes the requests in progress. Call once, after start(). Returns false when requests were still in
    // progress at the drain limit.
    bool shutDown();

private:
    void connectNode();
    void refreshUpstreams();
    void waitFor(Milliseconds);

    settings_gateway::GatewaySettings settings_;
    SystemClock clock_;
    MetricsRegistry metrics_;
    state::HttpKeyValueStore remoteStore_;
    state::ResilientStore store_;
    gateway::RequestService requests_;
    std::unique_ptr<node::InstanceNode> node_;
    std::unique_ptr<control::ClusterBackend> backend_;
    std::unique_ptr<control::OperatorApi> operators_;
    transport::HttpRouter router_;
    std::unique_ptr<transport::HttpServer> server_;

    std::mutex mutex_;
    std::condition_variable stopRequested_;
    bool stopping_ = false;
    std::thread upstreamThread_;
};

} // namespace rosemarylink::process
