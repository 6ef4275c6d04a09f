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
// - the lease of the worker is over, measured on the slowest clock that a worker may have, and no start command for the
//   run is on its way, or
// - a report with all ends that was requested after the run was confirmed shows neither the run nor its end.
//
// A run disappears from reports while it is being stopped, and its worker may stand still in the middle of that. A run
// that the worker has confirmed ends when its end is listed. One that may never have existed is proven gone if two
// reports in succession, both made after the longest stop on the worker's clock, show neither it nor its end. The
// second is requested after the first was received, so that the worker has taken up in between what was due. The same
// holds for a confirmed run one longest lease later: then its end has been discarded unseen, since a worker that stands
// still for that long has ended all its runs.
//
// A start command without a response may be executed seconds later, also by a process that has started again under the
// worker's id. That process has a new clock and knows no lease, stop or end, so that the command's lease end does not
// make it refuse the command, and the lease of the earlier process says nothing about what it runs. Such a process
// keeps its runs for one lease after the last command that may still be executed, which is how long a run whose start
// got no response may exist. It is proven gone as soon as no command for it can be executed any more if
//
// - no call to the worker has been answered for as long as a command may be under way,
// - a poll that was sent after that time has got no response, and
// - the worker's registration was missing from the store for the last part of that time, and still is after it.
//
// This assumes that a process which has started again is not hidden from this instance and from the store from its
// start until then. A single cut would have to last for more than 9 s, the longest one known, since the store removes a
// registration 3 to 5 s after its last renewal. While the registration is present, a process may be hidden from this
// instance alone for half a minute and longer. A worker that is down for about 8 s and returns into a cut of several
// seconds is not covered.
//
// A call that timed out, a refused connection and a missing registration prove nothing else, alone or together: a
// worker that is cut off from this instance and from the store shows all three while its runs go on.
namespace rosemarylink::jobs::internal {

// What shows that no process has started again under the id of a worker that does not respond.
struct WorkerSilence {
    Milliseconds unregisteredSince { 0 }; // the registration has been missing since then
    Milliseconds checkedAt { 0 }; // neither a poll nor a list of the registrations found a process; sent at this time
};

// One observation of a worker, and what it proves about runs on it. Everything that ends a run whose end the worker has
// not listed asks this class. Times are on the owner's monotonic clock.
class RunEvidence {
public:
    // Another process has answered a call to the worker's address that was sent at `requestedAt`.
    static RunEvidence otherProcess(Milliseconds requestedAt);

    // How long the registration must have been missing when the last command can be executed. A longer time would
    // leave no margin for a worker that is lost when a start is sent to it: its registration goes up to 6 s later.
    static constexpr Milliseconds unregisteredFor { 6000 };

    // The lease of all runs that the worker's process had at `observedAt` is over. A process that starts again under
    // its id may hold a run for up to `longestLease` after the last command for it, unless the silence rules that out.
    static RunEvidence leaseOver(
        Milliseconds observedAt, Milliseconds longestLease, const std::optional<WorkerSilence>&);

    // The report, which was requested at `requestedAt`, shows neither the run nor its end.
    static RunEvidence absence(const WorkerReport&, Milliseconds requestedAt);

    // How the run has ended; nullopt if this does not prove that it has.
    std::optional<RunEnd> endOf(const WorkerRun&) const;

    // The kind of the observation, for logs.
    std::string_view name() const;

private:
    // Whether no process that has started again can have executed the run's start.
    bool rulesOutReturn(Milliseconds strayStartUntil) const;

    enum class Kind { OtherProcess, LeaseOver, Absence, IncompleteReport };

    RunEvidence(Kind kind, Milliseconds observedAt, Milliseconds longestLease = Milliseconds(0),
        const std::optional<WorkerSilence>& silence = std::nullopt)
        : kind_(kind)
        , observedAt_(observedAt)
        , longestLease_(longestLease)
        , silence_(silence)
    {
    }

    Kind kind_;
    Milliseconds observedAt_; // when the observation was requested
    Milliseconds longestLease_; // how long a run may go on unseen after a late start
    std::optional<WorkerSilence> silence_;
};

} // namespace rosemarylink::jobs::internal
