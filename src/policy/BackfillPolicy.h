#pragma once

#include "PolicyBase.h"

namespace rosemarylink::policy::internal {

// The EASY backfill baseline. Jobs start in order of submission at the first fit. The first job that does not fit gets
// a reservation computed from declared run times, and later jobs start only if they do not delay it.
class BackfillPolicy final : public PolicyBase {
protected:
    void schedule(Decisions&, Timestamp) override;

private:
    struct Reservation {
        Timestamp start;
        CapacityIndex freeAtStart; // free capacity at that time, less the reserved placement
    };
    std::optional<Reservation> reserve(const Job&, Timestamp) const;
    bool tryBackfill(Job&, std::optional<Reservation>&, Decisions&, Timestamp);
};

} // namespace rosemarylink::policy::internal
