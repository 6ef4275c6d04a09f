#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/jobs/Catalog.h"
#include "rosemarylink/jobs/ConfigView.h"
#include "rosemarylink/jobs/JobMetrics.h"
#include "rosemarylink/jobs/Ownership.h"
#include "rosemarylink/jobs/Timers.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <memory>
#include <optional>

namespace rosemarylink::jobs {

namespace internal {
    class OwnerSession;
}

// What the jobs that have not ended may hold on the smallest machine that may own them.
inline constexpr std::size_t defaultJobMemory = std::size_t(40) << 20;

// Returns the part of a machine's memory that jobs may hold: a quarter, and no more than on the smallest machine, which
// may be the next owner. 0 means that the memory is not known.
std::size_t jobMemoryFor(std::size_t memoryMb);

inline constexpr int defaultStartCommands = 1024;

// Returns the part of a process's descriptors that start commands may take: a quarter. 0 means that the number is not
// known.
int startCommandsFor(std::size_t fileDescriptors);

// Limits that the platform guarantees or requires.
struct PoolLimits {
    Milliseconds workerLease { 6000 }; // longest lease that a worker grants
    Milliseconds gangTimeout { 3000 }; // how long a member of a gang waits for the others to start
    Milliseconds stopTime { 900 }; // maximum time that stopping a run takes
    Milliseconds reclaimTimeout { 3000 }; // guaranteed work must start within this time
    Milliseconds finalStateRetention { 240000 }; // how long the final state of a job stays available
    // Whether workers may be slow, or fail what they start although they report to be well, so that the owner keeps
    // what it has observed of each.
    bool observeWorkers = false;

    // Estimated memory of the jobs that have not ended, above which new jobs are refused.
    std::size_t jobMemoryBytes = defaultJobMemory;

    // Start commands without a response at a time, each of which takes a connection.
    int startCommands = defaultStartCommands;

    // Whether large waiting jobs are deferred where too little capacity becomes free in time for all of their priority.
    bool deferLargest = false;

    // No task may start in a failure domain from this time after its evacuation was acknowledged. Must be positive.
    // Absent if the deployment has no evacuations, which are then not looked for.
    std::optional<Milliseconds> evacuationTimeout = std::nullopt;
};

// Schedules the jobs of all pools while this instance owns them: watches for submissions and cancellations, commands
// the workers and records progress. On a takeover, the state left by the previous owner is rebuilt from the store and
// the workers' reports alone. Must be used on the event loop's thread.
class PoolOwner {
public:
    PoolOwner(RecordStore&, WorkerPort&, const Catalog&, const ConfigView&, Ownership&, Timers&, const Clock&,
        JobMetrics&, const PoolLimits&);
    ~PoolOwner();

    // Must be called when ownership is gained and lost, respectively.
    void begin(FencingToken);
    void end();

    // Writes all unstored progress and then calls `done`; calls it before returning if there is none. If ownership ends
    // first, `done` is called then, although the progress is not stored.
    void flush(const std::function<void()>& done);

    void setLimits(const PoolLimits& limits) { limits_ = limits; }

private:
    friend class internal::OwnerSession;

    RecordStore& store_;
    WorkerPort& workers_;
    const Catalog& catalog_;
    const ConfigView& config_;
    Ownership& ownership_;
    Timers& timers_;
    const Clock& clock_;
    JobMetrics& metrics_;
    PoolLimits limits_;
    std::shared_ptr<internal::OwnerSession> session_;
};

} // namespace rosemarylink::jobs
