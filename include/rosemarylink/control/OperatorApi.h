#pragma once

#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/control/Authenticator.h"
#include "rosemarylink/control/ControlBackend.h"
#include "rosemarylink/transport/HttpServer.h"

#include <functional>
#include <string>

namespace rosemarylink::control {

// The operators' HTTP interface. It authenticates, checks input and calls the backend, and keeps no state of its own.
// Operators may do everything; a client account may submit, see and cancel its own jobs. /healthz, /readyz and /metrics
// need no key. Safe to use from several threads.
//
//   GET  /v1/status
//   GET  /v1/config                      ConfigView, with the header ETag
//   PUT  /v1/config[?dryRun=true]        Declarations with If-Match -> ConfigChange; feasibility is checked first
//   GET  /v1/config/versions/{version}   InForceView
//   GET  /v1/preset                      PresetView
//   PUT  /v1/preset                      PresetRequest, If-Match optional -> ConfigChange
//   POST /v1/jobs                        JobSubmission with Idempotency-Key -> JobView
//   GET  /v1/jobs[?account&state&after&limit]
//   GET  /v1/jobs/{id}, DELETE /v1/jobs/{id}, GET /v1/jobs/{id}/explain
//   GET  /v1/accounts
//   GET  /v1/workers[?region&rack&state]
//   GET  /v1/audit[?operator&since&until&before&limit]   times in milliseconds since the epoch
//   GET  /healthz, /readyz, /metrics
class OperatorApi {
public:
    // The arguments must outlive the object, and the object the router's last request.
    OperatorApi(ControlBackend&, MetricsRegistry&, std::vector<OperatorKey>);

    void registerRoutes(transport::HttpRouter&);

private:
    using Method = transport::HttpResponse (OperatorApi::*)(const transport::HttpRequest&, const Principal&);

    enum class Access { OperatorsOnly, OperatorsAndAccounts };

    void addRoute(transport::HttpRouter&, const std::string& method, const std::string& pattern, Access, Method);
    void registerProbes(transport::HttpRouter&);
    transport::HttpResponse handle(const transport::HttpRequest&, Access, Method);
    Result<Principal> admit(const transport::HttpRequest&, Access) const;

    transport::HttpResponse status(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse config(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse putConfig(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse configVersion(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse preset(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse putPreset(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse submitJob(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse jobs(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse job(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse cancelJob(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse explainJob(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse accounts(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse workers(const transport::HttpRequest&, const Principal&);
    transport::HttpResponse audit(const transport::HttpRequest&, const Principal&);

    // Checks, compares and stores; shared by the two ways to change the configuration.
    Result<api::ConfigChange> change(
        model::Declarations, const api::ConfigView& stored, const OperatorId&, bool dryRun);

    // The job if the principal may see it; another account's job is NotFound, as if it did not exist.
    Result<api::JobView> visibleJob(const JobId&, const Principal&);

    ControlBackend& backend_;
    MetricsRegistry& metrics_;
    Authenticator authenticator_;
};

} // namespace rosemarylink::control
