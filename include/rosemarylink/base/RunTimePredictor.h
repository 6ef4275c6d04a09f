#pragma once

#include "rosemarylink/base/Units.h"

#include <string>
#include <unordered_map>

namespace rosemarylink {

// Predicts run times of work of one kind from those observed, because declared run times may be far off. Two predictors
// are kept for each kind, a correction factor for the declared time and a typical time that ignores the declaration;
// the one with the smaller squared error is used. Memory grows only with the number of kinds.
class RunTimePredictor {
public:
    void observe(const std::string& kind, Milliseconds declared, Milliseconds ran);

    // The declared time if no run of the kind was observed.
    Milliseconds predict(const std::string& kind, Milliseconds declared) const;

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

} // namespace rosemarylink
