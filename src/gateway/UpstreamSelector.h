#pragma once

#include "ConcurrencyLimit.h"
#include "OutlierDetector.h"

#include "rosemarylink/generated/Model.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace rosemarylink::gateway::internal {

// The location of a gateway, and the cost of requests to other regions.
struct RoutingOptions {
    RegionId region;
    FailureDomainId failureDomain;
    Milliseconds regionRoundTrip { 24 };
    double crossRegionCost = 1; // ms of saved wait that must outweigh each 1,000 bytes sent to another region
};

// The properties of a request that determine its upstream.
struct RoutingRequest {
    std::size_t bytes = 0;
    // Expected wait in ms for a slot of a nearer upstream.
    double expectedWait = 0;
    std::set<UpstreamId> tried; // avoided while other upstreams are usable
};

// How a request to an upstream ended.
enum class UpstreamOutcome {
    Responded,
    Refused, // by the upstream, which did not run it
    Failed, // malformed or missing response, or a server error
    NoConnection,
    Unused, // no request was sent, or the caller disconnected; neither a success nor a failure
};

// Selects the upstream for each request of one service: the less loaded of two random candidates at the nearest
// distance that has free slots. Does no I/O and reads no clock. Not safe to use from several threads.
class UpstreamSelector {
public:
    explicit UpstreamSelector(const RoutingOptions&);

    // Replaces the upstreams of the service. Upstreams that are not ready get no new requests.
    void setUpstreams(const std::vector<model::UpstreamSpec>&, std::size_t gateways, Milliseconds now);

    // Returns the upstream for a request and takes one of its slots, or returns nothing when the request should wait.
    std::optional<UpstreamId> choose(const RoutingRequest&, std::mt19937_64&, Milliseconds now);

    // Releases a slot and records the outcome of its request. slotsBusy is what the upstream reported.
    void release(const UpstreamId&, UpstreamOutcome, std::optional<std::int64_t> slotsBusy, Milliseconds now);

    // Returns null for an unknown upstream. The pointer is valid until the next call of a non-const method.
    const model::UpstreamSpec* find(const UpstreamId&) const;
    bool hasUsable(Milliseconds now) const;
    bool isCrossRegion(const UpstreamId&) const;

    // Returns the number of requests that this gateway may have in progress with the upstreams of its region, or with
    // all upstreams when its region has no usable one.
    int capacity(Milliseconds now) const;

    // Returns the number of slots of the upstream that are taken.
    int inProgress(const UpstreamId&) const;

private:
    struct Entry {
        model::UpstreamSpec spec;
        ConcurrencyLimit limit;
        Milliseconds addedAt { 0 };
        int inProgress = 0;
        int inProgressAtReport = 0;
        std::int64_t reportedBusy = 0;
        Milliseconds reportedAt { 0 };
        bool listed = true; // false when removed from the list with requests still in progress
    };

    enum class Distance { SameFailureDomain, SameRegion, OtherRegion };

    Distance distanceTo(const model::UpstreamSpec&) const;
    bool isUsable(const Entry&, Milliseconds now) const;
    int effectiveLimit(const Entry&, Milliseconds now) const;
    double load(const Entry&, Milliseconds now) const;
    double routingCost(Distance, std::size_t bytes) const;
    double slowStart(const Entry&, Milliseconds now) const;
    bool anyUsable(const std::set<UpstreamId>& excluded, std::optional<Distance>, Milliseconds now) const;
    std::optional<UpstreamId> chooseAt(
        Distance, const std::set<UpstreamId>& excluded, std::mt19937_64&, Milliseconds now);

    RoutingOptions options_;
    std::map<UpstreamId, Entry> entries_;
    OutlierDetector outliers_;
    bool initialized_ = false;
};

} // namespace rosemarylink::gateway::internal
