#pragma once

#include "PlatformCatalog.h"
#include "PlatformSettings.h"
#include "StoreClient.h"
#include "WorkerClient.h"
#include "rosemarylink/jobs/Admission.h"
#include "rosemarylink/jobs/HedgedStore.h"
#include "rosemarylink/jobs/Ownership.h"
#include "rosemarylink/jobs/PoolOwner.h"
#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/LoopHttpClient.h"
#include "rosemarylink/reactor/LoopHttpServer.h"

#include <memory>
#include <string>

namespace rosemarylink {

// Implements the jobs library's timers on the event loop.
class LoopTimers final : public jobs::Timers {
public:
    explicit LoopTimers(reactor::EventLoop& loop)
        : loop_(loop)
    {
    }
    Id after(Milliseconds delay, std::function<void()> task) override { return loop_.after(delay, std::move(task)); }
    void cancel(Id id) override { loop_.cancel(id); }

private:
    reactor::EventLoop& loop_;
};

// One rosemarylink instance on the platform. It serves callers and, while it owns the pools, schedules their jobs.
// Everything runs on the thread that calls run().
class EdgeProcess {
public:
    // Connections of callers that are idle for `callerIdleLimit` are closed; 0 means never.
    EdgeProcess(const std::string& settingsPath, const platform::PlatformSettings&, Milliseconds callerIdleLimit,
        const reactor::ConnectionLimits& callerLimits);

    // Starts the servers and connects to the store. Fails with Unavailable when an address cannot be listened on. Must
    // be called once, before run().
    Status start();

    // Runs until a shutdown started by beginShutdown() has finished. Calls onIteration at least every 100 ms.
    void run(const std::function<void()>& onIteration) { loop_.run(onIteration); }

    // Reloads the limits and the grace period from the settings file. If that fails, the old ones stay in force.
    void reload();

    // Releases ownership, completes the requests in progress and then ends run(), at the latest when the grace period
    // is over. Further calls have no effect.
    void beginShutdown();

private:
    reactor::ServerResponse readiness();
    reactor::ServerResponse metrics();
    void continueShutdown();

    SystemClock clock_;
    std::string settingsPath_;
    platform::PlatformSettings settings_;
    Milliseconds callerIdleLimit_;
    reactor::ConnectionLimits callerLimits_;
    reactor::EventLoop loop_;
    LoopTimers timers_;
    reactor::LoopHttpClient http_;
    MetricsRegistry registry_;
    jobs::JobMetrics jobMetrics_;
    platform::StoreClient storeClient_;
    platform::StoreClient newConnectionStoreClient_; // for further attempts of calls without a response
    jobs::HedgedStore store_;
    platform::WorkerClient workers_;
    platform::PlatformCatalog catalog_;
    jobs::ConfigView config_;
    jobs::Ownership ownership_;
    jobs::PoolOwner owner_;
    jobs::Admission admission_;
    std::unique_ptr<reactor::LoopHttpServer> callerServer_;
    std::unique_ptr<reactor::LoopHttpServer> readinessServer_;
    std::unique_ptr<reactor::LoopHttpServer> metricsServer_;
    bool shuttingDown_ = false;
    Milliseconds shutdownDeadline_ { 0 };
};

} // namespace rosemarylink
