#pragma once

#include "WorkerRun.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <optional>
#include <string_view>

// A task starts again only after its earlier run is proven gone. A run that is merely out of sight goes on, and its end
// is still reported later. A run is proven gone if
//
// - the worker has listed its end,
// - another process has answered at the worker's address after the start command was sent,
// - the lease of the worker is over, measured on the slowest clock that a worker may have, or
// - a report with all ends that was requested after the run was confirmed shows neither the run nor its end.
//
// A run disappears from reports while it is being stopped, and its worker may stand still in the middle of that. A run
// that the worker has confirmed ends when its end is listed. One that may never have existed is proven gone if two
// reports in succession, both made after the longest stop on the worker's clock, show neither it nor its end. The
// second is requested after the first was received, so that the worker has taken up in between what was due. The same
// holds for a confirmed run one longest lease later: then its end has been discarded unseen, since a worker that stands
// still for that long has ended all its runs.
//
// A call that timed out, a refused connection and a missing registration prove nothing, alone or together: a worker
// that is cut off from this instance and from the store shows all three while its runs go on.
namespace rosemarylink::jobs::internal {

// One observation of a worker, and what it proves about runs on it. Everything that ends a run whose end the worker has
// not listed asks this class. Times are on the owner's monotonic clock.
class RunEvidence {
public:
    // Another process has answered a call to the worker's address that was sent at `requestedAt`.
    static RunEvidence otherProcess(Milliseconds requestedAt);

    // The lease of all runs on the worker is over.
    static RunEvidence leaseOver();

    // The report, which was requested at `requestedAt`, shows neither the run nor its end.
    static RunEvidence absence(const WorkerReport&, Milliseconds requestedAt);

    // How the run has ended; nullopt if this does not prove that it has.
    std::optional<RunEnd> endOf(const WorkerRun&) const;

    // The kind of the observation, for logs.
    std::string_view name() const;

private:
    enum class Kind { OtherProcess, LeaseOver, Absence, IncompleteReport };

    RunEvidence(Kind kind, Milliseconds requestedAt)
        : kind_(kind)
        , requestedAt_(requestedAt)
    {
    }

    Kind kind_;
    Milliseconds requestedAt_;
};

} // namespace rosemarylink::jobs::internal
