#include "rosemarylink/process/GatewayProcess.h"

#include "rosemarylink/base/Log.h"

#include <functional>

namespace rosemarylink::process {

namespace {

    // For this long after the drain, new requests are refused with NotRun before the port closes. Closing it at once
    // would reset the connections that wait to be accepted, and their callers could not know whether their requests
    // ran.
    constexpr Milliseconds refusalTime { 1000 };

    const Logger& logger()
    {
        static const Logger log("gateway");
        return log;
    }

    // The store answers in milliseconds; a call that takes longer counts as failed and is settled later.
    constexpr Milliseconds storeTimeout { 1500 };

    node::InstanceNodeOptions nodeOptions(const settings_gateway::GatewaySettings& settings)
    {
        node::InstanceNodeOptions options;
        options.self = settings.id;
        options.role = messages::InstanceRole::Gateway;
        options.host = settings.address;
        options.linkPort = static_cast<int>(settings.linkPort);
        options.region = settings.region;
        options.failureDomain = settings.failureDomain;
        options.platformAddress = settings.platformAddress;
        options.refreshInterval = settings.refreshInterval;
        options.peers = node::parsePeers(settings.peers).value();
        return options;
    }

    transport::HttpServerOptions serverOptions(const settings_gateway::GatewaySettings& settings)
    {
        transport::HttpServerOptions options;
        options.host = settings.address;
        options.port = static_cast<int>(settings.httpPort);
        options.threads = static_cast<int>(settings.connections);
        options.queuedRequests = static_cast<std::size_t>(settings.queuedConnections);
        options.limits = reactor::gatewayLimitsFor(static_cast<std::size_t>(settings.memory),
            static_cast<std::size_t>(settings.openConnections), static_cast<std::size_t>(settings.maximumBody));
        options.idleTimeout = settings.idleTimeout;
        return options;
    }

} // namespace

GatewayProcess::GatewayProcess(
    const settings_gateway::GatewaySettings& settings, std::vector<control::OperatorKey> operators)
    : settings_(settings)
    , remoteStore_(settings.platformAddress)
    , store_(remoteStore_, clock_, metrics_, "gateway", {}, std::hash<InstanceId> {}(settings.id))
    , requests_(store_, clock_, metrics_, settings)
    , node_(std::make_unique<node::InstanceNode>(nodeOptions(settings), store_, clock_, metrics_))
    , backend_(std::make_unique<control::ClusterBackend>(*node_, store_, clock_))
    , operators_(std::make_unique<control::OperatorApi>(*backend_, metrics_, std::move(operators)))
{
    connectNode();
    requests_.addRoutes(router_);
    operators_->registerRoutes(router_);
    server_ = std::make_unique<transport::HttpServer>(router_, serverOptions(settings));
}

GatewayProcess::~GatewayProcess()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        stopRequested_.notify_all();
    }
    if (upstreamThread_.joinable())
        upstreamThread_.join();
    // The routes, handlers and listeners use the node and the requests until these two calls return.
    server_.reset();
    node_->stop();
}

void GatewayProcess::connectNode()
{
    node_->setConfigListener([this](const config::ConfigInForce& config) {
        requests_.setDeclarations(config.declarations);
        logger().info("configuration in force",
            { { "version", config.version }, { "preset", model::presetName(config.declarations.preset) } });
    });
    node_->setLoad([this] { return state::InstanceLoad { {}, static_cast<std::int64_t>(requests_.inProgress()) }; });
    node_->setTickListener([this] {
        const std::size_t gateways = node_->readyInstances(messages::InstanceRole::Gateway).size();
        requests_.setGatewayCount(std::max<std::size_t>(gateways, 1));
    });
}

Status GatewayProcess::start()
{
    BOOST_OUTCOME_TRYV(node_->start());
    BOOST_OUTCOME_TRYV(server_->start());
    upstreamThread_ = std::thread([this] { refreshUpstreams(); });
    logger().info("started", { { "instance", settings_.id }, { "http", server_->port() } });
    return okStatus();
}

void GatewayProcess::refreshUpstreams()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        // While the platform does not respond, the last list stays in use.
        if (const auto upstreams = node_->platform().listUpstreams())
            requests_.setUpstreams(upstreams.value());
        lock.lock();
        stopRequested_.wait_for(lock, settings_.refreshInterval, [this] { return stopping_; });
    }
}

void GatewayProcess::waitFor(Milliseconds duration)
{
    std::unique_lock lock(mutex_);
    stopRequested_.wait_for(lock, duration, [this] { return stopping_; });
}

bool GatewayProcess::shutDown()
{
    logger().info("shutting down", { { "instance", settings_.id }, { "in-progress", requests_.inProgress() } });
    requests_.closeConnectionsAfterResponses();
    node_->leave();
    waitFor(settings_.announceTime);
    requests_.beginDrain();
    const bool idle = requests_.waitUntilIdle(settings_.drainLimit);
    waitFor(refusalTime);
    const bool finished = server_->stop(settings_.drainLimit) && idle;
    if (!finished)
        logger().warning(
            "requests still in progress at the drain limit", { { "limit-ms", settings_.drainLimit.count() } });
    return finished;
}

} // namespace rosemarylink::process
