#include "EdgeProcess.h"

#include "CallerServer.h"
#include "rosemarylink/base/Log.h"

namespace rosemarylink {

namespace {

    // An instance whose configuration the store has not confirmed for this long asks to be left out by the ingress:
    // others may reach the store.
    constexpr Milliseconds readyAge { 2500 };

    // Open connections are served for this long after SIGTERM, so that callers see the end of the instance in its
    // readiness before their connections end.
    constexpr Milliseconds lingerAfterTerm { 2500 };

    // Kept of the grace period for the process's own end.
    constexpr Milliseconds exitMargin { 1000 };

    constexpr Milliseconds shutdownPoll { 50 };

    const Logger logger("edge");

} // namespace

EdgeProcess::EdgeProcess(const std::string& settingsPath, const platform::PlatformSettings& settings)
    : settingsPath_(settingsPath)
    , settings_(settings)
    , loop_(clock_)
    , timers_(loop_)
    , http_(loop_)
    , jobMetrics_(registry_)
    , store_(http_, settings.storeAddress, registry_)
    , workers_(http_)
    , config_(store_, catalog_, timers_, clock_)
    , ownership_(store_, timers_, clock_, settings.nodeName, jobs::acquisitionDelayFor(settings.capacity))
    , owner_(store_, workers_, catalog_, config_, ownership_, timers_, clock_, jobMetrics_, settings.limits)
    , admission_(store_, config_, catalog_, timers_, clock_, jobMetrics_)
{
}

Status EdgeProcess::start()
{
    const reactor::MessageLimits limits;
    BOOST_OUTCOME_TRY(callersServer,
        reactor::LoopHttpServer::listen(loop_, settings_.callerAddress, limits,
            [this](const reactor::ServerRequest& request, const reactor::Responder& respond) {
                platform::serveCaller(admission_, request, respond);
            }));
    BOOST_OUTCOME_TRY(checksServer,
        reactor::LoopHttpServer::listen(loop_, settings_.readinessAddress, limits,
            [this](const reactor::ServerRequest&, const reactor::Responder& respond) { respond(readiness()); }));
    BOOST_OUTCOME_TRY(metricsServer,
        reactor::LoopHttpServer::listen(loop_, settings_.metricsAddress, limits,
            [this](const reactor::ServerRequest&, const reactor::Responder& respond) { respond(metrics()); }));
    callers_ = std::move(callersServer);
    checks_ = std::move(checksServer);
    metrics_ = std::move(metricsServer);
    config_.start();
    ownership_.start(
        { [this](FencingToken token) { owner_.begin(token); }, [this](const std::string&) { owner_.end(); } });
    logger.info("Started", { { "node", settings_.nodeName }, { "callers", settings_.callerAddress } });
    return okStatus();
}

reactor::ServerResponse EdgeProcess::readiness()
{
    config_.whenConfirmed([](const jobs::Configuration*) {}); // keeps the age below current while the store answers
    const auto age = config_.age();
    const bool ready = !shuttingDown_ && age && *age <= readyAge;
    return { ready ? 200 : 503, "{}", {} };
}

reactor::ServerResponse EdgeProcess::metrics()
{
    registry_.gauge("rosemarylink_owner", "1 while this instance schedules the jobs.").set(ownership_.held() ? 1 : 0);
    registry_.gauge("rosemarylink_connections_opened", "Connections opened to the store and to workers.")
        .set(static_cast<double>(http_.connectionsOpened()));
    return { 200, registry_.renderPrometheus(), {}, "text/plain; version=0.0.4" };
}

void EdgeProcess::reload()
{
    const auto loaded = platform::loadPlatformSettings(settingsPath_);
    if (!loaded) {
        logger.error("Settings were not reloaded", { { "reason", loaded.error().message } });
        return;
    }
    settings_.limits = loaded.value().limits;
    settings_.stopGrace = loaded.value().stopGrace;
    owner_.setLimits(settings_.limits);
    logger.info("Settings reloaded", { { "node", settings_.nodeName } });
}

void EdgeProcess::beginShutdown()
{
    if (shuttingDown_)
        return;
    shuttingDown_ = true;
    shutdownBy_ = clock_.monotonic() + std::max(Milliseconds(0), settings_.stopGrace - exitMargin);
    logger.info("Shutting down",
        { { "node", settings_.nodeName }, { "owner", ownership_.held() }, { "inProgress", admission_.inProgress() } });
    owner_.flush([this] {
        owner_.end();
        ownership_.resign();
    });
    loop_.after(std::min(lingerAfterTerm, shutdownBy_ - clock_.monotonic()), [this] {
        callers_->drain();
        continueShutdown();
    });
}

void EdgeProcess::continueShutdown()
{
    if ((callers_->connections() == 0 && !ownership_.held()) || clock_.monotonic() >= shutdownBy_) {
        logger.info("Stopped", { { "node", settings_.nodeName }, { "openConnections", callers_->connections() } });
        loop_.stop();
        return;
    }
    loop_.after(shutdownPoll, [this] { continueShutdown(); });
}

} // namespace rosemarylink
