#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/generated/Api.h"
#include "rosemarylink/generated/Messages.h"
#include "rosemarylink/state/CellController.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rosemarylink::scheduler {

struct CellHostOptions {
    InstanceId self;
    std::string policy = "default"; // a name that policy::makePolicy() accepts: "default", "fifo" or "backfill"
    state::CellTimings timings;
    std::uint64_t seed = 0; // of the random jitter
    Milliseconds stepInterval { 30 };
    Milliseconds discoveryInterval { 30000 }; // between searches of the worker list for new failure domains
};

// Adapts the timings of a cell to its number of workers. The interval at which each worker's lease is renewed is raised
// so that there are at most 20 renewals per second in the cell, which keeps the traffic of an owner with 350 busy
// workers below 14 KB per second. The lease is lengthened by three times as much as the interval, so that a worker may
// miss two renewals.
state::CellTimings scaledTimings(state::CellTimings, std::size_t workers);

// Runs the cells of which this scheduler is the owner or a candidate: one for each failure domain in the platform's
// worker list. One thread steps their controllers; all methods except start() may be called from any thread.
class CellHost {
public:
    // The dependencies must outlive the host. `submissionStore` serves submissions and cancellations with its own call
    // limit, so that a burst of them does not exhaust the limit of the owner's writes.
    CellHost(CellHostOptions, state::KeyValueStore& store, state::KeyValueStore& submissionStore, state::WorkerAgent&,
        const Clock&, MetricsRegistry&);
    ~CellHost();
    CellHost(const CellHost&) = delete;
    CellHost& operator=(const CellHost&) = delete;

    // Starts the thread. Call it once.
    void start();

    // Configures all cells, including those discovered later. policy::assignGuarantees() splits the guaranteed gangs
    // over the failure domains, and each cell gets those of its own. Versions that are not higher than the current one
    // are ignored.
    void setConfig(ConfigVersion, const model::Declarations&);

    // Sets the candidates for the ownership of each cell, including cells discovered later: the live schedulers,
    // including this one, in any order. This instance claims no cell while it is not among them.
    void setCandidates(const std::vector<InstanceId>&);

    // The load of the cells that this instance owns, as sent in heartbeats.
    std::vector<messages::CellLoad> ownedCells() const;

    // Handles a job request forwarded by a gateway. The request of a submission is an object with the keys "cell",
    // "spec" (the job specification) and "key" (the idempotency key). The other requests are objects with the job's id
    // under "job", except that the request of a list is not read. Returns an api::JobExplanation to an explain request,
    // an object with an array of api::JobView under "jobs" to a list request, and otherwise an api::JobView, all as
    // JSON. Submissions and cancellations block for a few store calls.
    //
    // Fails with InvalidArgument if the request is malformed, with Unavailable if the cell of a submission is unknown
    // here or has another owner, with NotFound if no owned cell has the job, and with the errors of
    // state::CellController::submit() and cancel().
    Result<nlohmann::json> handle(const messages::JobForward&);

    // The status of the cells that this instance owns, for the operator API.
    nlohmann::json status() const;

    // Gives up all cells; blocks until that is done or the limit has passed. Returns true if it is done.
    bool leave(Milliseconds limit);

private:
    struct Cell {
        FailureDomainId failureDomain;
        std::unique_ptr<state::CellController> controller;
    };

    void run();
    void discoverCells();
    void addCell(const model::WorkerSpec&);
    void configureCells();
    void updateCandidates();
    std::vector<state::CellController*> controllers() const;
    state::CellController* findCell(const CellId&) const;
    state::CellController* findByJob(const JobId&) const;
    Result<nlohmann::json> submit(const nlohmann::json&);
    Result<nlohmann::json> listJobs() const;

    CellHostOptions options_;
    state::KeyValueStore& store_;
    state::KeyValueStore& submissionStore_;
    state::WorkerAgent& workers_;
    const Clock& clock_;
    MetricsRegistry& metrics_;
    state::ThreadExecutor storeCalls_;
    state::ThreadExecutor workerCalls_;

    mutable std::mutex mutex_;
    std::map<CellId, Cell> cells_;
    std::vector<model::WorkerSpec> fleet_;
    std::vector<InstanceId> candidates_;
    ConfigVersion configVersion_;
    model::Declarations declarations_;
    Milliseconds lastDiscovery_ { 0 };
    bool discovered_ = false;

    std::atomic<bool> stopping_ { false };
    std::thread thread_;
    state::ThreadExecutor discoveryCalls_; // last member, so that its calls end before the cells are destroyed
};

} // namespace rosemarylink::scheduler
