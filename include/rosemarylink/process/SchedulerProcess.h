#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/generated/SettingsScheduler.h"
#include "rosemarylink/node/InstanceNode.h"
#include "rosemarylink/scheduler/CellHost.h"
#include "rosemarylink/scheduler/HttpWorkerAgent.h"
#include "rosemarylink/state/HttpKeyValueStore.h"
#include "rosemarylink/state/ResilientStore.h"
#include "rosemarylink/transport/HttpServer.h"

#include <memory>

namespace rosemarylink::process {

// Owns and connects the components of a scheduler process. All methods are called from the main thread.
class SchedulerProcess {
public:
    explicit SchedulerProcess(const settings_scheduler::SchedulerSettings&);
    ~SchedulerProcess();
    SchedulerProcess(const SchedulerProcess&) = delete;
    SchedulerProcess& operator=(const SchedulerProcess&) = delete;

    // Starts the component threads and servers. Call once. Fails when a port cannot be bound.
    Status start();

    // The port of the HTTP server; valid after start().
    int httpPort() const { return server_->port(); }

    const scheduler::CellHost& cells() const { return *cells_; }

    // Shuts the scheduler down gracefully: releases its cells, so that other schedulers take them over at once. Call
    // once, after start(). Returns false when the cells were not released within the drain limit.
    bool shutDown();

private:
    void addRoutes();
    void connectNode();

    settings_scheduler::SchedulerSettings settings_;
    SystemClock clock_;
    MetricsRegistry metrics_;
    state::HttpKeyValueStore remoteStore_;
    state::ResilientStore store_;
    state::ResilientStore submissionStore_;
    std::unique_ptr<scheduler::HttpWorkerAgent> workers_;
    std::unique_ptr<scheduler::CellHost> cells_;
    std::unique_ptr<node::InstanceNode> node_;
    transport::HttpRouter router_;
    std::unique_ptr<transport::HttpServer> server_;
};

} // namespace rosemarylink::process
