#pragma once

#include "PlatformServers.h"
#include "SimCluster.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace rosemarylink::limits {

// A simulated store with a configuration and a few workers, served on loopback by a thread of its own.
class Platform {
public:
    Platform();
    ~Platform();
    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;

    std::string storeAddress() const { return storeServer_->address(); }

    static constexpr Milliseconds workerLease { 6000 };

private:
    void advance();

    SystemClock clock_;
    reactor::EventLoop loop_;
    jobs::SimWorld world_;
    jobs::SimStore store_;
    jobs::SimStoreClient storeClient_;
    soak::WriteFault writeFault_;
    jobs::SimFleet fleet_;
    std::vector<std::unique_ptr<jobs::SimWorkerClient>> workerClients_;
    std::vector<std::unique_ptr<reactor::LoopHttpServer>> workerServers_;
    std::unique_ptr<reactor::LoopHttpServer> storeServer_;
    Milliseconds simulatedUntil_ { 0 };
    std::atomic<bool> stopRequested_ { false };
    std::thread thread_;
};

} // namespace rosemarylink::limits
