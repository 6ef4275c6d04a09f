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
// records the attempts of non-idempotent ones. All methods are safe to use from several threads. A request holds the
// server's thread until its answer, its deadline or its caller's departure.
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

    // Replaces the declarations in force; accounts, their keys and weights, and worths are used.
    void setDeclarations(const model::Declarations&);

    // Replaces the platform's list of upstreams. Upstreams that are missing, leaving, lost or quarantined get nothing
    // new from then on; requests in progress with them finish.
    void setUpstreams(const std::vector<model::UpstreamSpec>&);

    // The number of gateways that take requests, this one included; an account's guarantee is divided by it. 1 at
    // first.
    void setGatewayCount(std::size_t);

    // The first step of leaving: requests are still served, but each answer closes its connection, so that callers move
    // to other gateways.
    void announceLeaving();

    // The second step: new requests are refused as NotRun, and requests in progress finish.
    void beginDrain();

    // Requests in progress.
    std::size_t inProgress() const;

    // Waits until no request is in progress. False when some were at the limit.
    bool waitUntilIdle(Milliseconds limit);

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace rosemarylink::gateway
