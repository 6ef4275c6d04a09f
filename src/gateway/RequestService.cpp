#include "rosemarylink/gateway/RequestService.h"

#include "AccountDirectory.h"
#include "IdempotentRun.h"
#include "InProgress.h"
#include "RequestHeaders.h"
#include "RequestMetrics.h"
#include "SingleRun.h"

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

    constexpr Milliseconds retryAfterDrain { 100 }; // another gateway takes the request
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

    HttpResponse answerResponse(int status, const std::string& contentType, std::string body)
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
            response = errorResponse(Error { ErrorCode::NotFound, "the request ran; its answer was too long to be kept",
                Verdict::Ran, std::nullopt });
        else
            response = answerResponse(static_cast<int>(record.status), record.contentType, std::move(record.answer));
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
        , singleOptions { gatewaySettings.id, static_cast<std::size_t>(gatewaySettings.storedAnswer) }
        , room(static_cast<std::size_t>(gatewaySettings.queueLength),
              [this](const ServiceId& service) { return evictCheaper(service); })
        , directory(std::make_shared<AccountDirectory>(model::Declarations {}))
    {
    }

    const Clock& clock;
    const settings_gateway::GatewaySettings settings;
    RequestMetrics metrics;
    AttemptLog log;
    RetryBudget budget;
    const RetryOptions retryOptions;
    const SingleOptions singleOptions;
    AccountUsage usage;
    WaitingRoom room;
    InProgress inProgress;
    std::atomic<bool> leaving { false };

    // Guards the members below, which change with the configuration and the platform's list only.
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
    bool evictCheaper(const ServiceId&) const;
    HttpResponse submit(const HttpRequest&);
    HttpResponse serve(const HttpRequest&);
    HttpResponse serveIdempotent(const GatewayRequest&, ServicePool&);
    HttpResponse serveSingle(const GatewayRequest&, const std::optional<IdempotencyKey>&, ServicePool&);
    HttpResponse outcome(const HttpRequest&);
    HttpResponse finish(HttpResponse) const;
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
            pool = std::make_shared<ServicePool>(service, poolOptions(settings), usage, room, clock);
        pool->setUpstreams(specs, gateways);
    }
}

// Requests of the services with the lowest worth leave the waiting room first.
bool RequestService::State::evictCheaper(const ServiceId& service) const
{
    std::multimap<double, std::shared_ptr<ServicePool>> cheaper;
    {
        const std::shared_lock lock(mutex);
        const double worth = directory->worth(service);
        for (const auto& [other, pool] : pools) {
            if (directory->worth(other) < worth)
                cheaper.emplace(directory->worth(other), pool);
        }
    }
    return std::any_of(cheaper.begin(), cheaper.end(), [](const auto& entry) { return entry.second->evictOne(); });
}

HttpResponse RequestService::State::submit(const HttpRequest& request)
{
    if (!inProgress.enter()) {
        return finish(errorResponse(
            Error { ErrorCode::Unavailable, "this gateway is leaving", Verdict::NotRun, retryAfterDrain }));
    }
    metrics.inProgress.set(static_cast<double>(inProgress.count()));
    const Milliseconds start = clock.monotonic();
    HttpResponse response;
    try {
        response = serve(request);
    } catch (...) {
        inProgress.leave();
        throw;
    }
    const Verdict verdict = parseVerdict(response.headers["Rosemarylink-Verdict"]).value_or(Verdict::MayHaveRun);
    metrics.finished(verdict, static_cast<double>((clock.monotonic() - start).count()));
    inProgress.leave();
    metrics.inProgress.set(static_cast<double>(inProgress.count()));
    return finish(std::move(response));
}

HttpResponse RequestService::State::finish(HttpResponse response) const
{
    if (leaving)
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
    GatewayRequest wanted;
    wanted.account = account.value();
    wanted.service = ServiceId(request.parameters.at("service"));
    wanted.upstreamRequest = { makeRandomId<RequestId>(), request.header("Content-Type"), request.body };
    wanted.urgent = headers.value().urgent;
    wanted.deadline = clock.monotonic() + headers.value().timeout;
    wanted.cancelled = request.clientGone;
    const auto pool = findPool(wanted.service);
    if (!pool)
        return errorResponse(makeError(ErrorCode::NotFound, "no such service: " + wanted.service.value()));
    return headers.value().idempotent ? serveIdempotent(wanted, *pool)
                                      : serveSingle(wanted, headers.value().key, *pool);
}

HttpResponse RequestService::State::serveIdempotent(const GatewayRequest& request, ServicePool& pool)
{
    IdempotentRun run(request, pool, budget, retryOptions, clock, metrics);
    auto answer = run.run();
    HttpResponse response;
    if (answer) {
        response = answerResponse(answer.value().status, answer.value().contentType, std::move(answer.value().body));
    } else {
        Error error = answer.error();
        if (error.verdict == Verdict::NotRun && !error.retryAfter)
            error.retryAfter = retryAfterRefusal;
        response = errorResponse(error);
    }
    response.headers["Rosemarylink-Request-Id"] = request.upstreamRequest.id.value();
    return response;
}

HttpResponse RequestService::State::serveSingle(
    const GatewayRequest& request, const std::optional<IdempotencyKey>& givenKey, ServicePool& pool)
{
    const IdempotencyKey key = givenKey ? *givenKey : makeRandomId<IdempotencyKey>();
    SingleRun run(request, key, pool, log, singleOptions, clock, metrics);
    auto record = run.run();
    HttpResponse response;
    if (record) {
        response = recordResponse(std::move(record).value());
    } else {
        // A refused or unfinished request has no record to name its id.
        response = errorResponse(record.error());
        response.headers["Rosemarylink-Request-Id"] = request.upstreamRequest.id.value();
    }
    response.headers["Idempotency-Key"] = key.value();
    return response;
}

HttpResponse RequestService::State::outcome(const HttpRequest& request)
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
        // What is unknown is the outcome of the request that is asked about.
        error.verdict = Verdict::MayHaveRun;
        return errorResponse(error);
    }
    if (!attempt.value()) {
        // Its submission may be on its way to the store; only a submission with the same key gives certainty.
        return errorResponse(Error {
            ErrorCode::NotFound, "no attempt with this key is recorded so far", Verdict::MayHaveRun, std::nullopt });
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
    router.add("GET", "/v1/requests/{key}",
        [state = state_.get()](const HttpRequest& request) { return state->finish(state->outcome(request)); });
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

void RequestService::announceLeaving() { state_->leaving = true; }

void RequestService::beginDrain()
{
    state_->leaving = true;
    state_->inProgress.beginDrain();
}

std::size_t RequestService::inProgress() const { return state_->inProgress.count(); }

bool RequestService::waitUntilIdle(Milliseconds limit) { return state_->inProgress.waitUntilIdle(limit); }

} // namespace rosemarylink::gateway
