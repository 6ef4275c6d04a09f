#include "RequestsFleet.h"

#include "rosemarylink/base/RandomId.h"

#include <Poco/SHA2Engine.h>

#include <cstdlib>
#include <iostream>
#include <utility>

namespace rosemarylink::bench {

namespace {

    constexpr int baselineRetries = 3;
    constexpr Milliseconds defaultTimeout { 20000 };

    Error unsupported()
    {
        return makeError(ErrorCode::Unsupported, "operation not supported by the benchmark's store");
    }

    settings_gateway::GatewaySettings settingsFor(const GatewayOptions& options)
    {
        settings_gateway::GatewaySettings settings;
        settings.id = InstanceId(options.id);
        settings.region = RegionId(options.region);
        settings.failureDomain = FailureDomainId(options.region);
        settings.progressTimeout = options.progressTimeout;
        return settings;
    }

    model::Declarations benchDeclarations()
    {
        Poco::SHA2Engine engine(Poco::SHA2Engine::SHA_256);
        engine.update(std::string(benchAccountKey));
        model::Account account;
        account.id = AccountId("bench");
        account.weight = 1;
        account.keySha256 = { Poco::DigestEngine::digestToHex(engine.digest()) };
        model::Declarations declarations;
        declarations.accounts = { account };
        return declarations;
    }

} // namespace

std::unique_ptr<transport::HttpServer> startServer(const transport::HttpRouter& router, int threads, int port)
{
    transport::HttpServerOptions options;
    options.threads = threads;
    options.port = port;
    auto server = std::make_unique<transport::HttpServer>(router, options);
    const auto started = server->start();
    if (!started) {
        std::cerr << started.error() << "\n";
        std::exit(2);
    }
    return server;
}

MemoryStore::MemoryStore(std::uint64_t seed, double replyLossRate)
    : random_(seed)
    , replyLossRate_(replyLossRate)
{
}

Result<std::optional<state::StoredValue>> MemoryStore::read(const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto position = values_.find(key);
    if (position == values_.end())
        return std::optional<state::StoredValue>();
    return std::optional<state::StoredValue>(position->second);
}

Result<Revision> MemoryStore::compareAndSwap(
    const std::string& key, Revision expected, const std::string& bytes, const std::optional<LeaseId>&)
{
    const std::lock_guard lock(mutex_);
    const auto position = values_.find(key);
    if ((position == values_.end() ? Revision(0) : position->second.revision) != expected)
        return makeError(ErrorCode::Conflict, "the revision does not match");
    const Revision revision(++revision_);
    values_[key] = { bytes, revision };
    if (std::uniform_real_distribution<double>(0, 1)(random_) < replyLossRate_)
        return unavailable("the reply was lost", Verdict::MayHaveRun);
    return revision;
}

Result<std::vector<state::KeyedValue>> MemoryStore::list(const std::string&) { return unsupported(); }
Status MemoryStore::remove(const std::string&, Revision) { return unsupported(); }
Result<LeaseId> MemoryStore::grantLease(Milliseconds) { return unsupported(); }
Status MemoryStore::renewLease(const LeaseId&) { return unsupported(); }
Status MemoryStore::revokeLease(const LeaseId&) { return unsupported(); }
Result<std::vector<state::WatchEvent>> MemoryStore::watch(const std::string&, Revision, Milliseconds)
{
    return unsupported();
}

UpstreamFleet::UpstreamFleet(const FleetOptions& options)
    : upstreams_(options.upstreamOptions)
{
    for (const std::string& region : options.regions) {
        for (int index = 0; index < options.upstreamsPerRegion; ++index) {
            model::UpstreamSpec spec;
            spec.id = UpstreamId(region + "-" + std::to_string(index));
            spec.service = ServiceId("invoices");
            spec.slots = options.slotsPerUpstream;
            spec.connections = 64;
            spec.region = RegionId(region);
            spec.failureDomain = FailureDomainId(region);
            upstreams_.addUpstream(upstreamRouter_, spec.id, options.slotsPerUpstream);
            const std::size_t position = specs_.size();
            observingRouter_.add(
                "POST", "/u/" + spec.id.value() + "/run", [this, position](const transport::HttpRequest& request) {
                    if (observer_)
                        observer_(position, request);
                    return upstreamRouter_.route(request);
                });
            specs_.push_back(spec);
        }
    }
    server_ = startServer(observingRouter_, options.serverThreads);
    for (model::UpstreamSpec& spec : specs_)
        spec.address = "127.0.0.1:" + std::to_string(server_->port()) + "/u/" + spec.id.value();
}

UpstreamFleet::~UpstreamFleet() { upstreams_.release(); }

void UpstreamFleet::setObserver(std::function<void(std::size_t, const transport::HttpRequest&)> observer)
{
    observer_ = std::move(observer);
}

ProductGateway::ProductGateway(
    state::KeyValueStore& store, const std::vector<model::UpstreamSpec>& upstreams, const GatewayOptions& options)
    : service_(store, clock_, metrics_, settingsFor(options))
{
    service_.addRoutes(router_);
    service_.setDeclarations(benchDeclarations());
    service_.setGatewayCount(options.gatewayCount);
    service_.setUpstreams(upstreams);
    server_ = startServer(router_, options.threads, options.port);
}

bool ProductGateway::drain(Milliseconds limit)
{
    service_.beginDrain();
    const bool idle = service_.waitUntilIdle(limit);
    return server_->stop(limit) && idle;
}

BaselineGateway::BaselineGateway(
    const std::vector<model::UpstreamSpec>& upstreams, Routing routing, std::uint64_t seed, int threads)
    : routing_(routing)
    , random_(seed)
{
    for (const model::UpstreamSpec& spec : upstreams) {
        const auto slash = spec.address.find('/');
        targets_.push_back({ spec.address.substr(slash) + "/run",
            std::make_unique<transport::HttpClient>(spec.address.substr(0, slash)) });
    }
    router_.add(
        "POST", "/v1/requests/{service}", [this](const transport::HttpRequest& request) { return serve(request); });
    server_ = startServer(router_, threads);
}

std::size_t BaselineGateway::chooseTarget()
{
    if (routing_ == Routing::RoundRobin)
        return next_++ % targets_.size();
    const std::lock_guard lock(mutex_);
    return std::uniform_int_distribution<std::size_t>(0, targets_.size() - 1)(random_);
}

transport::HttpResponse BaselineGateway::serve(const transport::HttpRequest& request)
{
    const std::string id = randomHex128();
    const Milliseconds timeout(
        std::stoll(request.header("Rosemarylink-Timeout-Ms", std::to_string(defaultTimeout.count()))));
    Error error = unavailable("every attempt ended with a status of 500 or above", Verdict::MayHaveRun);
    for (int attempt = 0; attempt <= baselineRetries; ++attempt) {
        Target& target = targets_[chooseTarget()];
        const auto reply
            = target.client->send("POST", target.path, { { "Rosemarylink-Request-Id", id } }, request.body, timeout);
        if (!reply) {
            error = reply.error();
            continue;
        }
        if (reply.value().status >= 500)
            continue;
        transport::HttpResponse response;
        response.status = reply.value().status;
        response.body = reply.value().body;
        response.headers["Rosemarylink-Verdict"] = "Ran";
        response.headers["Rosemarylink-Request-Id"] = id;
        return response;
    }
    return transport::errorResponse(error);
}

} // namespace rosemarylink::bench
