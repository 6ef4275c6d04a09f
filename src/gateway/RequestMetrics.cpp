#include "RequestMetrics.h"

namespace rosemarylink::gateway::internal {

namespace {

    const std::string prefix = "rosemarylink_gateway_";

    Counter& requestsWith(MetricsRegistry& registry, Verdict verdict)
    {
        return registry.counter(prefix + "requests_total", "Requests of callers by verdict.",
            { { "verdict", std::string(verdictName(verdict)) } });
    }

} // namespace

RequestMetrics::RequestMetrics(MetricsRegistry& registry)
    : retries(registry.counter(prefix + "retries_total", "Idempotent requests that were sent again."))
    , hedges(registry.counter(prefix + "hedges_total", "Second copies of urgent requests."))
    , silentConnections(
          registry.counter(prefix + "silent_connections_total", "Connections to upstreams that went silent."))
    , cancellations(registry.counter(prefix + "cancellations_total", "Requests whose caller left before the answer."))
    , crossRegionBytes(registry.counter(
          prefix + "cross_region_bytes_total", "Bytes of request and answer bodies exchanged with other regions."))
    , attemptWriteFailures(registry.counter(
          prefix + "attempt_write_failures_total", "Outcomes of non-idempotent requests that the store did not take."))
    , inProgress(registry.gauge(prefix + "requests_in_progress", "Requests in progress."))
    , ran_(requestsWith(registry, Verdict::Ran))
    , notRun_(requestsWith(registry, Verdict::NotRun))
    , mayHaveRun_(requestsWith(registry, Verdict::MayHaveRun))
    , duration_(registry.distribution(prefix + "request_milliseconds", "Time from a request to its answer in ms."))
{
}

void RequestMetrics::recordRequest(Verdict verdict, double milliseconds)
{
    switch (verdict) {
    case Verdict::Ran:
        ran_.add();
        break;
    case Verdict::NotRun:
        notRun_.add();
        break;
    case Verdict::MayHaveRun:
        mayHaveRun_.add();
        break;
    }
    duration_.record(milliseconds);
}

} // namespace rosemarylink::gateway::internal
