#pragma once

#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace rosemarylink::jobs::internal {

// The stored record from which a new owner learns on which workers runs of earlier owners may exist. An owner gives
// work to a worker, and renews the lease of what runs there, only while the record lists the worker without a limit.
struct FleetRecord {
    std::set<WorkerId> workers;

    // Workers among them that have not responded to the owner that wrote the record, so that it has renewed no lease
    // there. All runs on such a worker end within this time from the moment at which the record was written.
    std::map<WorkerId, Milliseconds> leaseLimits;

    // Whether runs of the owner that wrote the record may exist on the worker.
    bool allowsWork(const WorkerId& worker) const
    {
        return workers.count(worker) > 0 && leaseLimits.count(worker) == 0;
    }
};

std::string fleetRecordText(const FleetRecord&);

// Returns nullopt for a record that is not an array. Elements that cannot be read are left out; without its limit, a
// worker counts as one that may hold runs for the longest lease.
std::optional<FleetRecord> parseFleetRecord(const std::string& text);

} // namespace rosemarylink::jobs::internal
