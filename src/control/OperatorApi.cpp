#include "rosemarylink/control/OperatorApi.h"

#include "RequestInput.h"

namespace rosemarylink::control {

using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::HttpRouter;
using transport::jsonResponse;

OperatorApi::OperatorApi(ControlBackend& backend, MetricsRegistry& metrics, std::vector<OperatorKey> operators)
    : backend_(backend)
    , metrics_(metrics)
    , authenticator_(std::move(operators))
{
}

void OperatorApi::registerRoutes(HttpRouter& router)
{
    const auto all = Access::OperatorsAndAccounts;
    const auto operators = Access::OperatorsOnly;
    addRoute(router, "GET", "/v1/status", operators, &OperatorApi::status);
    addRoute(router, "GET", "/v1/config", operators, &OperatorApi::config);
    addRoute(router, "PUT", "/v1/config", operators, &OperatorApi::putConfig);
    addRoute(router, "GET", "/v1/config/versions/{version}", operators, &OperatorApi::configVersion);
    addRoute(router, "GET", "/v1/preset", operators, &OperatorApi::preset);
    addRoute(router, "PUT", "/v1/preset", operators, &OperatorApi::putPreset);
    addRoute(router, "POST", "/v1/jobs", all, &OperatorApi::submitJob);
    addRoute(router, "GET", "/v1/jobs", all, &OperatorApi::jobs);
    addRoute(router, "GET", "/v1/jobs/{id}", all, &OperatorApi::job);
    addRoute(router, "DELETE", "/v1/jobs/{id}", all, &OperatorApi::cancelJob);
    addRoute(router, "GET", "/v1/jobs/{id}/explain", all, &OperatorApi::explainJob);
    addRoute(router, "GET", "/v1/accounts", operators, &OperatorApi::accounts);
    addRoute(router, "GET", "/v1/workers", operators, &OperatorApi::workers);
    addRoute(router, "GET", "/v1/audit", operators, &OperatorApi::audit);
    registerProbes(router);
}

void OperatorApi::addRoute(
    HttpRouter& router, const std::string& method, const std::string& pattern, Access access, Handler handler)
{
    router.add(method, pattern, [this, method, pattern, access, handler](const HttpRequest& request) {
        HttpResponse response = handle(request, access, handler);
        metrics_
            .counter("rosemarylink_operator_requests_total", "Requests to the operators' interface.",
                { { "method", method }, { "path", pattern }, { "status", std::to_string(response.status) } })
            .add();
        return response;
    });
}

void OperatorApi::registerProbes(HttpRouter& router)
{
    router.add("GET", "/healthz", [](const HttpRequest&) { return jsonResponse({ { "alive", true } }); });
    router.add("GET", "/readyz", [this](const HttpRequest&) {
        const Status ready = backend_.readiness();
        if (ready)
            return jsonResponse({ { "ready", true } });
        HttpResponse response = errorResponse(ready.error());
        response.status = 503; // load balancers check only the status
        return response;
    });
    router.add("GET", "/metrics", [this](const HttpRequest&) {
        HttpResponse response;
        response.contentType = "text/plain; version=0.0.4";
        response.body = metrics_.renderPrometheus();
        return response;
    });
}

HttpResponse OperatorApi::handle(const HttpRequest& request, Access access, Handler handler)
{
    const auto principal = authorize(request, access);
    if (!principal) {
        HttpResponse response = errorResponse(principal.error());
        if (principal.error().code == ErrorCode::Unauthenticated)
            response.headers["WWW-Authenticate"] = "Bearer";
        return response;
    }
    return (this->*handler)(request, principal.value());
}

Result<Principal> OperatorApi::authorize(const HttpRequest& request, Access access) const
{
    const auto current = backend_.currentConfig();
    const model::Declarations* declarations = current ? &current.value().declarations : nullptr;
    auto principal = authenticator_.authenticate(request.header("Authorization"), declarations);
    // Without declarations, keys of client accounts cannot be distinguished from unknown keys.
    if (!principal && !current && bearerKey(request.header("Authorization")))
        return current.error();
    if (principal && principal.value().account && access == Access::OperatorsOnly) {
        return makeError(ErrorCode::PermissionDenied,
            "a client account may only submit and see its own jobs; " + request.method + " " + request.path
                + " needs an operator's key");
    }
    return principal;
}

HttpResponse OperatorApi::status(const HttpRequest& request, const Principal&)
{
    if (const Status query = internal::checkQuery(request, {}); !query)
        return errorResponse(query.error());
    const auto view = backend_.status();
    return view ? jsonResponse(api::toJson(view.value())) : errorResponse(view.error());
}

HttpResponse OperatorApi::accounts(const HttpRequest& request, const Principal&)
{
    if (const Status query = internal::checkQuery(request, {}); !query)
        return errorResponse(query.error());
    const auto list = backend_.accounts();
    return list ? jsonResponse(api::toJson(list.value())) : errorResponse(list.error());
}

namespace {

    Result<WorkerQuery> readWorkerQuery(const HttpRequest& request)
    {
        BOOST_OUTCOME_TRYV(internal::checkQuery(request, { "region", "rack", "state" }));
        WorkerQuery query;
        query.region = internal::queryId<RegionId>(request, "region");
        query.rack = internal::queryId<RackId>(request, "rack");
        const std::string state = request.queryValue("state");
        if (!state.empty()) {
            BOOST_OUTCOME_TRY(parsed, model::parseResourceState(state, "query parameter \"state\""));
            query.state = parsed;
        }
        return query;
    }

} // namespace

HttpResponse OperatorApi::workers(const HttpRequest& request, const Principal&)
{
    const auto query = readWorkerQuery(request);
    if (!query)
        return errorResponse(query.error());
    const auto list = backend_.workers(query.value());
    return list ? jsonResponse(api::toJson(list.value())) : errorResponse(list.error());
}

} // namespace rosemarylink::control
