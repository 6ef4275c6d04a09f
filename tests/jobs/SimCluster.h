#pragma once

#include "SimFaults.h"
#include "SimFleet.h"
#include "SimStore.h"
#include "SimWorld.h"
#include "rosemarylink/jobs/Admission.h"
#include "rosemarylink/jobs/ConfigView.h"
#include "rosemarylink/jobs/HedgedStore.h"
#include "rosemarylink/jobs/JobProgress.h"
#include "rosemarylink/jobs/Ownership.h"
#include "rosemarylink/jobs/PoolOwner.h"

#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

// Parses the configuration and the workers' registrations that SimCluster and SimFleet write.
class SimCatalog final : public Catalog {
public:
    std::string configurationKey() const override { return "config"; }
    Result<Configuration> parseConfiguration(const Record&) const override;
    std::string workerPrefix() const override { return "workers/"; }
    Result<WorkerEntry> parseWorker(const Record&) const override;
    std::string evacuationPrefix() const override { return "evacuate/"; }
    // Fails for a key that consists of the prefix only.
    Result<FailureDomainId> parseEvacuation(const Record&) const override;

    bool guardsCapacity = true; // the configuration says that workers refuse starts that exceed their capacity
    std::string throwsFor; // key of the registration whose parsing throws an exception
};

// Timers of one instance. None fires after `killed` has been set, or before `pausedUntil`.
class SimTimers final : public Timers {
public:
    explicit SimTimers(SimWorld& world)
        : world_(world)
    {
    }

    bool killed = false;
    Milliseconds pausedUntil { 0 };

    Id after(Milliseconds delay, std::function<void()> task) override
    {
        return world_.after(delay, [this, task] {
            if (world_.now() < pausedUntil)
                after(pausedUntil - world_.now(), task);
            else if (!killed)
                task();
        });
    }
    void cancel(Id id) override { world_.cancel(id); }
    Milliseconds now() const { return world_.now(); }

private:
    SimWorld& world_;
};

// One simulated rosemarylink process.
struct SimInstance {
    SimInstance(SimWorld&, SimStore&, SimFleet&, const std::string& name, const InstanceCapacity&);

    void kill(); // without any cleanup, as by SIGKILL
    void pause(Milliseconds duration); // as by SIGSTOP and SIGCONT; what arrives meanwhile is handled afterwards
    void shutDown(); // flushes progress and releases ownership, as on SIGTERM

    SimCatalog catalog;
    SimTimers timers;
    SimStoreClient store;
    SimWorkerClient workers;
    MetricsRegistry registry;
    HedgedStore hedgedStore; // on top of `store`
    SimFaultyStore faultyStore; // on top of `hedgedStore`
    SimFaultyWorkers faultyWorkers; // on top of `workers`
    JobMetrics metrics;
    ConfigView config;
    Ownership ownership;
    PoolOwner owner;
    Admission admission;
};

// A simulated store, workers and instances.
class SimCluster {
public:
    explicit SimCluster(int instances = 2, const SimFleet::Options& = {});

    // Writes the next configuration version, with the queues /urgent/, /batch/ and /sweep/ of priorities 0, 1 and 2 and
    // the queue /open/ of priority 3, which needs no key, or only the named one, and the client accounts "acme" with
    // the key and a guarantee of 16 accelerators and "beta" with the key "key-of-beta" and 8.
    Revision putConfiguration(const std::string& key = "key", const std::string& onlyQueue = "");

    // Size of the part of each configuration written from now on that has no effect, such as routes of other systems.
    std::size_t configurationPadding = 0;

    void addWorkers(int racks, int perRack);

    // Enables evacuations with a timeout of 5 s on all instances, also on those that are added later.
    void enableEvacuations();

    // Requests or revokes the evacuation of the workers of a rack, each of which is a failure domain. Starts there
    // count as violations from `bound` after a request.
    void evacuate(const std::string& rack, Milliseconds bound = Milliseconds(5000));
    void revokeEvacuation(const std::string& rack);

    SimInstance& addInstance(const InstanceCapacity& = {});

    // Each of these sends a request to an instance and runs the simulation until the response. submit() also registers
    // the job with the fleet.
    AdmissionResponse submit(const std::string& queue, const std::string& id, const JobSpec&, std::size_t instance = 0,
        Milliseconds deadline = Milliseconds(3000), const std::string& key = "key");
    AdmissionResponse cancel(
        const std::string& queue, const std::string& id, std::size_t instance = 0, const std::string& key = "key");
    AdmissionResponse query(
        const std::string& queue, const std::string& id, std::size_t instance = 0, const std::string& key = "key");

    // Returns the job's state in the store; nullopt if it has no progress record.
    std::optional<JobState> storedState(const std::string& id) const;

    // Null if there is none.
    SimInstance* currentOwner();

    SimWorld world;
    SimStore store;
    SimFleet fleet;
    std::vector<std::unique_ptr<SimInstance>> instances;

private:
    std::int64_t version_ = 0;
    int added_ = 0;
    bool evacuations_ = false;
};

// Makes a job of one step.
JobSpec oneStep(int tasks, std::int64_t accelerators, Milliseconds estimate, bool gang);

} // namespace rosemarylink::jobs
