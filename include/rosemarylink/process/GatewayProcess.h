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

// The parts of a gateway process, put together from its settings.
class GatewayProcess {
public:
    GatewayProcess(const settings_gateway::GatewaySettings&, std::vector<control::OperatorKey>);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess&) = delete;
    GatewayProcess& operator=(const GatewayProcess&) = delete;

    // Fails when a port cannot be bound.
    Status start();

    // The port of the HTTP server; known after start.
    int httpPort() const { return server_->port(); }

    // Lets the load balancer notice, finishes the requests in progress and ends. False when some were still in progress
    // at the limit.
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
