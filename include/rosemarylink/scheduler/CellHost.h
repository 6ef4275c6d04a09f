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
    std::string policy = "default";
    state::CellTimings timings;
    std::uint64_t seed = 0; // of the jitter
    Milliseconds stepInterval { 30 };
    Milliseconds discoveryInterval { 30000 }; // how often the worker list is searched for new failure domains
};

// The times of a cell with so many workers. Renewals are paced to at most 20 workers a second, which keeps an owner of
// 350 busy workers within 14 KB a second; leases grow with the pace, so that a worker may miss two renewals.
state::CellTimings scaledTimings(state::CellTimings, std::size_t workers);

// All cells for which one scheduler is a candidate or the owner: one for each failure domain of the platform's worker
// list. One thread drives them; all methods are safe to use from several threads.
class CellHost {
public:
    // The dependencies must outlive the host. The second store is for submissions and cancellations, with a call limit
    // of its own, so that a burst of them leaves the owner's writes alone.
    CellHost(CellHostOptions, state::KeyValueStore& store, state::KeyValueStore& submissionStore, state::WorkerAgent&,
        const Clock&, MetricsRegistry&);
    ~CellHost();
    CellHost(const CellHost&) = delete;
    CellHost& operator=(const CellHost&) = delete;

    void start();

    // Gives each cell its share of the guarantees. Lower versions are ignored.
    void setConfig(ConfigVersion, const model::Declarations&);

    // The live schedulers, this one included.
    void setCandidates(const std::vector<InstanceId>&);

    // The load of the cells that this instance owns, for the heartbeat.
    std::vector<messages::CellLoad> ownedCells() const;

    // Carries out a gateway's request about jobs or cells. Fails with Unavailable when the cell has another owner.
    Result<nlohmann::json> handle(const messages::JobForward&);

    // What this instance knows of the cells that it owns, for the operators' status.
    nlohmann::json status() const;

    // Gives all cells up. True when that is done within the limit.
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
    void shareCandidates();
    std::vector<state::CellController*> controllers() const;
    state::CellController* find(const CellId&) const;
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
    state::ThreadExecutor discoveryCalls_; // last, so that its calls end before the cells go
};

} // namespace rosemarylink::scheduler
