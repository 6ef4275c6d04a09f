#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/Metrics.h"

namespace rosemarylink::gateway::internal {

// The metrics of the request path. Safe to use from several threads.
class RequestMetrics {
public:
    explicit RequestMetrics(MetricsRegistry&);

    // Records a finished request: its verdict and its duration.
    void recordRequest(Verdict, double milliseconds);

    Counter& retries;
    Counter& hedges;
    Counter& silentConnections;
    Counter& cancellations;
    Counter& crossRegionBytes;
    Counter& attemptWriteFailures;
    Gauge& inProgress;

private:
    Counter& ran_;
    Counter& notRun_;
    Counter& mayHaveRun_;
    Distribution& duration_;
};

} // namespace rosemarylink::gateway::internal
