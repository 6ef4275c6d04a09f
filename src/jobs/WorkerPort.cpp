#include "rosemarylink/jobs/WorkerPort.h"

namespace rosemarylink::jobs {

std::string_view runEndName(RunEnd end)
{
    switch (end) {
    case RunEnd::Done:
        return "done";
    case RunEnd::Failed:
        return "failed";
    case RunEnd::Stopped:
        return "stopped";
    case RunEnd::LeaseExpired:
        return "lapsed";
    case RunEnd::GangBroken:
        return "broken";
    case RunEnd::GangIncomplete:
        return "alone";
    }
    return "failed";
}

std::string_view commandOutcomeName(StartOutcome outcome)
{
    switch (outcome) {
    case StartOutcome::Started:
        return "started";
    case StartOutcome::Fenced:
        return "fenced";
    case StartOutcome::StaleRun:
        return "stale-run";
    case StartOutcome::Late:
        return "late";
    case StartOutcome::NoRoom:
        return "no-room";
    case StartOutcome::Refused:
        return "refused";
    case StartOutcome::OtherLife:
        return "other-life";
    case StartOutcome::Unreachable:
        return "unreachable";
    case StartOutcome::Unknown:
        return "no-answer";
    }
    return "no-answer";
}

} // namespace rosemarylink::jobs
