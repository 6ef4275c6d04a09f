#pragma once

#include "rosemarylink/jobs/Job.h"

#include <map>

// Load pattern: callers declare run times that are far off. Reservations and objectives need to know when running work
// will end.
namespace rosemarylink::jobs::internal {

// Predicts the run times of a queue's tasks from those observed: either from the queue's typical run time or from the
// declared estimate and its typical error, whichever has predicted better.
class RunTimeModel {
public:
    void observe(const QueueId&, Milliseconds declared, Milliseconds observed);

    // Returns the declared time until enough run times of the queue have been observed.
    Milliseconds predict(const QueueId&, Milliseconds declared) const;

private:
    // Mean and variance of a quantity in which newer observations count more.
    struct Average {
        double mean = 0;
        double variance = 0;

        void add(double value, double weight);
    };
    struct QueueHistory {
        int count = 0;
        Average logObserved; // of the logarithm of the run time in milliseconds
        Average logError; // of the logarithm of the run time over the declared time
    };

    std::map<QueueId, QueueHistory> queues_;
};

} // namespace rosemarylink::jobs::internal
