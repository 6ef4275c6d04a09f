#pragma once

#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/jobs/WorkerPort.h"

namespace rosemarylink::jobs {

enum class AdmissionOutcome;

// What an instance counts and measures about jobs. Nothing here grows with jobs or workers. The registry must outlive
// the object.
class JobMetrics {
public:
    explicit JobMetrics(MetricsRegistry&);

    void countAnswer(AdmissionOutcome);
    void countEnd(RunEnd);
    void countRefusedStart(StartOutcome);

    Counter& ownerships; // gained by this instance
    Counter& silentWorkers; // times that a worker stopped answering
    Counter& lostRuns; // whose worker restarted, left or kept silent beyond its lease

    // The legs of a job's way, in ms.
    Distribution& accept; // from a submission's arrival to its acceptance
    Distribution& handOver; // from then, by the accepting instance's time of day, until the owner knows the job
    Distribution& firstStart; // from then to the first order
    Distribution& startAnswer; // from an order to its answer
    Distribution& store; // one write of the owner
    Distribution& completion; // from the owner's knowledge of a job to its end

private:
    MetricsRegistry& registry_;
};

} // namespace rosemarylink::jobs
