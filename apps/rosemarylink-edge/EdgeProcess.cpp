#include "EdgeProcess.h"

#include "CallerServer.h"
#include "rosemarylink/base/Log.h"

namespace rosemarylink {

namespace {

    // An instance whose configuration has not been confirmed for this long reports that it is not ready, so that the
    // ingress uses other instances, which may still reach the store.
    constexpr Milliseconds maximumReadyAge { 2500 };

    // Connections are served for this long after SIGTERM, so that the ingress sees that the instance is not ready
    // before its connections are closed.
    constexpr Milliseconds drainDelay { 2500 };

    // Part of the grace period that is reserved for the exit of the process.
    constexpr Milliseconds exitMargin { 1000 };

    constexpr Milliseconds shutdownPoll { 50 };

    const Logger logger("edge");

} // namespace

EdgeProcess::EdgeProcess(const std::string& settingsPath, const platform::PlatformSettings& settings,
    Milliseconds callerIdleLimit, const reactor::ConnectionLimits& callerLimits)
    : settingsPath_(settingsPath)
    , settings_(settings)
    , callerIdleLimit_(callerIdleLimit)
    , callerLimits_(callerLimits)
    , loop_(clock_)
    , timers_(loop_)
    , http_(loop_)
    , jobMetrics_(registry_)
    , storeClient_(http_, settings.storeAddress, registry_, settings.storeValueBytes)
    , newConnectionStoreClient_(
          http_, settings.storeAddress, registry_, settings.storeValueBytes, reactor::ConnectionUse::New)
    , store_(storeClient_, newConnectionStoreClient_, timers_, clock_, registry_)
    , workers_(http_)
    , config_(store_, catalog_, timers_, clock_)
    , ownership_(store_, timers_, clock_, jobMetrics_, settings.nodeName, jobs::acquisitionDelayFor(settings.capacity))
    , owner_(store_, workers_, catalog_, config_, ownership_, timers_, clock_, jobMetrics_, settings.limits)
    , admission_(store_, config_, catalog_, timers_, clock_, jobMetrics_)
{
}

Status EdgeProcess::start()
{
    const reactor::ConnectionLimits operatorLimits = reactor::operatorLimits();
    BOOST_OUTCOME_TRY(callerServer,
        reactor::LoopHttpServer::listen(loop_, settings_.callerAddress, callerLimits_,
            [this](const reactor::ServerRequest& request, const reactor::Responder& respond) {
                platform::serveCaller(admission_, request, respond);
            }));
    BOOST_OUTCOME_TRY(readinessServer,
        reactor::LoopHttpServer::listen(loop_, settings_.readinessAddress, operatorLimits,
            [this](const reactor::ServerRequest&, const reactor::Responder& respond) { respond(readiness()); }));
    BOOST_OUTCOME_TRY(metricsServer,
        reactor::LoopHttpServer::listen(loop_, settings_.metricsAddress, operatorLimits,
            [this](const reactor::ServerRequest&, const reactor::Responder& respond) { respond(metrics()); }));
    callerServer_ = std::move(callerServer);
    if (callerIdleLimit_ > Milliseconds(0))
        callerServer_->closeIdleConnections(callerIdleLimit_);
    callerServer_->observe({ [this](const std::string& cause) {
                                registry_
                                    .counter("rosemarylink_caller_connections_closed_total",
                                        "Connections of callers that were closed because of a limit.",
                                        { { "cause", cause } })
                                    .add();
                            },
        [this](const std::string& cause) {
            registry_
                .counter("rosemarylink_refused_requests_total",
                    "Requests of callers that were refused because of a limit.", { { "cause", cause } })
                .add();
        } });
    readinessServer_ = std::move(readinessServer);
    metricsServer_ = std::move(metricsServer);
    config_.start();
    ownership_.start(
        { [this](FencingToken token) { owner_.begin(token); }, [this](const std::string&) { owner_.end(); } });
    logger.info("Started", { { "node", settings_.nodeName }, { "callers", settings_.callerAddress } });
    logger.info("Limits of callers",
        { { "connections", callerLimits_.connections }, { "bufferedBytes", callerLimits_.bufferedBytes },
            { "requestBytes", callerLimits_.requestBytes }, { "bodyBytes", callerLimits_.message.bodyBytes },
            { "kernelBufferBytes", callerLimits_.kernelBufferBytes } });
    return okStatus();
}

reactor::ServerResponse EdgeProcess::readiness()
{
    config_.whenConfirmed([](const jobs::Configuration*) {}); // keeps the configuration confirmed without requests
    const auto age = config_.age();
    const bool ready = !shuttingDown_ && age && *age <= maximumReadyAge;
    return { ready ? 200 : 503, "{}", {} };
}

reactor::ServerResponse EdgeProcess::metrics()
{
    registry_.gauge("rosemarylink_owner", "1 while this instance schedules the jobs.").set(ownership_.held() ? 1 : 0);
    registry_.gauge("rosemarylink_connections_opened", "Connections opened to the store and to workers.")
        .set(static_cast<double>(http_.connectionsOpened()));
    registry_.gauge("rosemarylink_caller_connections", "Open connections of callers.")
        .set(static_cast<double>(callerServer_->connections()));
    registry_.gauge("rosemarylink_idle_caller_connections_closed", "Connections of callers that were closed as idle.")
        .set(static_cast<double>(callerServer_->idleConnectionsClosed()));
    registry_
        .gauge("rosemarylink_caller_buffered_bytes", "Bytes of callers that are received and not handled, or unsent.")
        .set(static_cast<double>(callerServer_->budget().bufferedBytes()));
    registry_.gauge("rosemarylink_caller_request_bytes", "Estimated memory of callers' requests in progress.")
        .set(static_cast<double>(callerServer_->budget().requestBytes()));
    return { 200, registry_.renderPrometheus(), {}, "text/plain; version=0.0.4" };
}

void EdgeProcess::reload()
{
    const auto loaded = platform::loadPlatformSettings(settingsPath_);
    if (!loaded) {
        logger.error("Settings were not reloaded", { { "reason", loaded.error().message } });
        return;
    }
    const bool deferLargest = settings_.limits.deferLargest; // a command line option
    settings_.limits = loaded.value().limits;
    settings_.limits.deferLargest = deferLargest;
    settings_.stopGrace = loaded.value().stopGrace;
    owner_.setLimits(settings_.limits);
    logger.info("Settings reloaded", { { "node", settings_.nodeName } });
}

void EdgeProcess::beginShutdown()
{
    if (shuttingDown_)
        return;
    shuttingDown_ = true;
    shutdownDeadline_ = clock_.monotonic() + std::max(Milliseconds(0), settings_.stopGrace - exitMargin);
    logger.info("Shutting down",
        { { "node", settings_.nodeName }, { "owner", ownership_.held() }, { "inProgress", admission_.inProgress() } });
    owner_.flush([this] {
        owner_.end();
        ownership_.resign();
    });
    loop_.after(std::min(drainDelay, shutdownDeadline_ - clock_.monotonic()), [this] {
        callerServer_->drain();
        continueShutdown();
    });
}

void EdgeProcess::continueShutdown()
{
    if ((callerServer_->connections() == 0 && !ownership_.held()) || clock_.monotonic() >= shutdownDeadline_) {
        logger.info("Stopped", { { "node", settings_.nodeName }, { "openConnections", callerServer_->connections() } });
        loop_.stop();
        return;
    }
    loop_.after(shutdownPoll, [this] { continueShutdown(); });
}

} // namespace rosemarylink
