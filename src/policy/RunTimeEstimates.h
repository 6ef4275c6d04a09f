#pragma once

#include "Job.h"
#include "rosemarylink/base/RunTimePredictor.h"

namespace rosemarylink::policy::internal {

// Predicts run times from the completed runs of each account and kind.
class RunTimeEstimates {
public:
    void observe(const model::JobSpec&, Milliseconds ran);

    // The expected duration of a whole run; the declared time if no run was observed.
    Milliseconds expectedRunTime(const model::JobSpec&) const;

private:
    RunTimePredictor predictor_;
};

// The expected remaining run time of a job, after what it ran and what checkpoints preserved. At least half of the time
// already run, since long runs tend to continue, and at least 1 s.
Milliseconds expectedRemaining(const RunTimeEstimates&, const Job&, Timestamp now);

} // namespace rosemarylink::policy::internal
