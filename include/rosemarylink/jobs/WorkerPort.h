#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"
#include "rosemarylink/jobs/Job.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace rosemarylink::jobs {

// A worker's registration in the store.
struct WorkerEntry {
    WorkerId id;
    std::string address;
    ServiceId pool;
    FailureDomainId failureDomain;
    std::int64_t startTimeMs
        = 0; // wall-clock start time, which tells incarnations with the same id apart; 0 if unknown
    bool draining = false;
    Resources capacity;
    std::set<std::string> labels;
    std::string rack; // one of the labels; empty if none of them names a rack
};

// A run that a worker reports as present.
struct RunningRun {
    TaskKey task;
    int run = 0;
    std::string checkpoint;
    int percent = 0; // completed share of the work
};

enum class RunEnd {
    Done,
    Failed,
    Stopped, // by a stop command
    LeaseExpired, // the worker's lease expired, or the run was lost with its worker
    GangBroken, // another member of the gang ended
    GangIncomplete // the other members of the gang did not start in time
};

struct EndedRun {
    std::int64_t number = 0; // sequence number; increases with each end within one incarnation of the worker
    TaskKey task;
    int run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

struct WorkerReport {
    Milliseconds workerClock { 0 };
    std::int64_t startTimeMs = 0; // 0 if the worker did not report it
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended; // ends after the acknowledged one, in the order of their numbers
    bool endsComplete = true; // false if there may be more ends than those in `ended`, which workers limit
};

struct StartCommand {
    TaskKey task;
    int run = 0;
    std::string payload;
    std::string checkpoint; // empty to start from the beginning
};

enum class CommandOutcome {
    Accepted, // after a start command the run is present; after a stop command it is ending or cannot start any more
    Fenced, // the worker has seen the fencing token of a later owner
    StaleRun, // a run of the task with this or a higher number has ended or been stopped on the worker
    LeaseExpired, // the command's lease end has passed on the worker's clock
    NoCapacity, // not enough free resources
    Refused, // rejected for another reason; the run is not started
    WrongIncarnation, // the process at this address is not the expected worker
    Unreachable, // the command was not sent; it has no effect
    Unknown, // no response; the command may have taken effect or may still do so
};

std::string_view runEndName(RunEnd);
std::string_view commandOutcomeName(CommandOutcome);

struct CommandResponse {
    CommandOutcome outcome = CommandOutcome::Unknown;
    Milliseconds workerClock { 0 }; // the worker's clock at the time of the response; 0 if there was none
};

// Interface to the workers. Lease ends are times on the worker's own clock. Calls do not block; each calls its handler
// exactly once, after the call has returned, on the event loop's thread.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;

    virtual void start(const WorkerEntry&, const StartCommand&, Milliseconds leaseEnd, FencingToken,
        std::function<void(const CommandResponse&)>)
        = 0;

    // The outcome is Accepted when the worker has accepted the stop; the run cannot start on it afterwards.
    virtual void stop(
        const WorkerEntry&, const TaskKey&, int run, FencingToken, std::function<void(const CommandResponse&)>)
        = 0;

    // Polls the worker: raises its fence to the token, extends its lease unless leaseEnd is zero, acknowledges the ends
    // up to the given number, and returns the report as soon as there are unacknowledged ends or after `wait`.
    // Fails with Fenced when a later owner has called, with NotFound when another process is at the address, otherwise
    // with Unavailable; the error's verdict is NotRun when the worker was not reached.
    virtual void poll(const WorkerEntry&, Milliseconds leaseEnd, FencingToken, std::int64_t acknowledged,
        Milliseconds wait, std::function<void(Result<WorkerReport>)>)
        = 0;
};

} // namespace rosemarylink::jobs
