#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::bench {

// One result of `rosemarylink-bench state`. The ratio is that of value to baseline, both from the same run.
struct StateMeasure {
    std::string measure;
    double value = 0;
    std::string unit;
    double baseline = 0;
    std::optional<double> limit; // the highest value that passes; none for a figure that is given for comparison
};

// Time from an owner's death to the next owner's first decision. Baseline: the lease's term.
std::vector<StateMeasure> measureTakeover(std::uint64_t seed);

// Calls to the store at the two-year size, in steady state, in a burst, in recovery and after an outage.
std::vector<StateMeasure> measureStoreCalls(std::uint64_t seed);

// Sizes of the placements record. Baseline: the same record with one entry for each task.
std::vector<StateMeasure> measureRecordSizes(std::uint64_t seed);

// Time to rebuild a cell from its records and its workers' reports. Baseline: ten times that of a tenth of the size.
std::vector<StateMeasure> measureRebuild(std::uint64_t seed);

// Load of the busiest survivor over the mean. The chained order, which is in use, is judged at the design's size
// against the best other candidate.
std::vector<StateMeasure> measurePreferenceOrders();

} // namespace rosemarylink::bench
