#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/jobs/Configuration.h"
#include "rosemarylink/jobs/RecordStore.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <string>

namespace rosemarylink::jobs {

// Where the operators and the workers keep their records, and how these read.
class Catalog {
public:
    virtual ~Catalog() = default;
    virtual std::string configurationKey() const = 0;
    virtual Result<Configuration> parseConfiguration(const Record&) const = 0;
    virtual std::string workerPrefix() const = 0;

    // Fails for an entry that names no worker to use; any writer may have written it.
    virtual Result<WorkerEntry> parseWorker(const Record&) const = 0;
};

// Keys of the product's own records.
namespace keys {

    inline const std::string ownership = "own/pools";
    inline const std::string fleet = "fleet/workers"; // the workers on which something may run
    inline const std::string incoming = "in/"; // what callers have handed in for the owner
    inline const std::string jobs = "in/job/";
    inline const std::string cancellations = "in/cancel/";
    inline const std::string runs = "run/"; // the progress and the final state of each job

    inline std::string job(const JobId& id) { return jobs + id.value(); }
    inline std::string cancellation(const JobId& id) { return cancellations + id.value(); }
    inline std::string run(const JobId& id) { return runs + id.value(); }
    inline std::string waitingIn(const QueueId& queue) { return "wait/" + queue.value() + "/"; }
    inline std::string waiting(const QueueId& queue, const JobId& id) { return waitingIn(queue) + id.value(); }

} // namespace keys

} // namespace rosemarylink::jobs
