#include "rosemarylink/gateway/RequestService.h"

#include "AccountDirectory.h"
#include "IdempotentHandler.h"
#include "NonIdempotentHandler.h"
#include "RequestHeaders.h"
#include "RequestMetrics.h"
#include "RequestTracker.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/RandomId.h"

#include <algorithm>
#include <shared_mutex>

namespace rosemarylink::gateway {

using namespace internal;
using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

    constexpr Milliseconds retryAfterDrain { 100 }; // the load balancer sends the retry to another gateway
    constexpr Milliseconds retryAfterRefusal { 100 };

    ServicePoolOptions poolOptions(const settings_gateway::GatewaySettings& settings)
    {
        ServicePoolOptions options;
        options.routing
            = { settings.region, settings.failureDomain, settings.regionRoundTrip, settings.crossRegionCost };
        options.connections = { settings.connectTimeout, settings.probeAfter, settings.probeTimeout,
            static_cast<std::size_t>(settings.maximumAnswer) };
        return options;
    }

    HttpResponse upstreamResponse(int status, const std::string& contentType, std::string body)
    {
        HttpResponse response;
        response.status = status;
        response.contentType = contentType.empty() ? "application/octet-stream" : contentType;
        response.body = std::move(body);
        response.headers["Rosemarylink-Verdict"] = std::string(verdictName(Verdict::Ran));
        return response;
    }

    HttpResponse recordResponse(attempts::AttemptRecord record)
    {
        const Verdict verdict = parseVerdict(record.verdict).value_or(Verdict::MayHaveRun);
        const bool deadlinePassed = record.code == errorCodeName(ErrorCode::DeadlineExceeded);
        HttpResponse response;
        if (verdict != Verdict::Ran)
            response = errorResponse(Error { deadlinePassed ? ErrorCode::DeadlineExceeded : ErrorCode::Unavailable,
                record.message, verdict, std::nullopt });
        else if (record.answerOmitted)
            response = errorResponse(Error { ErrorCode::NotFound,
                "the request ran, but its response was too long to store", Verdict::Ran, std::nullopt });
        else
            response = upstreamResponse(static_cast<int>(record.status), record.contentType, std::move(record.answer));
        response.headers["Rosemarylink-Request-Id"] = record.request.value();
        return response;
    }

} // namespace

struct RequestService::State {
    State(state::KeyValueStore& store, const Clock& serviceClock, MetricsRegistry& registry,
        const settings_gateway::GatewaySettings& gatewaySettings)
        : clock(serviceClock)
        , settings(gatewaySettings)
        , metrics(registry)
        , log(store)
        , budget(gatewaySettings.retryShare)
        , retryOptions { gatewaySettings.hedgeDelay, gatewaySettings.progressTimeout }
        , nonIdempotentOptions { gatewaySettings.id, static_cast<std::size_t>(gatewaySettings.storedAnswer) }
        , queueLimiter(static_cast<std::size_t>(gatewaySettings.queueLength),
              [this](const ServiceId& service) { return evictLowerWorth(service); })
        , directory(std::make_shared<AccountDirectory>(model::Declarations {}))
    {
    }

    const Clock& clock;
    const settings_gateway::GatewaySettings settings;
    RequestMetrics metrics;
    AttemptLog log;
    RetryBudget budget;
    const RetryOptions retryOptions;
    const NonIdempotentOptions nonIdempotentOptions;
    AccountUsage usage;
    QueueLimiter queueLimiter;
    RequestTracker tracker;
    std::atomic<bool> closeConnections { false };

    // Guards the members below, which change only with the declarations, the platform's list and the number of
    // gateways.
    mutable std::shared_mutex mutex;
    std::shared_ptr<const AccountDirectory> directory;
    std::map<ServiceId, std::shared_ptr<ServicePool>> pools;
    std::vector<model::UpstreamSpec> upstreams;
    std::size_t gateways = 1;

    std::shared_ptr<const AccountDirectory> currentDirectory() const
    {
        const std::shared_lock lock(mutex);
        return directory;
    }

    std::shared_ptr<ServicePool> findPool(const ServiceId& service) const
    {
        const std::shared_lock lock(mutex);
        const auto position = pools.find(service);
        return position == pools.end() ? nullptr : position->second;
    }

    void applyUpstreams();
    bool evictLowerWorth(const ServiceId&) const;
    HttpResponse submit(const HttpRequest&);
    HttpResponse serve(const HttpRequest&);
    HttpResponse serveIdempotent(const GatewayRequest&, ServicePool&);
    HttpResponse serveNonIdempotent(const GatewayRequest&, const std::optional<IdempotencyKey>&, ServicePool&);
    HttpResponse fetchOutcome(const HttpRequest&);
    HttpResponse addConnectionHeader(HttpResponse) const;
};

void RequestService::State::applyUpstreams()
{
    std::map<ServiceId, std::vector<model::UpstreamSpec>> byService;
    for (const auto& [service, pool] : pools)
        byService[service];
    for (const model::UpstreamSpec& spec : upstreams)
        byService[spec.service].push_back(spec);
    for (const auto& [service, specs] : byService) {
        auto& pool = pools[service];
        if (!pool)
            pool = std::make_shared<ServicePool>(service, poolOptions(settings), usage, queueLimiter, clock);
        pool->setUpstreams(specs, gateways);
    }
}

// Tries the services with the lowest worth first.
bool RequestService::State::evictLowerWorth(const ServiceId& service) const
{
    std::multimap<double, std::shared_ptr<ServicePool>> lowerWorth;
    {
        const std::shared_lock lock(mutex);
        const double worth = directory->worth(service);
        for (const auto& [other, pool] : pools) {
            if (directory->worth(other) < worth)
                lowerWorth.emplace(directory->worth(other), pool);
        }
    }
    return std::any_of(
        lowerWorth.begin(), lowerWorth.end(), [](const auto& entry) { return entry.second->evictOne(); });
}

HttpResponse RequestService::State::submit(const HttpRequest& request)
{
    if (!tracker.tryBegin()) {
        return addConnectionHeader(errorResponse(
            Error { ErrorCode::Unavailable, "this gateway is shutting down", Verdict::NotRun, retryAfterDrain }));
    }
    metrics.inProgress.set(static_cast<double>(tracker.count()));
    const Milliseconds start = clock.monotonic();
    HttpResponse response;
    try {
        response = serve(request);
    } catch (...) {
        tracker.end();
        throw;
    }
    const Verdict verdict = parseVerdict(response.headers["Rosemarylink-Verdict"]).value_or(Verdict::MayHaveRun);
    metrics.recordRequest(verdict, static_cast<double>((clock.monotonic() - start).count()));
    tracker.end();
    metrics.inProgress.set(static_cast<double>(tracker.count()));
    return addConnectionHeader(std::move(response));
}

HttpResponse RequestService::State::addConnectionHeader(HttpResponse response) const
{
    if (closeConnections)
        response.headers["Connection"] = "close";
    return response;
}

HttpResponse RequestService::State::serve(const HttpRequest& request)
{
    const auto accounts = currentDirectory();
    const auto account = accounts->authenticate(request.header("Authorization"));
    if (!account)
        return errorResponse(account.error());
    const auto headers = parseRequestHeaders(request, settings.timeout, settings.maximumTimeout);
    if (!headers)
        return errorResponse(headers.error());
    if (request.body.size() > static_cast<std::size_t>(settings.maximumBody))
        return errorResponse(
            invalidArgument("the body is longer than " + std::to_string(settings.maximumBody) + " bytes"));
    GatewayRequest gatewayRequest;
    gatewayRequest.account = account.value();
    gatewayRequest.service = ServiceId(request.parameters.at("service"));
    gatewayRequest.upstreamRequest = { makeRandomId<RequestId>(), request.header("Content-Type"), request.body };
    gatewayRequest.urgent = headers.value().urgent;
    gatewayRequest.deadline = clock.monotonic() + headers.value().timeout;
    gatewayRequest.cancelled = request.clientGone;
    const auto pool = findPool(gatewayRequest.service);
    if (!pool)
        return errorResponse(makeError(ErrorCode::NotFound, "no such service: " + gatewayRequest.service.value()));
    return headers.value().idempotent ? serveIdempotent(gatewayRequest, *pool)
                                      : serveNonIdempotent(gatewayRequest, headers.value().key, *pool);
}

HttpResponse RequestService::State::serveIdempotent(const GatewayRequest& request, ServicePool& pool)
{
    IdempotentHandler handler(request, pool, budget, retryOptions, clock, metrics);
    auto result = handler.handle();
    HttpResponse response;
    if (result) {
        response = upstreamResponse(result.value().status, result.value().contentType, std::move(result.value().body));
    } else {
        Error error = result.error();
        if (error.verdict == Verdict::NotRun && !error.retryAfter)
            error.retryAfter = retryAfterRefusal;
        response = errorResponse(error);
    }
    response.headers["Rosemarylink-Request-Id"] = request.upstreamRequest.id.value();
    return response;
}

HttpResponse RequestService::State::serveNonIdempotent(
    const GatewayRequest& request, const std::optional<IdempotencyKey>& givenKey, ServicePool& pool)
{
    const IdempotencyKey key = givenKey ? *givenKey : makeRandomId<IdempotencyKey>();
    NonIdempotentHandler handler(request, key, pool, log, nonIdempotentOptions, clock, metrics);
    auto record = handler.handle();
    HttpResponse response;
    if (record) {
        response = recordResponse(std::move(record).value());
    } else {
        // A refused or unfinished request has no record that contains its id.
        response = errorResponse(record.error());
        response.headers["Rosemarylink-Request-Id"] = request.upstreamRequest.id.value();
    }
    response.headers["Idempotency-Key"] = key.value();
    return response;
}

HttpResponse RequestService::State::fetchOutcome(const HttpRequest& request)
{
    const auto account = currentDirectory()->authenticate(request.header("Authorization"));
    if (!account)
        return errorResponse(account.error());
    const auto key = parseIdempotencyKey(request.parameters.at("key"));
    if (!key)
        return errorResponse(key.error());
    auto attempt = log.read(account.value(), key.value());
    if (!attempt) {
        Error error = attempt.error();
        // The verdict describes the request whose outcome is asked for, and that outcome is unknown.
        error.verdict = Verdict::MayHaveRun;
        return errorResponse(error);
    }
    if (!attempt.value()) {
        // The record may be on its way to the store; only another submission with the same key gives a certain result.
        return errorResponse(Error {
            ErrorCode::NotFound, "no attempt with this key has been recorded", Verdict::MayHaveRun, std::nullopt });
    }
    attempts::AttemptRecord record = std::move(attempt).value()->record;
    if (record.phase == attempts::AttemptPhase::Started)
        return errorResponse(unfinishedAttemptError(record, clock.now()));
    return recordResponse(std::move(record));
}

RequestService::RequestService(state::KeyValueStore& store, const Clock& clock, MetricsRegistry& metrics,
    const settings_gateway::GatewaySettings& settings)
    : state_(std::make_unique<State>(store, clock, metrics, settings))
{
}

RequestService::~RequestService() = default;

void RequestService::addRoutes(transport::HttpRouter& router)
{
    router.add("POST", "/v1/requests/{service}",
        [state = state_.get()](const HttpRequest& request) { return state->submit(request); });
    router.add("GET", "/v1/requests/{key}", [state = state_.get()](const HttpRequest& request) {
        return state->addConnectionHeader(state->fetchOutcome(request));
    });
}

void RequestService::setDeclarations(const model::Declarations& declarations)
{
    auto directory = std::make_shared<AccountDirectory>(declarations);
    const std::unique_lock lock(state_->mutex);
    state_->usage.setAccounts(declarations.accounts, state_->gateways);
    state_->directory = std::move(directory);
}

void RequestService::setUpstreams(const std::vector<model::UpstreamSpec>& upstreams)
{
    const std::unique_lock lock(state_->mutex);
    state_->upstreams = upstreams;
    state_->applyUpstreams();
}

void RequestService::setGatewayCount(std::size_t count)
{
    const std::unique_lock lock(state_->mutex);
    state_->gateways = std::max<std::size_t>(1, count);
    state_->usage.setAccounts(state_->directory->accounts(), state_->gateways);
    state_->applyUpstreams();
}

void RequestService::closeConnectionsAfterResponses() { state_->closeConnections = true; }

void RequestService::beginDrain()
{
    state_->closeConnections = true;
    state_->tracker.beginDrain();
}

std::size_t RequestService::inProgress() const { return state_->tracker.count(); }

bool RequestService::waitUntilIdle(Milliseconds limit) { return state_->tracker.waitUntilIdle(limit); }

} // namespace rosemarylink::gateway
