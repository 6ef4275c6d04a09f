#pragma once

#include "rosemarylink/base/Units.h"

#include <cstdint>
#include <map>

namespace rosemarylink::jobs::internal {

// A worker with little processor time ends its runs up to this long after its lease. Nothing can be observed of a
// worker that is cut off, so this is the one limit that the owner has to assume.
inline constexpr Milliseconds longestKill { 250 };

// The time by which all runs of a worker have ended with its lease, on the owner's monotonic clock. The call that
// extends a lease may be executed however it ends, so its extension counts from the moment at which it is sent. It is
// taken back only if the call is known not to have reached the worker.
class WorkerLease {
public:
    // Identifies an extension whose call has not ended yet.
    using Extension = std::uint64_t;

    // Counts an extension of the lease until `end` that is permanent. The worker's runs may go on for longestKill.
    void extend(Milliseconds end);

    // Counts an extension until `end` by a call that is about to be sent. Call settle() when the call has ended; until
    // then the extension counts.
    Extension extendBy(Milliseconds end);
    void settle(Extension, bool mayHaveReached);

    // Forgets all extensions, and those of calls on their way, because the process that they were granted to is gone.
    void reset(Milliseconds end);

    // When the last run has ended; 0 if the lease has never been extended.
    Milliseconds end() const;
    bool isOver(Milliseconds now) const { return now >= end(); }

private:
    Milliseconds end_ { 0 };
    std::map<Extension, Milliseconds> pending_;
    Extension last_ = 0;
};

} // namespace rosemarylink::jobs::internal
