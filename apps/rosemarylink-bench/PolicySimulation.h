#pragma once

#include "PolicyMeasures.h"
#include "PolicyWorkload.h"

#include "rosemarylink/policy/SchedulingPolicy.h"

namespace rosemarylink::bench {

// Runs the workload against the policy with a simulated clock and simulated workers, until all jobs have ended or ten
// days have passed since the last arrival.
PolicyMeasures simulatePolicy(
    const PolicyProfile&, const PolicyWorkload&, const std::string& policyName, PolicyMeasures labels);

// A lower bound on the worth-weighted mean completion time of the jobs under any schedule, in seconds.
double completionLowerBound(const PolicyProfile&, const std::vector<const JobArrival*>& completed);

} // namespace rosemarylink::bench
