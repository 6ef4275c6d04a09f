#pragma once

#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rosemarylink::gateway::internal {

// Ejects upstreams that fail much more often than their peers, for a time that grows with each ejection. At any
// time, at least half of the upstreams are not ejected. Does no I/O and reads no clock. Not safe to use from several
// threads.
class OutlierDetector {
public:
    // Replaces the upstreams and keeps the state of those that were known before. When too many of the new upstreams
    // are ejected, ejections end early, those with the least time left first.
    void setUpstreams(const std::vector<UpstreamId>&, Milliseconds now);

    // Records the outcome of a request. Returns true when the upstream is ejected as a result.
    bool record(const UpstreamId&, bool success, Milliseconds now);

    bool isEjected(const UpstreamId&, Milliseconds now) const;

    // Returns the time at which the last ejection of the upstream ends or ended, or nothing when it was never ejected.
    std::optional<Milliseconds> lastEjectionEnd(const UpstreamId&) const;

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
    bool keepsEnoughInUse(std::size_t ejected) const;

    std::map<UpstreamId, Entry> entries_;
};

} // namespace rosemarylink::gateway::internal
