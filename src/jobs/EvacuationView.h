#pragma once

#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"

#include <map>
#include <optional>

namespace rosemarylink::jobs::internal {

// Load pattern: an operator evacuates a failure domain while the store is slow or loses responses, so that lists of the
// evacuations are requested in parallel and arrive late, in any order or not at all. From a time limit after the
// store's acknowledgment on, no task may start in the domain, whether or not the owner has read of it.
//
// Knows the evacuated domains from complete lists. As a list is silent about evacuations that were acknowledged after
// its request, starts are allowed for a limited time after that only. Times are on the owner's monotonic clock.
class EvacuationView {
public:
    struct Evacuation {
        Revision revision { 0 }; // of the record that requests it
        Milliseconds since { 0 }; // when it was first read in a list
    };
    using Evacuations = std::map<FailureDomainId, Evacuation>;

    // Time limits on a start in an evacuated domain include this much for commands that are on their way. Half of a
    // limit that is shorter than twice this is left for them.
    static constexpr Milliseconds commandTime { 2000 };

    // The greatest age of the newest list, from its request on, with which tasks may be started.
    static Milliseconds maximumAge(Milliseconds evacuationTimeout);

    // Replaces the known evacuations by a list that was requested at that time. A list that was requested before the
    // newest one has no effect, because an evacuation that it lacks may be in the newer one. Returns whether the list
    // was used.
    bool update(const std::map<FailureDomainId, Revision>& list, Milliseconds requestedAt, Milliseconds receivedAt);

    bool isEvacuated(const FailureDomainId& domain) const { return evacuations_.count(domain) > 0; }

    // Whether all evacuations are known that may forbid a start which is sent now.
    bool mayStart(Milliseconds now, Milliseconds evacuationTimeout) const;

    const Evacuations& evacuations() const { return evacuations_; }

    // When the newest list was requested; nullopt before the first one.
    std::optional<Milliseconds> requestedAt() const { return requestedAt_; }

private:
    Evacuations evacuations_;
    std::optional<Milliseconds> requestedAt_;
};

} // namespace rosemarylink::jobs::internal
