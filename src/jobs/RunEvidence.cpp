#include "RunEvidence.h"

namespace rosemarylink::jobs::internal {

RunEvidence RunEvidence::otherProcess(Milliseconds requestedAt) { return { Kind::OtherProcess, requestedAt }; }

RunEvidence RunEvidence::leaseOver(
    Milliseconds observedAt, Milliseconds longestLease, const std::optional<WorkerSilence>& silence)
{
    return { Kind::LeaseOver, observedAt, longestLease, silence };
}

RunEvidence RunEvidence::absence(const WorkerReport& report, Milliseconds requestedAt)
{
    return { report.endsComplete ? Kind::Absence : Kind::IncompleteReport, requestedAt };
}

std::string_view RunEvidence::name() const
{
    switch (kind_) {
    case Kind::OtherProcess:
        return "other-process";
    case Kind::LeaseOver:
        return "lease-over";
    case Kind::Absence:
        return "absent-from-report";
    case Kind::IncompleteReport:
        return "incomplete-report";
    }
    return "";
}

bool RunEvidence::rulesOutReturn(Milliseconds strayStartUntil) const
{
    return silence_ && silence_->checkedAt >= strayStartUntil
        && silence_->unregisteredSince + unregisteredFor <= strayStartUntil;
}

std::optional<RunEnd> RunEvidence::endOf(const WorkerRun& run) const
{
    const bool confirmedBefore = run.confirmedAt && *run.confirmedAt < observedAt_;
    switch (kind_) {
    case Kind::LeaseOver:
        if (!run.strayStartUntil || observedAt_ >= *run.strayStartUntil + longestLease_
            || rulesOutReturn(*run.strayStartUntil))
            return RunEnd::LeaseExpired;
        return std::nullopt;
    case Kind::OtherProcess: // which refuses what is on its way to the worker's id
        return run.startedAt <= observedAt_ ? std::optional(RunEnd::LeaseExpired) : std::nullopt;
    case Kind::IncompleteReport: // the end may be among those that are not listed
        return std::nullopt;
    case Kind::Absence:
        if (run.phase != TaskPhase::Stopping)
            return confirmedBefore ? std::optional(RunEnd::LeaseExpired) : std::nullopt;
        if (run.stopOverAt && *run.stopOverAt < observedAt_)
            return RunEnd::Stopped;
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace rosemarylink::jobs::internal
