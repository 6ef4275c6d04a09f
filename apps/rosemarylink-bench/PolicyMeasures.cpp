#include "PolicyMeasures.h"

#include <algorithm>

namespace rosemarylink::bench {

void WeightedSamples::add(double value, double weight) { samples_.emplace_back(value, weight); }

double WeightedSamples::mean() const
{
    double sum = 0;
    double weights = 0;
    for (const auto& [value, weight] : samples_) {
        sum += value * weight;
        weights += weight;
    }
    return weights > 0 ? sum / weights : 0;
}

double WeightedSamples::quantile(double share) const
{
    auto sorted = samples_;
    std::sort(sorted.begin(), sorted.end());
    double weights = 0;
    for (const auto& sample : sorted)
        weights += sample.second;
    double passed = 0;
    for (const auto& [value, weight] : sorted) {
        passed += weight;
        if (passed >= share * weights)
            return value;
    }
    return 0;
}

double WeightedSamples::max() const
{
    double largest = 0;
    for (const auto& sample : samples_)
        largest = std::max(largest, sample.first);
    return largest;
}

bool PolicyMeasures::countsAreZero() const
{
    return guaranteeMisses == 0 && partialGangs == 0 && doubleRuns == 0 && lostJobs == 0 && overcommits == 0;
}

nlohmann::ordered_json PolicyMeasures::toJson() const
{
    nlohmann::ordered_json json;
    json["policy"] = policy;
    json["profile"] = profile;
    json["faults"] = faults;
    json["seed"] = seed;
    json["weightedCompletionMean"] = completion.mean();
    json["weightedCompletionP50"] = completion.quantile(0.5);
    json["weightedCompletionP99"] = completion.quantile(0.99);
    json["completionLowerBound"] = completionLowerBound;
    json["fragmentation"] = fragmentation;
    json["largeGangWaitP99"] = largeGangWait.quantile(0.99);
    json["largeGangWaitMax"] = largeGangWait.max();
    json["largeGangs"] = largeGangWait.count();
    json["urgentWaitP99"] = urgentWait.quantile(0.99);
    json["urgentWaitMax"] = urgentWait.max();
    json["reclaimP99"] = reclaim.quantile(0.99);
    json["reclaimMax"] = reclaim.max();
    json["reclaims"] = reclaims;
    json["moves"] = moves;
    json["utilisation"] = utilisation;
    json["lostWork"] = lostWork;
    json["worthCompleted"] = worthCompleted;
    json["worthFailed"] = worthFailed;
    json["jobs"] = jobs;
    json["refused"] = refused;
    json["starts"] = starts;
    json["stops"] = stops;
    json["mayHaveRun"] = mayHaveRun;
    json["runningTasksMax"] = runningTasksMax;
    json["decisionMicrosP50"] = decisionMicros.quantile(0.5);
    json["decisionMicrosP99"] = decisionMicros.quantile(0.99);
    json["decisionMicrosMax"] = decisionMicros.max();
    json["memoryBytes"] = memoryBytes;
    json["guaranteeMisses"] = guaranteeMisses;
    json["partialGangs"] = partialGangs;
    json["doubleRuns"] = doubleRuns;
    json["lostJobs"] = lostJobs;
    json["overcommits"] = overcommits;
    return json;
}

} // namespace rosemarylink::bench
