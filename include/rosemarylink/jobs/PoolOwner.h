#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/jobs/Catalog.h"
#include "rosemarylink/jobs/ConfigView.h"
#include "rosemarylink/jobs/JobMetrics.h"
#include "rosemarylink/jobs/Ownership.h"
#include "rosemarylink/jobs/Timers.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <memory>

namespace rosemarylink::jobs {

namespace internal {
    class Tenure;
}

// Times that the platform promises or bounds.
struct PoolLimits {
    Milliseconds workerLease { 6000 }; // the longest lease that a worker grants
    Milliseconds gangTimeout { 3000 }; // how long a gang's member waits for the others
    Milliseconds stopTime { 900 }; // the longest that a stop takes
    Milliseconds reclaimWithin { 3000 }; // guaranteed work has started by then
    Milliseconds keepFinalFor { 240000 }; // how long the state of an ended job can be asked for
};

// Schedules the jobs of all pools while this instance owns them: it follows what callers hand in, gives orders to the
// workers, notes what ends, and takes over from an earlier owner by the store and the workers' lists alone.
class PoolOwner {
public:
    PoolOwner(RecordStore&, WorkerPort&, const Catalog&, const ConfigView&, Ownership&, Timers&, const Clock&,
        JobMetrics&, const PoolLimits&);
    ~PoolOwner();

    // Follow the ownership's listener.
    void begin(FencingToken);
    void end();

    // Writes what is not stored yet and calls the handler when that is done, or at once when there is nothing.
    void flush(const std::function<void()>& done);

    void setLimits(const PoolLimits& limits) { limits_ = limits; }

private:
    friend class internal::Tenure;

    RecordStore& store_;
    WorkerPort& workers_;
    const Catalog& catalog_;
    const ConfigView& config_;
    Ownership& ownership_;
    Timers& timers_;
    const Clock& clock_;
    JobMetrics& metrics_;
    PoolLimits limits_;
    std::shared_ptr<internal::Tenure> tenure_;
};

} // namespace rosemarylink::jobs
