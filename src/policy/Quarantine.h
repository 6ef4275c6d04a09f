#pragma once

#include "Job.h"

#include <unordered_map>
#include <vector>

namespace rosemarylink::policy::internal {

// Finds workers that fail every task. A worker is quarantined when different jobs failed on it and none completed
// since. After a time it is probed with one small job: success returns it, failure doubles the time.
class Quarantine {
public:
    void workerAdded() { workers_.emplace_back(); }

    // Counts a failed task. Gives true when the worker has to be quarantined now.
    bool taskFailed(int worker, const JobId&, Timestamp);

    // Leaves the job's failures on the worker out of the count.
    void forgive(int worker, const JobId&);

    // A gang with a task on the worker completed. Gives true when that returns it from quarantine.
    bool taskCompleted(int worker, Timestamp);

    Timestamp lastCompleted(int worker) const { return state(worker).lastCompleted; }

    bool isQuarantined(int worker) const { return state(worker).quarantined; }

    // The quarantined workers whose time has passed and that have no probe.
    std::vector<int> dueForProbe(Timestamp) const;
    void probeStarted(int worker) { state(worker).probing = true; }
    void probeEnded(int worker) { state(worker).probing = false; }
    bool isProbing(int worker) const { return state(worker).probing; }

private:
    struct State {
        std::vector<JobId> failedJobs; // different ones, since the last completed task
        bool quarantined = false;
        bool probing = false;
        Timestamp until;
        Timestamp lastCompleted = Timestamp::min();
        Milliseconds length { 0 };
    };
    State& state(int worker) { return workers_[static_cast<std::size_t>(worker)]; }
    const State& state(int worker) const { return workers_[static_cast<std::size_t>(worker)]; }
    void quarantine(State&, Timestamp);

    std::vector<State> workers_;
    std::vector<int> quarantined_;
};

} // namespace rosemarylink::policy::internal
