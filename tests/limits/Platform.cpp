#include "Platform.h"

#include <nlohmann/json.hpp>

namespace rosemarylink::limits {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds simulationStep { 2 };
    constexpr int workerCount = 4;

    jobs::SimFleet::Options fleetOptions()
    {
        jobs::SimFleet::Options options;
        options.longestLease = Platform::workerLease;
        return options;
    }

    std::string configuration()
    {
        const Json route = { { "Name", "batch" }, { "Host", "host" }, { "Prefix", "/batch/" }, { "Service", "pool" },
            { "Priority", 1 }, { "MaxAttempts", 5 }, { "StretchFactor", 2.0 }, { "TargetLatencyMs", 1000 } };
        const Json account = { { "Name", "acme" }, { "ApiKeys", { "key" } }, { "Guaranteed", { { "Gpu", 16 } } } };
        const Json other = { { "Name", "other" }, { "ApiKeys", { "other" } } };
        return Json({ { "Version", 1 }, { "Routes", Json::array({ route }) },
                        { "Services", Json::array({ { { "Name", "pool" } } }) },
                        { "Tenants", Json::array({ account, other }) }, { "Limits", Json::object() } })
            .dump();
    }

} // namespace

Platform::Platform()
    : loop_(clock_)
    , store_(world_)
    , storeClient_(world_, store_)
    , fleet_(world_, store_, fleetOptions())
{
    store_.put("op/config", configuration());
    for (int number = 0; number < workerCount; ++number) {
        const WorkerId id("w" + std::to_string(number));
        fleet_.add(id, "r1-0", { 32000, 64000, 8 });
        workerClients_.push_back(std::make_unique<jobs::SimWorkerClient>(world_, fleet_));
        workerServers_.push_back(soak::serveWorker(loop_, *workerClients_.back(), fleet_.entry(id)));
        store_.put("servers/" + id.value(), soak::platformEntry(fleet_.entry(id), workerServers_.back()->address()));
    }
    storeServer_
        = soak::serveStore(loop_, storeClient_, writeFault_, [](const jobs::Record& record) { return record.value; });
    simulatedUntil_ = clock_.monotonic();
    advance();
    thread_ = std::thread([this] {
        loop_.run([this] {
            if (stopRequested_)
                loop_.stop();
        });
    });
}

Platform::~Platform()
{
    stopRequested_ = true;
    thread_.join();
}

// Advances the simulated time of the platform to real time.
void Platform::advance()
{
    loop_.after(simulationStep, [this] { advance(); });
    const Milliseconds now = clock_.monotonic();
    world_.run(now - simulatedUntil_);
    simulatedUntil_ = now;
}

} // namespace rosemarylink::limits
