#pragma once

#include "CellContext.h"

#include <map>
#include <set>

namespace rosemarylink::state::internal {

struct FleetWorker {
    std::optional<model::WorkerSpec> spec; // empty if the worker is only known from a gang record
    model::ResourceState stateOverride = model::ResourceState::Ready; // applies while the list says ready
    bool callInProgress = false;
    bool reported = false; // has reported since the takeover
    bool lost = false; // considered lost; see recordFailure()
    bool busy = false; // holds at least one gang
    std::int64_t failures = 0; // consecutive failed calls
    Milliseconds due { 0 }; // time of the next renewal
    Milliseconds lastContact { 0 };

    model::ResourceState state() const;
};

// Tracks the cell's workers: reads the platform's list, renews the leases of tasks, passes on the reports that renewals
// return, and detects lost workers.
class WorkerFleet {
public:
    struct Handlers {
        std::function<std::vector<JobId>(const WorkerId&)> jobsToRenew;
        // A worker's report, with the time at which the renewal that returned it was sent.
        std::function<void(const WorkerReport&, Milliseconds sent)> reported;
        std::function<void(const WorkerId&, const std::vector<JobId>&)> renewalEnded; // may have taken effect
        std::function<void(const model::WorkerSpec&)> workerAdded;
        std::function<void(const WorkerId&, model::ResourceState)> stateChanged;
        std::function<void(const WorkerId&)> lost; // called once its tasks' leases have expired, or if it holds no gang
        std::function<void(const std::string& reason)> fenced;
    };

    WorkerFleet(CellContext&, Handlers);

    void clear();
    void step();

    // Schedules the worker's next renewal within the given time. Adds the worker if it is unknown.
    void renewWithin(const WorkerId&, Milliseconds);
    void setBusy(const WorkerId&, bool);
    // Sets the state that applies while the platform lists the worker as ready. Ignored for an unknown worker.
    void overrideState(const WorkerId&, model::ResourceState);

    bool hasWorkerList() const { return hasWorkerList_; }
    bool allReported() const { return unreported_ == 0; }
    const std::map<WorkerId, FleetWorker>& workers() const { return workers_; }

private:
    bool inScope(const model::WorkerSpec&) const;
    void schedule(const WorkerId&, FleetWorker&, Milliseconds due);
    FleetWorker& entry(const WorkerId&);
    void list();
    void applyList(const Result<std::vector<model::WorkerSpec>>&);
    void renew(const WorkerId&, FleetWorker&);
    void applyRenewal(const WorkerId&, const Result<WorkerReport>&, const std::vector<JobId>&, Milliseconds sent);
    void recordFailure(const WorkerId&, FleetWorker&);
    void recordContact(const WorkerId&, FleetWorker&);

    CellContext& context_;
    Handlers handlers_;
    std::map<WorkerId, FleetWorker> workers_;
    std::set<std::pair<Milliseconds, WorkerId>> due_;
    std::int64_t unreported_ = 0;
    bool hasWorkerList_ = false;
    bool listInProgress_ = false;
    Milliseconds nextList_ { 0 };
};

} // namespace rosemarylink::state::internal
