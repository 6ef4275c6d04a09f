#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::bench {

// One measured value with the baseline of the same run.
struct RequestMeasure {
    std::string name;
    double value = 0;
    std::string unit;
    std::optional<double> baseline;
    // Bound on checkedValue: the highest value that passes, or the lowest if atLeast is set. Absent if the value is
    // only reported.
    std::optional<double> limit;
    bool atLeast = false;
    double checkedValue = 0; // the value itself, or a ratio derived from it

    bool passes() const { return !limit || (atLeast ? checkedValue >= *limit : checkedValue <= *limit); }
};

using RequestMeasures = std::vector<RequestMeasure>;

// Each function runs one phase with its own upstreams, gateways and callers on loopback. It ends the process with exit
// code 2 if a server cannot be started. Unless noted, the baseline is a gateway that routes round robin with up to
// three retries.
RequestMeasures measureLatency(std::uint64_t seed);
RequestMeasures measureOverload(std::uint64_t seed);
RequestMeasures measureRetries(std::uint64_t seed);
RequestMeasures measureBalance(std::uint64_t seed);
RequestMeasures measureRegions(std::uint64_t seed); // baseline: routing to a random upstream
RequestMeasures measureFaults(std::uint64_t seed);
RequestMeasures measureRestart(std::uint64_t seed); // baseline: the server stops without draining

} // namespace rosemarylink::bench
