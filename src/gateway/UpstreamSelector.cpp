#include "UpstreamSelector.h"

#include <algorithm>
#include <cmath>

namespace rosemarylink::gateway::internal {

namespace {

    // A new upstream, or one whose ejection ended, gets its full share of requests after this time.
    constexpr Milliseconds slowStartTime { 10000 };
    constexpr double slowStartFloor = 0.1;
    // Weight of the requests that other gateways had in progress at the last report; it decays with the report's age.
    // Reports are late: the busiest upstream had 1.80 times the mean load with full weight, and 1.65 with this one.
    constexpr double reportWeight = 0.3;
    constexpr double reportHalfLife = 1000; // ms
    constexpr double failureDomainRoundTrip = 1; // ms, to another failure domain of the region

    double slowStartShare(Milliseconds age)
    {
        const double share = static_cast<double>(age.count()) / static_cast<double>(slowStartTime.count());
        return std::clamp(share, slowStartFloor, 1.0);
    }

} // namespace

UpstreamSelector::UpstreamSelector(const RoutingOptions& options)
    : options_(options)
{
}

void UpstreamSelector::setUpstreams(
    const std::vector<model::UpstreamSpec>& upstreams, std::size_t gateways, Milliseconds now)
{
    for (auto& [id, entry] : entries_)
        entry.listed = false;
    std::vector<UpstreamId> ids;
    for (const model::UpstreamSpec& spec : upstreams) {
        ids.push_back(spec.id);
        const auto position = entries_.find(spec.id);
        const bool unchanged = position != entries_.end() && position->second.spec.address == spec.address
            && position->second.spec.slots == spec.slots && position->second.spec.state == spec.state;
        if (unchanged) {
            position->second.listed = true;
            continue;
        }
        const int inProgress = position == entries_.end() ? 0 : position->second.inProgress;
        // The upstreams of the first list are already warm; a restarted gateway must not cut the load on all of them.
        const Milliseconds addedAt = initialized_ ? now : now - slowStartTime;
        entries_.insert_or_assign(spec.id,
            Entry {
                spec, ConcurrencyLimit(static_cast<int>(spec.slots), gateways), addedAt, inProgress, 0, 0, now, true });
    }
    initialized_ = true;
    for (auto position = entries_.begin(); position != entries_.end();) {
        const bool forgotten = !position->second.listed && position->second.inProgress == 0;
        position = forgotten ? entries_.erase(position) : std::next(position);
    }
    outliers_.setUpstreams(ids, now);
}

std::optional<UpstreamId> UpstreamSelector::choose(
    const RoutingRequest& request, std::mt19937_64& random, Milliseconds now)
{
    static const std::set<UpstreamId> none;
    const std::set<UpstreamId>& excluded = anyUsable(request.tried, std::nullopt, now) ? request.tried : none;
    bool nearerExists = false;
    for (const Distance distance : { Distance::SameFailureDomain, Distance::SameRegion, Distance::OtherRegion }) {
        // A longer distance is worthwhile only when its cost is less than the wait that it saves.
        if (nearerExists && request.expectedWait <= routingCost(distance, request.bytes))
            return std::nullopt;
        auto chosen = chooseAt(distance, excluded, random, now);
        if (chosen)
            return chosen;
        nearerExists = nearerExists || anyUsable(excluded, distance, now);
    }
    return std::nullopt;
}

std::optional<UpstreamId> UpstreamSelector::chooseAt(
    Distance distance, const std::set<UpstreamId>& excluded, std::mt19937_64& random, Milliseconds now)
{
    std::vector<Entry*> candidates;
    for (auto& [id, entry] : entries_) {
        if (distanceTo(entry.spec) == distance && excluded.count(id) == 0 && isUsable(entry, now)
            && entry.inProgress < effectiveLimit(entry, now))
            candidates.push_back(&entry);
    }
    if (candidates.empty())
        return std::nullopt;
    const auto draw
        = [&](std::size_t count) { return std::uniform_int_distribution<std::size_t>(0, count - 1)(random); };
    const std::size_t position = draw(candidates.size());
    Entry* first = candidates[position];
    Entry* second = first;
    if (candidates.size() > 1)
        second = candidates[(position + 1 + draw(candidates.size() - 1)) % candidates.size()];
    Entry* chosen = load(*second, now) < load(*first, now) ? second : first;
    ++chosen->inProgress;
    return chosen->spec.id;
}

void UpstreamSelector::release(
    const UpstreamId& id, UpstreamOutcome outcome, std::optional<std::int64_t> slotsBusy, Milliseconds now)
{
    const auto position = entries_.find(id);
    if (position == entries_.end())
        return;
    Entry& entry = position->second;
    const bool limitReached = entry.inProgress >= entry.limit.value();
    if (slotsBusy) {
        entry.reportedBusy = *slotsBusy;
        entry.inProgressAtReport = entry.inProgress;
        entry.reportedAt = now;
    }
    entry.inProgress = std::max(0, entry.inProgress - 1);
    if (outcome == UpstreamOutcome::Refused || outcome == UpstreamOutcome::NoConnection)
        entry.limit.onRefusal(now);
    if (outcome == UpstreamOutcome::Responded)
        entry.limit.onResponse(slotsBusy && *slotsBusy >= entry.spec.slots, limitReached, now);
    // A refusal indicates load, not a fault.
    if (outcome == UpstreamOutcome::Responded)
        outliers_.record(id, true, now);
    if (outcome == UpstreamOutcome::Failed || outcome == UpstreamOutcome::NoConnection)
        outliers_.record(id, false, now);
    if (!entry.listed && entry.inProgress == 0)
        entries_.erase(position);
}

const model::UpstreamSpec* UpstreamSelector::find(const UpstreamId& id) const
{
    const auto position = entries_.find(id);
    return position == entries_.end() ? nullptr : &position->second.spec;
}

bool UpstreamSelector::hasUsable(Milliseconds now) const { return anyUsable({}, std::nullopt, now); }

bool UpstreamSelector::anyUsable(
    const std::set<UpstreamId>& excluded, std::optional<Distance> distance, Milliseconds now) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
        return (!distance || distanceTo(entry.second.spec) == *distance) && excluded.count(entry.first) == 0
            && isUsable(entry.second, now);
    });
}

bool UpstreamSelector::isCrossRegion(const UpstreamId& id) const
{
    const model::UpstreamSpec* spec = find(id);
    return spec && distanceTo(*spec) == Distance::OtherRegion;
}

int UpstreamSelector::capacity(Milliseconds now) const
{
    int nearby = 0;
    int all = 0;
    for (const auto& [id, entry] : entries_) {
        if (!isUsable(entry, now))
            continue;
        const int limit = effectiveLimit(entry, now);
        all += limit;
        nearby += distanceTo(entry.spec) == Distance::OtherRegion ? 0 : limit;
    }
    return nearby > 0 ? nearby : all;
}

int UpstreamSelector::inProgress(const UpstreamId& id) const
{
    const auto position = entries_.find(id);
    return position == entries_.end() ? 0 : position->second.inProgress;
}

UpstreamSelector::Distance UpstreamSelector::distanceTo(const model::UpstreamSpec& spec) const
{
    if (spec.failureDomain == options_.failureDomain)
        return Distance::SameFailureDomain;
    return spec.region == options_.region ? Distance::SameRegion : Distance::OtherRegion;
}

bool UpstreamSelector::isUsable(const Entry& entry, Milliseconds now) const
{
    return entry.listed && entry.spec.state == model::ResourceState::Ready && !outliers_.isEjected(entry.spec.id, now);
}

double UpstreamSelector::slowStart(const Entry& entry, Milliseconds now) const
{
    return slowStartShare(
        now - std::max(entry.addedAt, outliers_.lastEjectionEnd(entry.spec.id).value_or(entry.addedAt)));
}

int UpstreamSelector::effectiveLimit(const Entry& entry, Milliseconds now) const
{
    return std::max(1, static_cast<int>(std::ceil(entry.limit.value() * slowStart(entry, now))));
}

double UpstreamSelector::load(const Entry& entry, Milliseconds now) const
{
    const auto age = static_cast<double>((now - entry.reportedAt).count());
    const auto others = static_cast<double>(std::max<std::int64_t>(0, entry.reportedBusy - entry.inProgressAtReport));
    const double busy = entry.inProgress + reportWeight * others * std::exp2(-age / reportHalfLife);
    return busy / (static_cast<double>(entry.spec.slots) * slowStart(entry, now));
}

double UpstreamSelector::routingCost(Distance distance, std::size_t bytes) const
{
    if (distance == Distance::SameFailureDomain)
        return 0;
    if (distance == Distance::SameRegion)
        return failureDomainRoundTrip;
    return static_cast<double>(options_.regionRoundTrip.count())
        + options_.crossRegionCost * static_cast<double>(bytes) / 1000;
}

} // namespace rosemarylink::gateway::internal
