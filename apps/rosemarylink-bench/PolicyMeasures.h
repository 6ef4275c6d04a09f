#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace rosemarylink::bench {

// Weighted samples with their mean and quantiles.
class WeightedSamples {
public:
    void add(double value, double weight = 1);
    double mean() const;
    double quantile(double share) const;
    double max() const;
    std::size_t count() const { return samples_.size(); }

private:
    std::vector<std::pair<double, double>> samples_;
};

// The results of one run; docs/policy.md defines each. Times are in seconds unless the name says otherwise.
struct PolicyMeasures {
    std::string profile;
    std::string policy;
    std::string faults;
    std::uint64_t seed = 0;
    WeightedSamples completion;
    WeightedSamples largeGangWait;
    WeightedSamples urgentWait;
    WeightedSamples reclaim;
    WeightedSamples decisionMicros;
    double fragmentation = 0;
    double utilisation = 0;
    double lostWork = 0;
    double completionLowerBound = 0;
    double worthCompleted = 0; // share of all accepted worth that completed before the arrivals end
    double worthFailed = 0; // share of all accepted worth that ended without completing
    std::int64_t jobs = 0;
    std::int64_t refused = 0;
    std::int64_t starts = 0;
    std::int64_t stops = 0;
    std::int64_t reclaims = 0;
    std::int64_t moves = 0;
    std::int64_t mayHaveRun = 0;
    std::int64_t guaranteeMisses = 0;
    std::int64_t partialGangs = 0;
    std::int64_t doubleRuns = 0;
    std::int64_t lostJobs = 0;
    std::int64_t overcommits = 0; // starts on capacity that was not free
    std::int64_t runningTasksMax = 0;
    std::int64_t memoryBytes = 0;

    nlohmann::ordered_json toJson() const;
    bool countsAreZero() const;
};

} // namespace rosemarylink::bench
