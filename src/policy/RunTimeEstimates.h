#pragma once

#include "Job.h"

#include <string>
#include <unordered_map>

namespace rosemarylink::policy::internal {

// Estimates run times from the completed runs of each account and kind. Two predictors are kept, a correction factor
// for the declared time and a typical time that ignores the declaration; the one with the smaller squared error is
// used. Memory grows only with the number of accounts and kinds.
class RunTimeEstimates {
public:
    void observe(const model::JobSpec&, Milliseconds ran);

    // The expected duration of a whole run; the declared time if no run was observed.
    Milliseconds expectedRunTime(const model::JobSpec&) const;

private:
    struct Predictor {
        double logMean = 0;
        double squaredError = 0; // weighted moving mean of the squared error
    };
    struct History {
        int count = 0;
        Predictor correction; // of log(ran / declared)
        Predictor typical; // of log(ran)
    };
    static void update(Predictor&, double sample, double weight);

    std::unordered_map<std::string, History> histories_;
};

// The expected remaining run time of a job, after what it ran and what checkpoints preserved. At least half of the time
// already run, since long runs tend to continue, and at least 1 s.
Milliseconds expectedRemaining(const RunTimeEstimates&, const Job&, Timestamp now);

} // namespace rosemarylink::policy::internal
