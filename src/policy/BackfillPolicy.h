#pragma once

#include "PolicyBase.h"

namespace rosemarylink::policy::internal {

// The EASY backfill baseline: jobs start in order of submission at the first fit. The first that does not fit gets a
// reservation computed from declared run times, and later jobs start when they do not delay it.
class BackfillPolicy final : public PolicyBase {
protected:
    void choose(Decisions&, Timestamp) override;

private:
    struct Reservation {
        Timestamp start;
        Ledger freeAtStart; // less the reserved place
    };
    std::optional<Reservation> reserve(const Job&, Timestamp) const;
    bool tryBackfill(Job&, std::optional<Reservation>&, Decisions&, Timestamp);
};

} // namespace rosemarylink::policy::internal
