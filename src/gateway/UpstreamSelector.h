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

// Where a gateway is, and what the way to other regions costs.
struct RoutingOptions {
    RegionId region;
    FailureDomainId failureDomain;
    Milliseconds regionRoundTrip { 24 };
    double crossRegionCost = 1; // ms of saved wait for each 1,000 bytes
};

// What is known of a request when its upstream is chosen.
struct RoutingRequest {
    std::size_t bytes = 0;
    // Wait for a slot nearby, in ms, if it is not sent further away now.
    double expectedWait = 0;
    std::set<UpstreamId> tried; // avoided while there are others
};

// How a request ended, as far as its upstream is concerned.
enum class UpstreamOutcome {
    Answered,
    Refused, // not run
    Failed, // broken or missing answer, or a server error
    NoConnection,
    Unused, // the slot was given back, or the caller left: says nothing about the upstream
};

// Chooses an upstream of one service: the less loaded of two random ones in the nearest place that has free slots. Pure
// decisions; not safe to use from several threads.
class UpstreamSelector {
public:
    explicit UpstreamSelector(const RoutingOptions&);

    // Replaces the upstreams of the service. Those that are not ready get nothing new.
    void setUpstreams(const std::vector<model::UpstreamSpec>&, std::size_t gateways, Milliseconds now);

    // The upstream for a request, with one slot taken, or nothing when the request should wait.
    std::optional<UpstreamId> choose(const RoutingRequest&, std::mt19937_64&, Milliseconds now);

    // Gives the slot back.
    void finish(const UpstreamId&, UpstreamOutcome, std::optional<std::int64_t> slotsBusy, Milliseconds now);

    const model::UpstreamSpec* find(const UpstreamId&) const;
    bool hasReady(Milliseconds now) const;
    bool isCrossRegion(const UpstreamId&) const;

    // Requests that this gateway may have in progress nearby: in its own region, or anywhere when there is no upstream
    // in the region.
    int capacity(Milliseconds now) const;

    int inFlight(const UpstreamId&) const;

private:
    struct Entry {
        model::UpstreamSpec spec;
        ConcurrencyLimit limit;
        Milliseconds addedAt { 0 };
        int inFlight = 0;
        int inFlightAtReport = 0;
        std::int64_t reportedBusy = 0;
        Milliseconds reportedAt { 0 };
        bool listed = true;
    };

    enum class Distance { FailureDomain, Region, World };

    Distance distance(const model::UpstreamSpec&) const;
    bool isUsable(const Entry&, Milliseconds now) const;
    int effectiveLimit(const Entry&, Milliseconds now) const;
    double load(const Entry&, Milliseconds now) const;
    double costOf(Distance, std::size_t bytes) const;
    double slowStart(const Entry&, Milliseconds now) const;
    bool anyUsable(const std::set<UpstreamId>& except, std::optional<Distance>, Milliseconds now) const;
    std::optional<UpstreamId> chooseAt(
        Distance, const std::set<UpstreamId>& except, std::mt19937_64&, Milliseconds now);

    RoutingOptions options_;
    std::map<UpstreamId, Entry> entries_;
    OutlierDetector outliers_;
    bool everSet_ = false;
};

} // namespace rosemarylink::gateway::internal
