#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/generated/Model.h"
#include "rosemarylink/generated/SettingsGateway.h"
#include "rosemarylink/state/KeyValueStore.h"
#include "rosemarylink/transport/HttpServer.h"

#include <memory>
#include <vector>

namespace rosemarylink::gateway {

// The request path of one gateway: authenticates client accounts, admits, routes and retries their requests, and
// records the attempts of non-idempotent ones. All methods are safe to use from several threads. A request occupies a
// server thread until its response or its deadline, or, when it is idempotent or queued, until its caller disconnects.
class RequestService {
public:
    // The store, clock and metrics must outlive the service. Only the sections "instance" and "requests" of the
    // settings are used.
    RequestService(state::KeyValueStore&, const Clock&, MetricsRegistry&, const settings_gateway::GatewaySettings&);
    ~RequestService();
    RequestService(const RequestService&) = delete;
    RequestService& operator=(const RequestService&) = delete;

    // Adds POST /v1/requests/{service} and GET /v1/requests/{key}. The service must outlive the router's use.
    void addRoutes(transport::HttpRouter&);

    // Replaces the declarations in force. Only the accounts and the worths are used.
    void setDeclarations(const model::Declarations&);

    // Replaces the list of upstreams. Upstreams that are missing from it, or are leaving, lost or quarantined, get no
    // new requests from then on; requests in progress with them finish.
    void setUpstreams(const std::vector<model::UpstreamSpec>&);

    // Sets the number of gateways that serve requests, this one included; initially 1. Guarantees of accounts and
    // limits of upstreams are divided by it.
    void setGatewayCount(std::size_t);

    // The first step of a graceful shutdown: requests are still served, but each response closes its connection, so
    // that callers connect to other gateways.
    void closeConnectionsAfterResponses();

    // The second step of a graceful shutdown: new requests are refused with NotRun, and requests in progress finish.
    void beginDrain();

    // Returns the number of requests in progress, queued ones included.
    std::size_t inProgress() const;

    // Waits until no request is in progress. Returns false when some still are at the limit.
    bool waitUntilIdle(Milliseconds limit);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace rosemarylink::gateway
