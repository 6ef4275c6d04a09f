#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::bench {

// One measured value beside the baseline of the same run.
struct RequestMeasure {
    std::string name;
    double value = 0;
    std::string unit;
    std::optional<double> baseline;
    // The bound that the checked value must keep; absent: reported only.
    std::optional<double> limit;
    bool atLeast = false; // the limit is a lower bound
    double checked = 0; // the value, or a ratio, that the limit is for

    bool passes() const { return !limit || (atLeast ? checked >= *limit : checked <= *limit); }
};

using RequestMeasures = std::vector<RequestMeasure>;

// Each phase builds its own upstreams, gateways and callers on loopback. The baseline is round robin with three fixed
// retries, unless the phase says otherwise.
RequestMeasures measureLatency(std::uint64_t seed);
RequestMeasures measureOverload(std::uint64_t seed);
RequestMeasures measureRetries(std::uint64_t seed);
RequestMeasures measureBalance(std::uint64_t seed);
RequestMeasures measureRegions(std::uint64_t seed); // baseline: random routing
RequestMeasures measureFaults(std::uint64_t seed);
RequestMeasures measureRestart(std::uint64_t seed); // baseline: the server stops without draining

} // namespace rosemarylink::bench
