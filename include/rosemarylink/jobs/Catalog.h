#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/jobs/Configuration.h"
#include "rosemarylink/jobs/RecordStore.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <string>

namespace rosemarylink::jobs {

// Locates and parses the records that operators and workers write to the store.
class Catalog {
public:
    virtual ~Catalog() = default;
    virtual std::string configurationKey() const = 0;
    virtual Result<Configuration> parseConfiguration(const Record&) const = 0;
    virtual std::string workerPrefix() const = 0;

    // Fails for a malformed entry and for a worker that must not be used. Entries come from other processes and are
    // not trusted. All fields of an entry that is returned are in a range for which sums over all workers do not
    // overflow, and its address can be connected to without resolving a name.
    //
    // A worker whose entry is refused counts as not registered, whether or not it was before. No run is started on it,
    // as nothing is known for certain about where it is and what it can hold. Runs that it already has continue, and
    // their leases are renewed at the address of its last valid entry for as long as it can be connected to, because
    // the worker has most likely not changed.
    virtual Result<WorkerEntry> parseWorker(const Record&) const = 0;

    // Operators request the evacuation of a failure domain by writing a record with this prefix, and revoke it by
    // removing the record.
    virtual std::string evacuationPrefix() const = 0;

    // Returns the failure domain that the record's key names. The record's value has no meaning, because an evacuation
    // that is not observed does more harm than one that was not meant. Fails with InvalidArgument if the key names no
    // domain in which a worker could be registered.
    virtual Result<FailureDomainId> parseEvacuation(const Record&) const = 0;
};

// Keys of the records that rosemarylink itself writes to the store.
namespace keys {

    inline const std::string ownership = "own/pools";
    inline const std::string fleet = "fleet/workers"; // ids of the workers on which runs may exist
    inline const std::string paces = "fleet/pace"; // slow workers
    inline const std::string closure = "admission/closed"; // accounts whose new jobs are not accepted at present
    inline const std::string incoming
        = "in/"; // submissions and cancellations, written by admission and read by the owner
    inline const std::string jobs = "in/job/";
    inline const std::string cancellations = "in/cancel/";
    // Cancellations of jobs that are not stored. Each keeps a submission that is still on its way from being stored:
    // one with a key of the same account or, if it has no account, one to a queue that needs no key.
    inline const std::string withdrawals = "withdrawn/";
    inline const std::string progressPrefix = "run/"; // progress and final state of each job

    inline std::string job(const JobId& id) { return jobs + id.value(); }
    inline std::string cancellation(const JobId& id) { return cancellations + id.value(); }
    inline std::string withdrawal(const JobId& id) { return withdrawals + id.value(); }
    std::string withdrawal(const JobId&, const AccountId&);
    inline std::string progress(const JobId& id) { return progressPrefix + id.value(); }
    inline std::string waitingPrefix(const QueueId& queue) { return "wait/" + queue.value() + "/"; }
    inline std::string waitingJob(const QueueId& queue, const JobId& id) { return waitingPrefix(queue) + id.value(); }

} // namespace keys

} // namespace rosemarylink::jobs
