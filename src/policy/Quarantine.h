#pragma once

#include "Job.h"

#include <unordered_map>
#include <vector>

namespace rosemarylink::policy::internal {

// Detects workers that fail every task. A worker is quarantined when several different jobs failed on it and no task
// completed there in between. After the quarantine time it is probed with one small job: success ends the quarantine,
// failure doubles the time up to a limit.
class Quarantine {
public:
    void workerAdded() { workers_.emplace_back(); }

    // Counts a failed task. Gives true if the worker becomes quarantined.
    bool taskFailed(int worker, const JobId&, Timestamp);

    // Removes the failures of the job from the count of the worker.
    void discardFailures(int worker, const JobId&);

    // Records that a gang with a task on the worker completed. Gives true if that ends its quarantine.
    bool taskCompleted(int worker, Timestamp);

    Timestamp lastCompleted(int worker) const { return state(worker).lastCompleted; }

    bool isQuarantined(int worker) const { return state(worker).quarantined; }

    // The quarantined workers whose quarantine time has passed and that are not being probed.
    std::vector<int> dueForProbe(Timestamp) const;
    void probeStarted(int worker) { state(worker).probing = true; }
    void probeEnded(int worker) { state(worker).probing = false; }
    bool isProbing(int worker) const { return state(worker).probing; }

private:
    struct State {
        std::vector<JobId> failedJobs; // distinct jobs that failed since the last completed task
        bool quarantined = false;
        bool probing = false;
        Timestamp until;
        Timestamp lastCompleted = Timestamp::min();
        Milliseconds duration { 0 };
    };
    State& state(int worker) { return workers_[static_cast<std::size_t>(worker)]; }
    const State& state(int worker) const { return workers_[static_cast<std::size_t>(worker)]; }
    void quarantine(State&, Timestamp);

    std::vector<State> workers_;
    std::vector<int> quarantined_;
};

} // namespace rosemarylink::policy::internal
