#include "OutlierDetector.h"

#include <algorithm>
#include <bitset>
#include <set>

namespace rosemarylink::gateway::internal {

namespace {

    constexpr int windowSize = 32; // bits of Entry::outcomes
    constexpr int minimumSamples = 8;
    // An upstream that fails this many requests in a row is an outlier unless its peers fail as well.
    constexpr int consecutiveFailureLimit = 5;
    constexpr double minimumFailureShare = 0.4;
    constexpr double peerFailureRatio = 2;
    constexpr Milliseconds baseEjection { 5000 };
    constexpr int maximumEjectionSteps = 6; // ejections last from 5 s to 30 s
    constexpr double minimumInUseShare = 0.5;

    int failures(std::uint32_t outcomes) { return static_cast<int>(std::bitset<windowSize>(outcomes).count()); }

} // namespace

void OutlierDetector::setUpstreams(const std::vector<UpstreamId>& upstreams, Milliseconds now)
{
    const std::set<UpstreamId> present(upstreams.begin(), upstreams.end());
    for (auto position = entries_.begin(); position != entries_.end();)
        position = present.count(position->first) ? std::next(position) : entries_.erase(position);
    for (const UpstreamId& upstream : present)
        entries_.try_emplace(upstream);
    while (countEjected(now) > 0 && !keepsEnoughInUse(countEjected(now))) {
        Entry* first = nullptr;
        for (auto& [id, entry] : entries_) {
            if (isEjected(id, now) && (!first || *entry.ejectedUntil < *first->ejectedUntil))
                first = &entry;
        }
        first->ejectedUntil = now;
    }
}

bool OutlierDetector::record(const UpstreamId& upstream, bool success, Milliseconds now)
{
    const auto position = entries_.find(upstream);
    if (position == entries_.end())
        return false;
    Entry& entry = position->second;
    entry.outcomes = (entry.outcomes << 1) | (success ? 0U : 1U);
    entry.samples = std::min(windowSize, entry.samples + 1);
    entry.consecutiveFailures = success ? 0 : entry.consecutiveFailures + 1;
    if (success || isEjected(upstream, now) || !isOutlier(upstream, entry) || !keepsEnoughInUse(countEjected(now) + 1))
        return false;
    entry.ejections = std::min(maximumEjectionSteps, entry.ejections + 1);
    entry.ejectedUntil = now + baseEjection * entry.ejections;
    entry.outcomes = 0;
    entry.samples = 0;
    entry.consecutiveFailures = 0;
    return true;
}

bool OutlierDetector::isOutlier(const UpstreamId& upstream, const Entry& entry) const
{
    int peerFailures = 0;
    int peerSamples = 0;
    for (const auto& [id, peer] : entries_) {
        if (id != upstream) {
            peerFailures += failures(peer.outcomes);
            peerSamples += peer.samples;
        }
    }
    const double peerShare = peerSamples > 0 ? static_cast<double>(peerFailures) / peerSamples : 0;
    if (entry.consecutiveFailures >= consecutiveFailureLimit && peerShare < 1 / peerFailureRatio)
        return true;
    const double share = static_cast<double>(failures(entry.outcomes)) / entry.samples;
    return entry.samples >= minimumSamples && share >= minimumFailureShare && share > peerFailureRatio * peerShare;
}

std::size_t OutlierDetector::countEjected(Milliseconds now) const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [&](const auto& entry) { return isEjected(entry.first, now); }));
}

bool OutlierDetector::keepsEnoughInUse(std::size_t ejected) const
{
    const auto all = static_cast<double>(entries_.size());
    return all - static_cast<double>(ejected) >= minimumInUseShare * all;
}

bool OutlierDetector::isEjected(const UpstreamId& upstream, Milliseconds now) const
{
    const auto position = entries_.find(upstream);
    return position != entries_.end() && position->second.ejectedUntil && now < *position->second.ejectedUntil;
}

std::optional<Milliseconds> OutlierDetector::lastEjectionEnd(const UpstreamId& upstream) const
{
    const auto position = entries_.find(upstream);
    return position == entries_.end() ? std::nullopt : position->second.ejectedUntil;
}

} // namespace rosemarylink::gateway::internal
