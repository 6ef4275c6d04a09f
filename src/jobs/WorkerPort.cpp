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

std::string_view commandOutcomeName(CommandOutcome outcome)
{
    switch (outcome) {
    case CommandOutcome::Accepted:
        return "started";
    case CommandOutcome::Fenced:
        return "fenced";
    case CommandOutcome::StaleRun:
        return "stale-run";
    case CommandOutcome::LeaseExpired:
        return "late";
    case CommandOutcome::NoCapacity:
        return "no-room";
    case CommandOutcome::Refused:
        return "refused";
    case CommandOutcome::WrongIncarnation:
        return "other-life";
    case CommandOutcome::Unreachable:
        return "unreachable";
    case CommandOutcome::Unknown:
        return "no-answer";
    }
    return "no-answer";
}

} // namespace rosemarylink::jobs
