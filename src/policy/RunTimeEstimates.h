#pragma once

#include "Job.h"

#include <string>
#include <unordered_map>

namespace rosemarylink::policy::internal {

// Learns how long jobs of an account and kind run. It keeps two predictors, a correction of the declared time and a
// typical time that ignores the declaration, and uses the one that has been closer. Memory grows with the number of
// accounts and kinds only.
class RunTimeEstimates {
public:
    void observe(const model::JobSpec&, Milliseconds ran);

    // The expected run time of a whole run; the declared time while nothing is known.
    Milliseconds expected(const model::JobSpec&) const;

private:
    struct Predictor {
        double logMean = 0;
        double squaredError = 0; // moving mean
    };
    struct History {
        int count = 0;
        Predictor correction; // of log(ran / declared)
        Predictor typical; // of log(ran)
    };
    static void learn(Predictor&, double sample, double weight);

    std::unordered_map<std::string, History> histories_;
};

// What a running or checkpointed job is expected to need still. A job that overran its estimate is expected to need
// half as long again as it has run, since long runs tend to be longer still.
Milliseconds expectedRemaining(const RunTimeEstimates&, const Job&, Timestamp now);

} // namespace rosemarylink::policy::internal
