#pragma once

#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <string>

namespace rosemarylink::jobs {

enum class AdmissionOutcome;

// An instance's metrics about jobs. The number of time series does not depend on the number of jobs or workers. The
// registry must outlive the object.
class JobMetrics {
public:
    explicit JobMetrics(MetricsRegistry&);

    void countResponse(AdmissionOutcome);

    // The result of a submission whose write got no response at first: "stored", "not-stored" or "unknown".
    void countUnresolvedWrite(const std::string& result);

    void countEnd(RunEnd);
    void countRefusedStart(CommandOutcome);
    void countWithheldStep(const std::string& reason);

    // The name and the cause are from small fixed sets. The age is the time since the duty last succeeded.
    void countDutyRestart(const std::string& duty, const std::string& cause);
    void setDutyAge(const std::string& duty, Milliseconds age);

    // The jobs that the owner holds because they have not ended.
    void setHeldJobs(std::size_t jobs, std::size_t bytes);

    void countRoomRefusal(const std::string& cause); // "closed" or "too-fast"

    // Number of workers that the owner takes for slow.
    void setSlowWorkers(std::size_t count);

    // Of the evacuations that the owner knows. Domains must be those of registered workers.
    void setEvacuatedDomains(std::size_t domains);
    void setEvacuation(const FailureDomainId&, std::size_t runs, Milliseconds age);
    void countOddEvacuation(); // a key that names no failure domain
    void setUnplaceableGuarantee(std::int64_t accelerators);

    Counter& ownerships; // times that this instance became the owner
    Counter& silentWorkers; // times that a worker stopped responding
    Counter& lostRuns; // runs whose worker restarted, left or did not respond until its lease expired

    Counter& movedStragglers; // tasks and gangs that were stopped on slow workers to go on elsewhere
    Counter& oversizedRecords; // times that a job's progress record came to exceed the store's limit

    // Durations of the stages of a job's processing, in ms.
    Distribution& accept; // from a submission's arrival to its acceptance
    Distribution& handOver; // from acceptance, by the accepting instance's wall clock, until the owner reads the job
    Distribution& firstStart; // from the owner reading the job until a worker has a run of it
    Distribution& startResponse; // from a start command to its response
    Distribution& storeWrite; // one write of progress by the owner
    Distribution& completion; // from the owner reading the job to the job's end

private:
    MetricsRegistry& registry_;
};

} // namespace rosemarylink::jobs
