#pragma once

#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rosemarylink::gateway::internal {

// Ejects upstreams that fail much more often than their peers, for a time that grows with each ejection. At least half
// of the upstreams stay in use, whatever fails.
class OutlierDetector {
public:
    // Keeps what is known of upstreams that stay, and forgets the others. Ejections that are too many for the new
    // number of upstreams end, the oldest first.
    void setUpstreams(const std::vector<UpstreamId>&, Milliseconds now);

    // Records the outcome of a request. Returns true when this ejects the upstream.
    bool record(const UpstreamId&, bool success, Milliseconds now);

    bool isEjected(const UpstreamId&, Milliseconds now) const;

    // When an upstream takes requests again after its last ejection, or nothing when it was never ejected.
    std::optional<Milliseconds> returnedAt(const UpstreamId&) const;

private:
    struct Entry {
        std::uint32_t outcomes = 0; // one bit for each recent request, 1 for a failure
        int samples = 0;
        int consecutiveFailures = 0;
        int ejections = 0;
        std::optional<Milliseconds> ejectedUntil;
    };

    bool isOutlier(const UpstreamId&, const Entry&) const;
    std::size_t countEjected(Milliseconds now) const;
    bool leavesEnough(std::size_t ejected) const;

    std::map<UpstreamId, Entry> entries_;
};

} // namespace rosemarylink::gateway::internal
