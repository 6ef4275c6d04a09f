#include "UpstreamSelector.h"

#include <algorithm>
#include <cmath>

namespace rosemarylink::gateway::internal {

namespace {

    // A new or returned upstream gets its full share of requests after this time.
    constexpr Milliseconds slowStartTime { 10000 };
    constexpr double slowStartFloor = 0.1;
    // What others had in progress at the last report counts in part and fades with its age: reports are late, and with
    // their whole weight the busiest upstream had 1.80 times the mean load, with this part 1.65 times.
    constexpr double reportWeight = 0.3;
    constexpr double reportHalfLife = 1000; // ms
    constexpr double failureDomainRoundTrip = 1; // ms

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
        const int inFlight = position == entries_.end() ? 0 : position->second.inFlight;
        // Upstreams of the first list are not new to the callers; a gateway that restarts must not cut them all down.
        const Milliseconds addedAt = everSet_ ? now : now - slowStartTime;
        entries_.insert_or_assign(spec.id,
            Entry {
                spec, ConcurrencyLimit(static_cast<int>(spec.slots), gateways), addedAt, inFlight, 0, 0, now, true });
    }
    everSet_ = true;
    for (auto position = entries_.begin(); position != entries_.end();) {
        const bool forgotten = !position->second.listed && position->second.inFlight == 0;
        position = forgotten ? entries_.erase(position) : std::next(position);
    }
    outliers_.setUpstreams(ids, now);
}

std::optional<UpstreamId> UpstreamSelector::choose(
    const RoutingRequest& request, std::mt19937_64& random, Milliseconds now)
{
    static const std::set<UpstreamId> none;
    const std::set<UpstreamId>& except = anyUsable(request.tried, std::nullopt, now) ? request.tried : none;
    bool nearerExists = false;
    for (const Distance place : { Distance::FailureDomain, Distance::Region, Distance::World }) {
        // Going further pays only when the wait that it saves is worth more.
        if (nearerExists && request.expectedWait <= costOf(place, request.bytes))
            return std::nullopt;
        auto chosen = chooseAt(place, except, random, now);
        if (chosen)
            return chosen;
        nearerExists = nearerExists || anyUsable(except, place, now);
    }
    return std::nullopt;
}

std::optional<UpstreamId> UpstreamSelector::chooseAt(
    Distance place, const std::set<UpstreamId>& except, std::mt19937_64& random, Milliseconds now)
{
    std::vector<Entry*> candidates;
    for (auto& [id, entry] : entries_) {
        if (distance(entry.spec) == place && except.count(id) == 0 && isUsable(entry, now)
            && entry.inFlight < effectiveLimit(entry, now))
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
    ++chosen->inFlight;
    return chosen->spec.id;
}

void UpstreamSelector::finish(
    const UpstreamId& id, UpstreamOutcome outcome, std::optional<std::int64_t> slotsBusy, Milliseconds now)
{
    const auto position = entries_.find(id);
    if (position == entries_.end())
        return;
    Entry& entry = position->second;
    const bool limitReached = entry.inFlight >= entry.limit.value();
    if (slotsBusy) {
        entry.reportedBusy = *slotsBusy;
        entry.inFlightAtReport = entry.inFlight;
        entry.reportedAt = now;
    }
    entry.inFlight = std::max(0, entry.inFlight - 1);
    if (outcome == UpstreamOutcome::Refused || outcome == UpstreamOutcome::NoConnection)
        entry.limit.onRefusal(now);
    if (outcome == UpstreamOutcome::Answered)
        entry.limit.onAnswer(slotsBusy && *slotsBusy >= entry.spec.slots, limitReached, now);
    // A refusal is a sign of load, not of a fault.
    if (outcome == UpstreamOutcome::Answered)
        outliers_.record(id, true, now);
    if (outcome == UpstreamOutcome::Failed || outcome == UpstreamOutcome::NoConnection)
        outliers_.record(id, false, now);
    if (!entry.listed && entry.inFlight == 0)
        entries_.erase(position);
}

const model::UpstreamSpec* UpstreamSelector::find(const UpstreamId& id) const
{
    const auto position = entries_.find(id);
    return position == entries_.end() ? nullptr : &position->second.spec;
}

bool UpstreamSelector::hasReady(Milliseconds now) const { return anyUsable({}, std::nullopt, now); }

bool UpstreamSelector::anyUsable(
    const std::set<UpstreamId>& except, std::optional<Distance> place, Milliseconds now) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&](const auto& entry) {
        return (!place || distance(entry.second.spec) == *place) && except.count(entry.first) == 0
            && isUsable(entry.second, now);
    });
}

bool UpstreamSelector::isCrossRegion(const UpstreamId& id) const
{
    const model::UpstreamSpec* spec = find(id);
    return spec && distance(*spec) == Distance::World;
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
        nearby += distance(entry.spec) == Distance::World ? 0 : limit;
    }
    return nearby > 0 ? nearby : all;
}

int UpstreamSelector::inFlight(const UpstreamId& id) const
{
    const auto position = entries_.find(id);
    return position == entries_.end() ? 0 : position->second.inFlight;
}

UpstreamSelector::Distance UpstreamSelector::distance(const model::UpstreamSpec& spec) const
{
    if (spec.failureDomain == options_.failureDomain)
        return Distance::FailureDomain;
    return spec.region == options_.region ? Distance::Region : Distance::World;
}

bool UpstreamSelector::isUsable(const Entry& entry, Milliseconds now) const
{
    return entry.listed && entry.spec.state == model::ResourceState::Ready && !outliers_.isEjected(entry.spec.id, now);
}

double UpstreamSelector::slowStart(const Entry& entry, Milliseconds now) const
{
    return slowStartShare(now - std::max(entry.addedAt, outliers_.returnedAt(entry.spec.id).value_or(entry.addedAt)));
}

int UpstreamSelector::effectiveLimit(const Entry& entry, Milliseconds now) const
{
    return std::max(1, static_cast<int>(std::ceil(entry.limit.value() * slowStart(entry, now))));
}

double UpstreamSelector::load(const Entry& entry, Milliseconds now) const
{
    const auto age = static_cast<double>((now - entry.reportedAt).count());
    const auto others = static_cast<double>(std::max<std::int64_t>(0, entry.reportedBusy - entry.inFlightAtReport));
    const double busy = entry.inFlight + reportWeight * others * std::exp2(-age / reportHalfLife);
    return busy / (static_cast<double>(entry.spec.slots) * slowStart(entry, now));
}

double UpstreamSelector::costOf(Distance place, std::size_t bytes) const
{
    if (place == Distance::FailureDomain)
        return 0;
    if (place == Distance::Region)
        return failureDomainRoundTrip;
    return static_cast<double>(options_.regionRoundTrip.count())
        + options_.crossRegionCost * static_cast<double>(bytes) / 1000;
}

} // namespace rosemarylink::gateway::internal
