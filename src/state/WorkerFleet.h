#pragma once

#include "CellContext.h"

#include <map>
#include <set>

namespace rosemarylink::state::internal {

struct FleetWorker {
    std::optional<model::WorkerSpec> spec; // none when only a record names it
    model::ResourceState announced = model::ResourceState::Ready; // ahead of the list
    bool callInProgress = false;
    bool reported = false; // since the takeover
    bool lost = false; // no contact for too long
    bool busy = false; // holds a gang
    std::int64_t failures = 0; // in a row
    Milliseconds due { 0 };
    Milliseconds lastContact { 0 };

    model::ResourceState state() const;
};

// Keeps contact with the cell's workers: the platform's list, the renewals of the tasks' leases and the reports that
// they bring, and the contact's loss.
class WorkerFleet {
public:
    struct Handlers {
        std::function<std::vector<JobId>(const WorkerId&)> jobsToRenew;
        // A report that answers a renewal sent at a time for some jobs.
        std::function<void(const WorkerReport&, Milliseconds sent)> reported;
        std::function<void(const WorkerId&, const std::vector<JobId>&)> renewalEnded; // the lease may have been renewed
        std::function<void(const model::WorkerSpec&)> listed; // a new worker
        std::function<void(const WorkerId&, model::ResourceState)> stateChanged;
        std::function<void(const WorkerId&)> lost; // its tasks' leases have run out
        std::function<void(const std::string& reason)> fenced;
    };

    WorkerFleet(CellContext&, Handlers);

    void clear();
    void step();

    // Notes that a worker holds a gang, and renews its leases within a time.
    void expectWithin(const WorkerId&, Milliseconds);
    void setBusy(const WorkerId&, bool);
    void announce(const WorkerId&, model::ResourceState);

    bool listKnown() const { return listKnown_; }
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
    void noteFailure(const WorkerId&, FleetWorker&);
    void noteContact(const WorkerId&, FleetWorker&);

    CellContext& context_;
    Handlers handlers_;
    std::map<WorkerId, FleetWorker> workers_;
    std::set<std::pair<Milliseconds, WorkerId>> due_;
    std::int64_t unreported_ = 0;
    bool listKnown_ = false;
    bool listInProgress_ = false;
    Milliseconds nextList_ { 0 };
};

} // namespace rosemarylink::state::internal
