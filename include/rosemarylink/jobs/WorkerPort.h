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

// What a worker says of itself.
struct WorkerEntry {
    WorkerId id;
    std::string address;
    ServiceId pool;
    FailureDomainId failureDomain;
    std::int64_t bornMs = 0; // wall-clock time of its start; tells lives under the same id apart
    bool draining = false;
    Resources capacity;
    std::set<std::string> labels;
    std::string rack; // one of the labels; empty when it names none
};

// One run that is present on a worker.
struct RunningRun {
    TaskKey task;
    int run = 0;
    std::string checkpoint;
    int percent = 0; // of its work
};

enum class RunEnd { Done, Failed, Stopped, Lapsed, Broken, Alone };

struct EndedRun {
    std::int64_t number = 0; // rises with each end of this life of the worker
    TaskKey task;
    int run = 0;
    RunEnd end = RunEnd::Failed;
    std::string checkpoint;
};

struct WorkerReport {
    Milliseconds workerClock { 0 };
    std::int64_t bornMs = 0; // 0 when the answer did not say
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended; // those after the acknowledged one; possibly only the first few hundred
};

struct StartOrder {
    TaskKey task;
    int run = 0;
    std::string payload;
    std::string checkpoint; // empty: from the beginning
};

enum class StartOutcome {
    Started, // it is there
    Fenced, // a later owner has been there
    StaleRun, // a run as high has ended or been stopped there
    Late, // the lease time of the order is over on the worker's clock
    NoRoom,
    Refused, // for another reason; it does not run
    OtherLife, // the worker is not the one that the order is for
    Unreachable, // certain: the order has not left
    Unknown, // no answer: it may run now or later
};

std::string_view runEndName(RunEnd);
std::string_view startOutcomeName(StartOutcome);

struct OrderAnswer {
    StartOutcome outcome = StartOutcome::Unknown;
    Milliseconds workerClock { 0 }; // 0 when there was no answer
};

// The calls to workers. Lease times are on the worker's own clock. Handlers are called once, later.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;

    virtual void start(const WorkerEntry&, const StartOrder&, Milliseconds leaseEnd, FencingToken,
        std::function<void(const OrderAnswer&)>)
        = 0;

    // A stop is Started when the worker has taken it; the run then cannot start there any more.
    virtual void stop(
        const WorkerEntry&, const TaskKey&, int run, FencingToken, std::function<void(const OrderAnswer&)>)
        = 0;

    // Raises the fence, extends the lease unless leaseEnd is zero, acknowledges ends, and waits up to `wait` for an
    // end.
    virtual void hold(const WorkerEntry&, Milliseconds leaseEnd, FencingToken, std::int64_t acknowledged,
        Milliseconds wait, std::function<void(Result<WorkerReport>)>)
        = 0;
};

} // namespace rosemarylink::jobs
