#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::bench {

// One result of `rosemarylink-bench state`. The value and the baseline come from the same run.
struct StateMeasure {
    std::string measure;
    double value = 0;
    std::string unit;
    double baseline = 0;
    std::optional<double> limit; // highest value that passes; absent if the value is only reported
};

// The functions below throw std::runtime_error if a simulated cell does not reach the state to be measured.

// Time from an owner's failure to the next owner's first decision, in lease terms. Baseline: one lease term.
std::vector<StateMeasure> measureTakeover(std::uint64_t seed);

// Calls to the store at the fleet size expected in two years: in steady state, in a burst of submissions, while new
// owners recover all cells, and during and after an outage of the store.
std::vector<StateMeasure> measureStoreCalls(std::uint64_t seed);

// Encoded size of the placements record. Baseline: the same record with one entry for each task.
std::vector<StateMeasure> measureRecordSizes(std::uint64_t seed);

// Time to rebuild a cell from its records and its workers' reports. Baseline: ten times the time for a cell of a tenth
// of the size.
std::vector<StateMeasure> measureRebuild(std::uint64_t seed);

// Load of the busiest surviving scheduler over the mean, for each method to order the preferred owners of a cell. Only
// the chained method, which is in use, has a limit, and only for 4 cells, the design size: the result of the better of
// the other two methods.
std::vector<StateMeasure> measurePreferenceOrders();

} // namespace rosemarylink::bench
