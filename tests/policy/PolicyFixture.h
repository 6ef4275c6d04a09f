#pragma once

#include "rosemarylink/policy/SchedulingPolicy.h"

#include <string>

namespace rosemarylink::policy::testing {

inline Timestamp at(std::int64_t seconds) { return timestampFromMilliseconds(seconds * 1000); }

inline model::Resources resources(std::int64_t cores, std::int64_t memory, std::int64_t accelerators)
{
    return { Cores(cores), Megabytes(memory), Accelerators(accelerators) };
}

// Makes worker "r<rack>-w<number>" with 32 cores, 64,000 MB of memory and 8 accelerators in region "amman".
inline model::WorkerSpec makeWorker(int rack, int number)
{
    model::WorkerSpec worker;
    worker.id = WorkerId("r" + std::to_string(rack) + "-w" + std::to_string(number));
    worker.rack = RackId("r" + std::to_string(rack));
    worker.failureDomain = FailureDomainId("amman-1");
    worker.region = RegionId("amman");
    worker.capacity = resources(32, 64000, 8);
    return worker;
}

// Makes an idempotent and checkpointable job of account "moves" with one accelerator for each task.
inline model::JobSpec makeJob(const std::string& id, std::int64_t tasks, model::Adjacency adjacency)
{
    model::JobSpec job;
    job.id = JobId(id);
    job.account = AccountId("moves");
    job.kind = KindId("sorting");
    job.tasks = tasks;
    job.perTask = resources(4, 8000, 1);
    job.adjacency = adjacency;
    job.declaredRunTime = Milliseconds(3600000);
    job.checkpointable = true;
    return job;
}

inline model::Account makeAccount(const std::string& id)
{
    model::Account account;
    account.id = AccountId(id);
    account.weight = 1;
    return account;
}

// Makes a configuration with the accounts "moves" and "quotes" and no guarantees.
inline PolicyConfig makeConfig(std::int64_t version)
{
    PolicyConfig config;
    config.version = ConfigVersion(version);
    config.declarations.accounts = { makeAccount("moves"), makeAccount("quotes") };
    return config;
}

inline std::unique_ptr<SchedulingPolicy> makeFleetPolicy(const std::string& name, int racks, int workersPerRack)
{
    auto made = makePolicy(name);
    std::unique_ptr<SchedulingPolicy> policy = std::move(made).value();
    for (int rack = 0; rack < racks; ++rack) {
        for (int number = 0; number < workersPerRack; ++number)
            policy->addWorker(makeWorker(rack, number), at(0)).value();
    }
    policy->configure(makeConfig(1), at(0)).value();
    return policy;
}

} // namespace rosemarylink::policy::testing
