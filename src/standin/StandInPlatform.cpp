#include "rosemarylink/standin/StandInPlatform.h"

#include "rosemarylink/standin/StandInFleet.h"

#include <algorithm>

namespace rosemarylink::standin {

using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::jsonResponse;

namespace {

    constexpr Milliseconds instanceExpiry { 15000 };

    // Silent requests end after this time, so that they do not occupy the server's threads indefinitely.
    constexpr Milliseconds maximumSilence { 60000 };

    StandInUpstreamOptions upstreamOptions(const settings_standin::StandInSettings& settings)
    {
        StandInUpstreamOptions options;
        options.serviceTime = settings.serviceTime;
        return options;
    }

} // namespace

StandInPlatform::StandInPlatform(const settings_standin::StandInSettings& settings, const Clock& clock)
    : settings_(settings)
    , clock_(clock)
    , store_(clock)
    , instances_(clock, settings.instances, instanceExpiry)
    , workers_(clock, makeWorkers(settings), settings.reports)
    , upstreams_(upstreamOptions(settings))
{
    store_.registerRoutes(router_);
    instances_.registerRoutes(router_);
    workers_.registerRoutes(router_);
    router_.add("GET", "/faults", [this](const HttpRequest&) {
        const std::lock_guard lock(mutex_);
        return jsonResponse(toJson(faults_));
    });
    router_.add("PUT", "/faults", [this](const HttpRequest& request) { return putFaults(request); });
    registerUpstreams();
    for (const char* method : { "GET", "PUT", "POST", "DELETE" }) {
        outerRouter_.add(
            method, "/{path...}", [this](const HttpRequest& request) { return routeUnlessSilent(request); });
    }
}

StandInPlatform::~StandInPlatform()
{
    upstreams_.release();
    server_.reset();
}

Status StandInPlatform::start()
{
    transport::HttpServerOptions options;
    options.host = settings_.host;
    options.port = static_cast<int>(settings_.port);
    options.threads = static_cast<int>(settings_.threads);
    server_ = std::make_unique<transport::HttpServer>(outerRouter_, options);
    return server_->start();
}

int StandInPlatform::port() const { return server_->port(); }

void StandInPlatform::registerUpstreams()
{
    for (const model::UpstreamSpec& upstream : makeUpstreams(settings_, ""))
        upstreams_.addUpstream(router_, upstream.id, static_cast<int>(upstream.slots));
    router_.add("GET", "/upstreams",
        [this](const HttpRequest& request) { return transport::withEntityTag(request, listUpstreams()); });
    router_.add("GET", "/upstreams/executions",
        [this](const HttpRequest&) { return jsonResponse(upstreams_.executionsByRequest()); });
}

HttpResponse StandInPlatform::listUpstreams()
{
    nlohmann::json list = nlohmann::json::array();
    for (model::UpstreamSpec upstream : makeUpstreams(settings_, settings_.host + ":" + std::to_string(port()))) {
        const std::lock_guard lock(mutex_);
        const auto& leaving = faults_.leavingUpstreams;
        if (std::find(leaving.begin(), leaving.end(), upstream.id) != leaving.end())
            upstream.state = model::ResourceState::Leaving;
        list.push_back(toJson(upstream));
    }
    return jsonResponse(list);
}

HttpResponse StandInPlatform::putFaults(const HttpRequest& request)
{
    const auto faults = platform::parseFaults(nlohmann::json::parse(request.body, nullptr, false));
    if (!faults)
        return errorResponse(faults.error());
    {
        const std::lock_guard lock(mutex_);
        faults_ = faults.value();
        faultsChanged_.notify_all();
    }
    store_.setFaults(faults.value());
    workers_.setFaults(faults.value());
    return jsonResponse(toJson(faults.value()));
}

HttpResponse StandInPlatform::routeUnlessSilent(const HttpRequest& request)
{
    const auto isSilent = [&] {
        return !faults_.silentPrefix.empty()
            && request.path.compare(0, faults_.silentPrefix.size(), faults_.silentPrefix) == 0;
    };
    {
        std::unique_lock lock(mutex_);
        if (isSilent() && request.path != "/faults") {
            faultsChanged_.wait_for(lock, maximumSilence, [&] { return !isSilent(); });
            HttpResponse none;
            none.closeWithoutAnswer = true;
            return none;
        }
    }
    return router_.route(request);
}

} // namespace rosemarylink::standin
