#pragma once

#include "rosemarylink/base/Units.h"

#include <vector>

// Load pattern: more jobs of one priority wait than the pool can start in time. In the order of their deadlines each
// waits for those before it, until most of them are late by a little. If a few large jobs are deferred instead, the
// others are in time, and what is deferred is late either way.
namespace rosemarylink::jobs::internal {

// Work that has to start by a certain time.
struct DeadlineDemand {
    double cores = 0; // weighted cores that it needs, see weightedCores()
    Milliseconds latestStart { 0 };
    bool deferrable = true; // false for work that has been deferred for as long as it may be
};

// Capacity that waiting work can expect, in weighted cores.
struct CapacityForecast {
    Milliseconds now { 0 };
    double free = 0; // now
    double releasedPerSecond = 0; // becomes free because work ends by itself
};

// Selects the work to defer so that as much as possible of the rest starts in time (the algorithm of Moore and Hodgson,
// with capacity that grows with time in place of one machine): in the order of the latest starts, whenever the demand
// exceeds what is free by then, the largest demand so far is deferred. `demands` must be in the order of their latest
// starts. Returns one element for each, true if it is deferred, and takes the capacity of the others from the forecast.
std::vector<bool> selectDeferred(const std::vector<DeadlineDemand>& demands, CapacityForecast&);

} // namespace rosemarylink::jobs::internal
