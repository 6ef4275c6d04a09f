#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/SettingsStandin.h"
#include "rosemarylink/standin/StandInInstances.h"
#include "rosemarylink/standin/StandInStore.h"
#include "rosemarylink/standin/StandInUpstream.h"
#include "rosemarylink/standin/StandInWorkers.h"
#include "rosemarylink/transport/HttpServer.h"

#include <memory>

namespace rosemarylink::standin {

// Simulates the platform behind one HTTP server: store, list of instances, workers, upstreams and injected faults.
class StandInPlatform {
public:
    StandInPlatform(const settings_standin::StandInSettings&, const Clock&);
    ~StandInPlatform();
    StandInPlatform(const StandInPlatform&) = delete;
    StandInPlatform& operator=(const StandInPlatform&) = delete;

    // Fails when the address cannot be bound.
    Status start();
    // The port in use. Call after start().
    int port() const;

private:
    transport::HttpResponse putFaults(const transport::HttpRequest&);
    transport::HttpResponse routeUnlessSilent(const transport::HttpRequest&);
    void registerUpstreams();
    transport::HttpResponse listUpstreams();

    settings_standin::StandInSettings settings_;
    const Clock& clock_;
    StandInStore store_;
    StandInInstances instances_;
    StandInWorkers workers_;
    StandInUpstream upstreams_;
    transport::HttpRouter router_;
    transport::HttpRouter outerRouter_; // forwards requests to router_, except silent ones
    std::unique_ptr<transport::HttpServer> server_;
    std::mutex mutex_;
    std::condition_variable faultsChanged_;
    platform::Faults faults_;
};

} // namespace rosemarylink::standin
