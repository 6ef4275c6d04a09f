#pragma once

#include "rosemarylink/control/Authenticator.h"
#include "rosemarylink/process/GatewayProcess.h"
#include "rosemarylink/process/SchedulerProcess.h"
#include "rosemarylink/standin/StandInPlatform.h"
#include "rosemarylink/transport/HttpClient.h"

#include <Poco/Event.h>

#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace rosemarylink::process {

// Polls a condition until it is true or the limit is reached, and returns its last value. The default limit is far
// above the time that any condition needs, so that only a fault reaches it.
inline bool eventually(const std::function<bool()>& condition, std::chrono::seconds limit = std::chrono::seconds(60))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    Poco::Event neverSet;
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        neverSet.tryWait(20);
    }
    return condition();
}

// A stand-in platform with gateways and schedulers, all in the test process, connected by sockets on loopback.
class Cluster {
public:
    static constexpr const char* operatorKey = "operator-key";
    static constexpr const char* accountKey = "account-key";

    Cluster()
    {
        settings_standin::StandInSettings settings;
        settings.regions = { "amman", "irbid" };
        settings.workers = 8;
        settings.services = { "quotes" };
        settings.count = 4;
        settings.reports = Milliseconds(100);
        settings.instances = Milliseconds(500);
        platform_ = std::make_unique<standin::StandInPlatform>(settings, clock_);
        REQUIRE(platform_->start());
        platformAddress_ = "127.0.0.1:" + std::to_string(platform_->port());
        platformClient_ = std::make_unique<transport::HttpClient>(platformAddress_);
    }

    void startGateway(const std::string& id)
    {
        settings_gateway::GatewaySettings settings;
        settings.id = InstanceId(id);
        settings.region = RegionId("amman");
        settings.failureDomain = FailureDomainId("amman-1");
        settings.httpPort = 0;
        settings.linkPort = 0;
        settings.platformAddress = platformAddress_;
        settings.announceTime = Milliseconds(200);
        const std::vector<control::OperatorKey> keys { { OperatorId("layla"), control::sha256Hex(operatorKey) } };
        auto gateway = std::make_unique<GatewayProcess>(settings, keys);
        REQUIRE(gateway->start());
        clients_[id] = std::make_unique<transport::HttpClient>("127.0.0.1:" + std::to_string(gateway->httpPort()));
        gateways_[id] = std::move(gateway);
    }

    void startScheduler(const std::string& id)
    {
        settings_scheduler::SchedulerSettings settings;
        settings.id = InstanceId(id);
        settings.region = RegionId("amman");
        settings.failureDomain = FailureDomainId("amman-1");
        settings.httpPort = 0;
        settings.linkPort = 0;
        settings.platformAddress = platformAddress_;
        auto scheduler = std::make_unique<SchedulerProcess>(settings);
        REQUIRE(scheduler->start());
        schedulers_[id] = std::move(scheduler);
    }

    // Shuts an instance down gracefully and destroys it. Returns whether the graceful shutdown was complete.
    bool stopGateway(const std::string& id)
    {
        const bool complete = gateways_.at(id)->shutDown();
        gateways_.erase(id);
        clients_.erase(id);
        return complete;
    }
    // As stopGateway, but keeps the gateway's client, so that later requests get a closed port.
    bool stopGatewayKeepingClient(const std::string& id)
    {
        const bool complete = gateways_.at(id)->shutDown();
        gateways_.erase(id);
        return complete;
    }
    bool stopScheduler(const std::string& id)
    {
        const bool complete = schedulers_.at(id)->shutDown();
        schedulers_.erase(id);
        return complete;
    }

    // Destroys a scheduler without a graceful shutdown, as a crash does.
    void killScheduler(const std::string& id) { schedulers_.erase(id); }

    Result<transport::HttpReply> send(const std::string& gateway, const std::string& method, const std::string& path,
        const std::string& body = "", transport::Headers headers = {}, const std::string& key = operatorKey)
    {
        headers["Authorization"] = "Bearer " + key;
        return clients_.at(gateway)->send(method, path, headers, body, Milliseconds(20000));
    }

    // Returns the parsed body of the reply, or an empty object when there is no reply or its status is not 2xx.
    nlohmann::json get(const std::string& gateway, const std::string& path)
    {
        const auto reply = send(gateway, "GET", path);
        if (!reply || reply.value().status / 100 != 2)
            return nlohmann::json::object();
        return nlohmann::json::parse(reply.value().body, nullptr, false);
    }

    nlohmann::json platformGet(const std::string& path)
    {
        return nlohmann::json::parse(
            platformClient_->send("GET", path, {}, "", Milliseconds(5000)).value().body, nullptr, false);
    }

    void setFaults(const nlohmann::json& faults)
    {
        REQUIRE(platformClient_->send("PUT", "/faults", {}, faults.dump(), Milliseconds(5000)).value().status == 200);
    }

    // Applies declarations of one account with a guaranteed gang, and waits until both cells have an owner.
    void configure(const std::string& gateway)
    {
        const auto reply
            = send(gateway, "PUT", "/v1/config", declarations("ordinary").dump(), { { "If-Match", "0" } }).value();
        INFO(reply.body);
        REQUIRE(reply.status == 200);
        REQUIRE(eventually([&] { return ownedCells(gateway) == 2; }));
    }

    static nlohmann::json declarations(const std::string& preset)
    {
        return { { "preset", preset },
            { "accounts",
                { { { "id", "crews" }, { "weight", 1 }, { "keySha256", { control::sha256Hex(accountKey) } },
                    { "requestConcurrency", 8 } } } },
            { "guarantees",
                { { { "name", "sorting" }, { "account", "crews" }, { "region", "amman" }, { "gangs", 1 },
                    { "tasks", 8 }, { "perTask", { { "accelerators", 1 } } }, { "adjacency", "rack" } } } } };
    }

    std::size_t ownedCells(const std::string& gateway)
    {
        std::size_t owned = 0;
        for (const auto& cell : get(gateway, "/v1/status").value("cells", nlohmann::json::array()))
            owned += cell.value("owner", "").empty() ? 0 : 1;
        return owned;
    }

    std::string ownerOf(const std::string& gateway, const std::string& cell)
    {
        for (const auto& view : get(gateway, "/v1/status").value("cells", nlohmann::json::array())) {
            if (view.value("cell", "") == cell)
                return view.value("owner", "");
        }
        return "";
    }

private:
    SystemClock clock_;
    std::unique_ptr<standin::StandInPlatform> platform_;
    std::string platformAddress_;
    std::unique_ptr<transport::HttpClient> platformClient_;
    std::map<std::string, std::unique_ptr<SchedulerProcess>> schedulers_;
    std::map<std::string, std::unique_ptr<GatewayProcess>> gateways_;
    std::map<std::string, std::unique_ptr<transport::HttpClient>> clients_;
};

} // namespace rosemarylink::process
