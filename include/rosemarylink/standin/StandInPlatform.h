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

// The whole stand-in platform behind one HTTP server: store, instances, workers, upstreams and faults.
class StandInPlatform {
public:
    StandInPlatform(const settings_standin::StandInSettings&, const Clock&);
    ~StandInPlatform();
    StandInPlatform(const StandInPlatform&) = delete;
    StandInPlatform& operator=(const StandInPlatform&) = delete;

    // Fails when the address cannot be bound.
    Status start();
    int port() const;

private:
    transport::HttpResponse putFaults(const transport::HttpRequest&);
    transport::HttpResponse answerUnlessSilent(const transport::HttpRequest&);
    void registerUpstreams();
    transport::HttpResponse listUpstreams();

    settings_standin::StandInSettings settings_;
    const Clock& clock_;
    StandInStore store_;
    StandInInstances instances_;
    StandInWorkers workers_;
    StandInUpstream upstreams_;
    transport::HttpRouter router_;
    transport::HttpRouter outerRouter_; // passes all but silent requests on to router_
    std::unique_ptr<transport::HttpServer> server_;
    std::mutex mutex_;
    std::condition_variable faultsChanged_;
    platform::Faults faults_;
};

} // namespace rosemarylink::standin
