#include "rosemarylink/process/SchedulerProcess.h"

#include "rosemarylink/base/Log.h"

#include <functional>

namespace rosemarylink::process {

namespace {

    const Logger& logger()
    {
        static const Logger log("scheduler");
        return log;
    }

    // The store answers in milliseconds; a call that takes longer counts as failed and is settled later.
    constexpr Milliseconds storeTimeout { 1500 };

    node::InstanceNodeOptions nodeOptions(const settings_scheduler::SchedulerSettings& settings)
    {
        node::InstanceNodeOptions options;
        options.self = settings.id;
        options.role = messages::InstanceRole::Scheduler;
        options.host = settings.address;
        options.linkPort = static_cast<int>(settings.linkPort);
        options.region = settings.region;
        options.failureDomain = settings.failureDomain;
        options.platformAddress = settings.platformAddress;
        options.refreshInterval = settings.refreshInterval;
        options.peers = node::parsePeers(settings.peers).value();
        return options;
    }

    scheduler::CellHostOptions cellOptions(const settings_scheduler::SchedulerSettings& settings)
    {
        scheduler::CellHostOptions options;
        options.self = settings.id;
        options.policy = settings.policy;
        options.seed = std::hash<InstanceId> {}(settings.id);
        return options;
    }

} // namespace

SchedulerProcess::SchedulerProcess(const settings_scheduler::SchedulerSettings& settings)
    : settings_(settings)
    , remoteStore_(settings.platformAddress)
    , store_(remoteStore_, clock_, metrics_, "scheduler", {}, std::hash<InstanceId> {}(settings.id))
    , submissionStore_(remoteStore_, clock_, metrics_, "submissions", {}, std::hash<InstanceId> {}(settings.id))
    , workers_(std::make_unique<scheduler::HttpWorkerAgent>(settings.platformAddress, settings.orderTimeout))
    , cells_(std::make_unique<scheduler::CellHost>(
          cellOptions(settings), store_, submissionStore_, *workers_, clock_, metrics_))
    , node_(std::make_unique<node::InstanceNode>(nodeOptions(settings), store_, clock_, metrics_))
{
    connectNode();
    addRoutes();
    transport::HttpServerOptions options;
    options.host = settings.address;
    options.port = static_cast<int>(settings.httpPort);
    options.threads = 8;
    options.limits = reactor::operatorLimits();
    server_ = std::make_unique<transport::HttpServer>(router_, options);
}

SchedulerProcess::~SchedulerProcess()
{
    // The routes, handlers and listeners use the node and the cells until these two calls return.
    server_.reset();
    node_->stop();
}

void SchedulerProcess::connectNode()
{
    node_->setHandler("job", [this](const InstanceId&, const nlohmann::json& body) -> Result<nlohmann::json> {
        BOOST_OUTCOME_TRY(forward, messages::parseJobForward(body));
        return cells_->handle(forward);
    });
    node_->setHandler("cells",
        [this](const InstanceId&, const nlohmann::json&) -> Result<nlohmann::json> { return cells_->status(); });
    node_->setLoad([this] { return state::InstanceLoad { cells_->ownedCells(), 0 }; });
    node_->setConfigListener([this](const config::ConfigInForce& config) {
        cells_->setConfig(config.version, config.declarations);
        logger().info("configuration in force",
            { { "version", config.version }, { "preset", model::presetName(config.declarations.preset) } });
    });
    node_->setTickListener([this] {
        if (node_->membershipSettled())
            cells_->setCandidates(node_->readyInstances(messages::InstanceRole::Scheduler));
        metrics_.gauge("rosemarylink_worker_order_bytes", "Bytes of orders to workers and of their answers.")
            .set(static_cast<double>(workers_->bytesTransferred()));
    });
}

void SchedulerProcess::addRoutes()
{
    router_.add("GET", "/healthz", [](const transport::HttpRequest&) { return transport::jsonResponse("ok"); });
    router_.add("GET", "/readyz", [this](const transport::HttpRequest&) {
        if (node_->agent().state() == messages::InstanceState::Ready)
            return transport::jsonResponse("ready");
        return transport::errorResponse(unavailable("the scheduler is starting or shutting down", Verdict::NotRun));
    });
    router_.add("GET", "/metrics", [this](const transport::HttpRequest&) {
        transport::HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = metrics_.renderPrometheus();
        return response;
    });
}

Status SchedulerProcess::start()
{
    BOOST_OUTCOME_TRYV(server_->start());
    BOOST_OUTCOME_TRYV(node_->start());
    cells_->start();
    logger().info("started", { { "instance", settings_.id }, { "http", server_->port() } });
    return okStatus();
}

bool SchedulerProcess::shutDown()
{
    logger().info("shutting down", { { "instance", settings_.id } });
    node_->leave();
    const bool left = cells_->leave(settings_.drainLimit);
    if (!left)
        logger().warning("cells not released within the drain limit", { { "limit-ms", settings_.drainLimit.count() } });
    server_->stop(Milliseconds(1000));
    return left;
}

} // namespace rosemarylink::process
