#pragma once

#include "PolicyMeasures.h"
#include "PolicyWorkload.h"

#include "rosemarylink/policy/SchedulingPolicy.h"

namespace rosemarylink::bench {

// Feeds the workload to the policy with a manual clock and fake workers, until all jobs have ended or ten days have
// passed since the last arrival.
PolicyMeasures simulatePolicy(
    const PolicyProfile&, const PolicyWorkload&, const std::string& policyName, PolicyMeasures labels);

// A bound that no schedule can beat on the worth-weighted mean completion time of the jobs, in seconds.
double completionLowerBound(const PolicyProfile&, const std::vector<const JobArrival*>& completed);

} // namespace rosemarylink::bench
