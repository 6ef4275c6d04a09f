#pragma once

#include "SimFleet.h"
#include "SimStore.h"
#include "SimWorld.h"
#include "rosemarylink/jobs/Admission.h"
#include "rosemarylink/jobs/ConfigView.h"
#include "rosemarylink/jobs/JobProgress.h"
#include "rosemarylink/jobs/Ownership.h"
#include "rosemarylink/jobs/PoolOwner.h"

#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

// Reads the configuration and the workers' entries as SimCluster and SimFleet write them.
class SimCatalog final : public Catalog {
public:
    std::string configurationKey() const override { return "config"; }
    Result<Configuration> parseConfiguration(const Record&) const override;
    std::string workerPrefix() const override { return "workers/"; }
    Result<WorkerEntry> parseWorker(const Record&) const override;
};

// Timers of one instance; none fires once it is dead.
class SimTimers final : public Timers {
public:
    explicit SimTimers(SimWorld& world)
        : world_(world)
    {
    }

    bool dead = false;

    Id after(Milliseconds delay, std::function<void()> task) override
    {
        return world_.after(delay, [this, task] {
            if (!dead)
                task();
        });
    }
    void cancel(Id id) override { world_.cancel(id); }

private:
    SimWorld& world_;
};

// One process: admission and, by ownership, the scheduling of the pools.
struct SimInstance {
    SimInstance(SimWorld&, SimStore&, SimFleet&, const std::string& name, const InstanceCapacity&);

    void kill();
    void leave(); // as on SIGTERM

    SimCatalog catalog;
    SimTimers timers;
    SimStoreClient store;
    SimWorkerClient workers;
    MetricsRegistry registry;
    JobMetrics metrics;
    ConfigView config;
    Ownership ownership;
    PoolOwner owner;
    Admission admission;
};

// A store, a fleet and some instances.
class SimCluster {
public:
    explicit SimCluster(int instances = 2, const SimFleet::Options& = {});

    // Writes the next version: queues /urgent/, /batch/ and /sweep/ of priorities 0 to 2 for account "acme".
    Revision putConfiguration(const std::string& key = "key", const std::string& onlyQueue = "");

    void addWorkers(int racks, int perRack);
    SimInstance& addInstance(const InstanceCapacity& = {});

    // Submits at an instance and runs until the answer; learns the job for the fleet.
    AdmissionAnswer submit(const std::string& queue, const std::string& id, const JobSpec&, std::size_t instance = 0,
        Milliseconds deadline = Milliseconds(3000));
    AdmissionAnswer cancel(const std::string& queue, const std::string& id, std::size_t instance = 0);
    AdmissionAnswer query(const std::string& queue, const std::string& id, std::size_t instance = 0);

    // The state in the store, or nothing when the job has no record.
    std::optional<JobState> stored(const std::string& id) const;
    SimInstance* currentOwner();

    SimWorld world;
    SimStore store;
    SimFleet fleet;
    std::vector<std::unique_ptr<SimInstance>> instances;

private:
    std::int64_t version_ = 0;
    int added_ = 0;
};

// A job of one step.
JobSpec oneStep(int tasks, std::int64_t accelerators, Milliseconds estimate, bool gang);

} // namespace rosemarylink::jobs
