#pragma once

#include "rosemarylink/jobs/Job.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace rosemarylink::jobs::internal {

// What an owner knows about a worker that it gives no work, because the worker is idle or does not respond.
struct SilentWorker {
    // All runs on the worker end within this time from the moment at which the record was written. Absent while the
    // owner still renews its lease.
    std::optional<Milliseconds> leaseLimit;

    // The jobs of all runs that may exist on the worker, and of its ends that are not stored. Absent if the owner does
    // not know all of them.
    std::optional<std::set<JobId>> jobs;

    bool operator==(const SilentWorker& other) const { return leaseLimit == other.leaseLimit && jobs == other.jobs; }
};

// The stored record from which a new owner learns on which workers runs of earlier owners may exist. An owner gives
// work to a worker only while the record lists it and does not call it silent, and extends the lease of what runs there
// only while the record states no limit for it. So the details of a silent worker hold until a later record is written.
struct FleetRecord {
    std::set<WorkerId> workers;
    std::map<WorkerId, SilentWorker> silent; // some of them

    // Workers that have started again, and how long after the writing of the record a call of the owner for an earlier
    // process may still be executed. It extends the lease of the present process, which has another clock.
    std::map<WorkerId, Milliseconds> lateCalls;

    bool allowsWork(const WorkerId& worker) const { return workers.count(worker) > 0 && silent.count(worker) == 0; }
    bool allowsRenewal(const WorkerId& worker) const
    {
        const auto found = silent.find(worker);
        return workers.count(worker) > 0 && (found == silent.end() || !found->second.leaseLimit);
    }
    bool hasLimits() const;

    // Forbids what `next` does not allow. Must be called before `next` is written, since a write may take effect
    // without a response.
    void restrictTo(const FleetRecord& next);
};

std::string fleetRecordText(const FleetRecord&);

// Returns nullopt for a record that is not an array. What cannot be read of a silent worker is left out; without its
// limit and its jobs, a worker counts as one that may hold runs of any job for the longest lease. Versions that know
// ids only must not share a fleet with this one: they keep the details of a worker to which they give work.
std::optional<FleetRecord> parseFleetRecord(const std::string& text);

} // namespace rosemarylink::jobs::internal
