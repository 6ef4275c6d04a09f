#pragma once

#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/control/Authenticator.h"
#include "rosemarylink/control/ControlBackend.h"
#include "rosemarylink/transport/HttpServer.h"

#include <functional>
#include <string>

namespace rosemarylink::control {

// The operators' HTTP interface. Authenticates requests, validates their input and calls the backend; it is stateless.
// Operators have full access; a client account may submit, read and cancel its own jobs. /healthz, /readyz and /metrics
// need no key. Thread-safe.
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
    // The backend and the registry must outlive this object.
    OperatorApi(ControlBackend&, MetricsRegistry&, std::vector<OperatorKey>);

    // This object must outlive the router's last request.
    void registerRoutes(transport::HttpRouter&);

private:
    using Handler = transport::HttpResponse (OperatorApi::*)(const transport::HttpRequest&, const Principal&);

    enum class Access { OperatorsOnly, OperatorsAndAccounts };

    void addRoute(transport::HttpRouter&, const std::string& method, const std::string& pattern, Access, Handler);
    void registerProbes(transport::HttpRouter&);
    transport::HttpResponse handle(const transport::HttpRequest&, Access, Handler);
    Result<Principal> authorize(const transport::HttpRequest&, Access) const;

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

    // Checks feasibility and stores the declarations unless they equal the stored ones or this is a dry run. Used for
    // both declarations and presets.
    Result<api::ConfigChange> applyChange(
        model::Declarations, const api::ConfigView& stored, const OperatorId&, bool dryRun);

    // Returns the job if the principal may see it. Fails with NotFound for another account's job, as if it did not
    // exist.
    Result<api::JobView> visibleJob(const JobId&, const Principal&);

    ControlBackend& backend_;
    MetricsRegistry& metrics_;
    Authenticator authenticator_;
};

} // namespace rosemarylink::control
