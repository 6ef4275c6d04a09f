#pragma once

#include "FakeStore.h"

#include "rosemarylink/gateway/RequestService.h"
#include "rosemarylink/standin/StandInUpstream.h"
#include "rosemarylink/transport/HttpClient.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace rosemarylink::gateway::testing {

// Makes an account whose bearer key has the given SHA-256 digest. By convention the key is "key-of-<account>".
inline model::Account makeAccount(
    const std::string& id, const std::string& sha256, double weight = 1, std::int64_t guarantee = 0)
{
    model::Account account;
    account.id = AccountId(id);
    account.weight = weight;
    account.keySha256 = { sha256 };
    account.requestConcurrency = guarantee;
    return account;
}

// SHA-256 of "key-of-franchise" and "key-of-plant".
constexpr const char* franchiseKeySha256 = "11e8dced07934fa38ad2fef2694f0f1841aa55f0acd03afbc610707f6283eca4";
constexpr const char* plantKeySha256 = "ee002b945ddc99b5426c569c292ce0d177810e17a12a5fc177d0e539c8981ce7";

inline model::Declarations makeDeclarations()
{
    model::Declarations declarations;
    declarations.accounts = { makeAccount("franchise", franchiseKeySha256), makeAccount("plant", plantKeySha256) };
    return declarations;
}

inline settings_gateway::GatewaySettings makeSettings(const std::string& id)
{
    settings_gateway::GatewaySettings settings;
    settings.id = InstanceId(id);
    settings.region = RegionId("palermo");
    settings.failureDomain = FailureDomainId("palermo-1");
    settings.timeout = Milliseconds(20000);
    return settings;
}

// Runs a function in several threads, each with its number. The destructor joins the threads.
class CallerThreads {
public:
    CallerThreads(int count, const std::function<void(int)>& run)
    {
        threads_.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number)
            threads_.emplace_back(run, number);
    }
    ~CallerThreads() { join(); }
    CallerThreads(const CallerThreads&) = delete;
    CallerThreads& operator=(const CallerThreads&) = delete;

    void join()
    {
        for (auto& thread : threads_)
            thread.join();
        threads_.clear();
    }

private:
    std::vector<std::thread> threads_;
};

// Stand-in upstreams of the service "invoices", behind one HTTP server on loopback.
struct UpstreamFleet {
    transport::HttpRouter router;
    standin::StandInUpstream upstreams;
    std::unique_ptr<transport::HttpServer> server;
    std::vector<model::UpstreamSpec> specs;

    explicit UpstreamFleet(int count, int slots = 8, const standin::StandInUpstreamOptions& options = {})
        : upstreams(options)
    {
        for (int index = 1; index <= count; ++index)
            upstreams.addUpstream(router, UpstreamId(std::to_string(index)), slots);
        transport::HttpServerOptions serverOptions;
        serverOptions.threads = 64;
        server = std::make_unique<transport::HttpServer>(router, serverOptions);
        REQUIRE(server->start());
        for (int index = 1; index <= count; ++index) {
            model::UpstreamSpec spec;
            spec.id = UpstreamId(std::to_string(index));
            spec.service = ServiceId("invoices");
            spec.address = "127.0.0.1:" + std::to_string(server->port()) + "/u/" + std::to_string(index);
            spec.slots = slots;
            spec.connections = 64;
            spec.region = RegionId("palermo");
            spec.failureDomain = FailureDomainId("palermo-1");
            specs.push_back(spec);
        }
    }

    ~UpstreamFleet() { upstreams.release(); }

    void setFault(standin::UpstreamFault fault, double share = 1)
    {
        standin::UpstreamFaults faults;
        faults.shares[fault] = share;
        upstreams.setFaultsOfAll(faults);
    }

    void clearFaults() { upstreams.setFaultsOfAll({}); }

    std::int64_t totalExecutions() const
    {
        std::int64_t total = 0;
        for (const auto& [request, count] : upstreams.executionsByRequest())
            total += count;
        return total;
    }
};

// A gateway with its HTTP server, and a client for it.
struct TestGateway {
    SystemClock clock;
    MetricsRegistry metrics;
    transport::HttpRouter router;
    RequestService service;
    std::unique_ptr<transport::HttpServer> server;
    std::unique_ptr<transport::HttpClient> client;

    TestGateway(state::KeyValueStore& store, const std::vector<model::UpstreamSpec>& upstreams,
        const settings_gateway::GatewaySettings& settings = makeSettings("gateway-1"),
        const model::Declarations& declarations = makeDeclarations())
        : service(store, clock, metrics, settings)
    {
        service.addRoutes(router);
        service.setDeclarations(declarations);
        service.setUpstreams(upstreams);
        transport::HttpServerOptions options;
        options.threads = 64;
        server = std::make_unique<transport::HttpServer>(router, options);
        REQUIRE(server->start());
        client = std::make_unique<transport::HttpClient>("127.0.0.1:" + std::to_string(server->port()));
    }

    Result<transport::HttpReply> post(const std::string& body, transport::Headers headers = {},
        const std::string& target = "invoices", const std::string& account = "franchise") const
    {
        headers.emplace("Authorization", "Bearer key-of-" + account);
        return client->send("POST", "/v1/requests/" + target, headers, body, Milliseconds(60000));
    }

    Result<transport::HttpReply> postNonIdempotent(
        const std::string& body, const std::string& key, transport::Headers headers = {}) const
    {
        headers["Rosemarylink-Idempotent"] = "false";
        headers["Idempotency-Key"] = key;
        return post(body, headers);
    }

    Result<transport::HttpReply> outcomeOf(const std::string& key) const
    {
        return client->send(
            "GET", "/v1/requests/" + key, { { "Authorization", "Bearer key-of-franchise" } }, "", Milliseconds(60000));
    }
};

inline std::string verdictOf(const transport::HttpReply& reply)
{
    const auto position = reply.headers.find("Rosemarylink-Verdict");
    return position == reply.headers.end() ? "" : position->second;
}

inline std::string headerOf(const transport::HttpReply& reply, const std::string& name)
{
    const auto position = reply.headers.find(name);
    return position == reply.headers.end() ? "" : position->second;
}

} // namespace rosemarylink::gateway::testing
