#include "rosemarylink/base/Metrics.h"

#include <catch2/catch.hpp>

namespace rosemarylink {
namespace {

    TEST_CASE("quantiles are exact over the last complete window")
    {
        Distribution distribution;
        for (std::size_t sample = 0; sample < Distribution::windowSize; ++sample)
            distribution.record(static_cast<double>(sample));
        for (int sample = 0; sample < 10; ++sample)
            distribution.record(1e9);
        const auto summary = distribution.summary();
        CHECK(summary.count == static_cast<std::int64_t>(Distribution::windowSize) + 10);
        CHECK(summary.p50 == Approx(1024).margin(1));
        CHECK(summary.p99 == Approx(2027).margin(1));
    }

    TEST_CASE("metrics render in the Prometheus text format")
    {
        MetricsRegistry registry;
        registry.counter("rosemarylink_requests_total", "Requests.", { { "verdict", "Ran" } }).add(3);
        registry.counter("rosemarylink_requests_total", "Requests.", { { "verdict", "Ran" } }).add(1);
        registry.gauge("rosemarylink_queue_length", "Queue.").set(2);
        const std::string text = registry.renderPrometheus();
        CHECK(text.find("rosemarylink_requests_total{verdict=\"Ran\"} 4\n") != std::string::npos);
        CHECK(text.find("# TYPE rosemarylink_queue_length gauge\nrosemarylink_queue_length 2\n") != std::string::npos);
    }

} // namespace
} // namespace rosemarylink
