#pragma once

#include "PlatformCatalog.h"
#include "PlatformSettings.h"
#include "StoreClient.h"
#include "WorkerClient.h"
#include "rosemarylink/jobs/Admission.h"
#include "rosemarylink/jobs/Ownership.h"
#include "rosemarylink/jobs/PoolOwner.h"
#include "rosemarylink/reactor/EventLoop.h"
#include "rosemarylink/reactor/LoopHttpClient.h"
#include "rosemarylink/reactor/LoopHttpServer.h"

#include <memory>
#include <string>

namespace rosemarylink {

// Timers of the event loop.
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

// One instance on the users' platform: callers in, and, while it owns the pools, orders out.
class EdgeProcess {
public:
    EdgeProcess(const std::string& settingsPath, const platform::PlatformSettings&);

    // Listens and starts to follow the store. Fails when an address cannot be listened on.
    Status start();

    // Serves until a shutdown that beginShutdown() started is over. onTurn is called at least every 100 ms.
    void run(const std::function<void()>& onTurn) { loop_.run(onTurn); }

    // Reads the settings file again. A file that cannot be read changes nothing.
    void reload();

    // Gives up the ownership, answers what is in progress, and ends run().
    void beginShutdown();

private:
    reactor::ServerResponse readiness();
    reactor::ServerResponse metrics();
    void continueShutdown();

    SystemClock clock_;
    std::string settingsPath_;
    platform::PlatformSettings settings_;
    reactor::EventLoop loop_;
    LoopTimers timers_;
    reactor::LoopHttpClient http_;
    MetricsRegistry registry_;
    jobs::JobMetrics jobMetrics_;
    platform::StoreClient store_;
    platform::WorkerClient workers_;
    platform::PlatformCatalog catalog_;
    jobs::ConfigView config_;
    jobs::Ownership ownership_;
    jobs::PoolOwner owner_;
    jobs::Admission admission_;
    std::unique_ptr<reactor::LoopHttpServer> callers_;
    std::unique_ptr<reactor::LoopHttpServer> checks_;
    std::unique_ptr<reactor::LoopHttpServer> metrics_;
    bool shuttingDown_ = false;
    Milliseconds shutdownBy_ { 0 };
};

} // namespace rosemarylink
