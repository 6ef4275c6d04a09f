#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/Metrics.h"

namespace rosemarylink::gateway::internal {

// The metrics of the request path.
class RequestMetrics {
public:
    explicit RequestMetrics(MetricsRegistry&);

    // Counts the end of a request by its verdict.
    void finished(Verdict, double milliseconds);

    Counter& retries;
    Counter& hedges;
    Counter& silentConnections;
    Counter& cancellations;
    Counter& crossRegionBytes;
    Counter& storeFailures;
    Gauge& inProgress;

private:
    Counter& ran_;
    Counter& notRun_;
    Counter& mayHaveRun_;
    Distribution& duration_;
};

} // namespace rosemarylink::gateway::internal
