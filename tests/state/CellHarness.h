#pragma once

#include "FakeKeyValueStore.h"
#include "FakeWorkerAgent.h"
#include "FirstFitPolicy.h"

#include "rosemarylink/state/CellController.h"
#include "rosemarylink/state/RecordCodec.h"
#include "rosemarylink/state/ResilientStore.h"

#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rosemarylink::state::fakes {

inline model::JobSpec makeJob(const std::string& id, std::int64_t tasks, bool idempotent = true)
{
    model::JobSpec spec;
    spec.id = JobId(id);
    spec.account = AccountId("account");
    spec.kind = KindId("kind");
    spec.tasks = tasks;
    spec.perTask = { Cores(1), Megabytes(1), Accelerators(1) };
    spec.declaredRunTime = Milliseconds(60000);
    spec.idempotent = idempotent;
    return spec;
}

inline model::WorkerSpec makeWorker(std::int64_t index, std::int64_t accelerators = 8)
{
    model::WorkerSpec spec;
    spec.id = WorkerId("worker-" + std::to_string(10000 + index));
    spec.rack = RackId("rack-" + std::to_string(1000 + index / 8));
    spec.failureDomain = FailureDomainId("domain");
    spec.region = RegionId("region");
    spec.capacity = { Cores(64), Megabytes(256000), Accelerators(accelerators) };
    return spec;
}

// One simulated scheduler process for the cell, with its own clients of the fake store and workers.
struct Scheduler {
    std::shared_ptr<ProcessFaults> process;
    std::unique_ptr<FakeKeyValueStore> store;
    std::unique_ptr<FakeWorkerAgent> workers;
    std::unique_ptr<ResilientStore> resilient;
    std::unique_ptr<ResilientStore> submissions;
    std::unique_ptr<CellController> controller;
    FirstFitPolicy* policy = nullptr; // of the current ownership
    bool paused = false;

    CellRole role() const { return controller->snapshot().role; }
    bool isOwner() const { return !process->crashed && role() == CellRole::Owner; }
};

// A cell with its store, its workers and the schedulers that may own it, on one manual clock.
class CellHarness {
public:
    explicit CellHarness(std::int64_t workers = 4, std::uint64_t seed = 1, std::int64_t coresPerWorker = 64)
        : store(clock)
        , fleet(clock)
        , seed_(seed)
    {
        for (std::int64_t index = 0; index < workers; ++index) {
            model::WorkerSpec spec = makeWorker(index);
            spec.capacity.cores = Cores(coresPerWorker);
            fleet.addWorker(std::move(spec));
        }
        clock.advance(Milliseconds(1000000));
    }

    Scheduler& addScheduler()
    {
        const std::string name = "scheduler-" + std::to_string(schedulers.size());
        schedulers.push_back(std::make_unique<Scheduler>());
        Scheduler& added = *schedulers.back();
        added.process = std::make_shared<ProcessFaults>();
        added.store = store.connect(added.process);
        added.workers = fleet.connect(added.process);
        build(added, name);
        candidates_.emplace_back(name);
        for (const auto& scheduler : schedulers)
            scheduler->controller->setCandidates(candidates_, { cell });
        return added;
    }

    // Replaces the process by a new one of the same name and without its state.
    void restart(Scheduler& scheduler)
    {
        *scheduler.process = ProcessFaults {};
        scheduler.paused = false;
        const std::size_t index = indexOf(scheduler);
        build(scheduler, candidates_[index].value());
        scheduler.controller->setCandidates(candidates_, { cell });
    }

    void step()
    {
        for (const auto& scheduler : schedulers) {
            if (!scheduler->process->crashed && !scheduler->paused)
                scheduler->controller->step();
        }
        clock.advance(stepTime);
    }

    void run(Milliseconds duration)
    {
        const Milliseconds end = clock.monotonic() + duration;
        while (clock.monotonic() < end)
            step();
    }

    // Steps until the condition holds. Returns false if it does not within the limit.
    template <typename Condition> bool runUntil(Condition condition, Milliseconds limit = Milliseconds(60000))
    {
        const Milliseconds end = clock.monotonic() + limit;
        while (!condition()) {
            if (clock.monotonic() >= end)
                return false;
            step();
        }
        return true;
    }

    Scheduler* owner()
    {
        Scheduler* found = nullptr;
        for (const auto& scheduler : schedulers) {
            if (scheduler->isOwner())
                found = scheduler.get();
        }
        return found;
    }
    bool waitForOwner(Milliseconds limit = Milliseconds(60000))
    {
        return runUntil([&] { return owner() != nullptr; }, limit);
    }

    records::PlacementsRecord placements()
    {
        const std::string key = cellPlacementsKey(cell);
        const auto stored = store.read(key).value();
        if (!stored)
            return {};
        return decodeRecord<records::PlacementsRecord>(stored->bytes, key, [](const auto& json, const auto& path) {
            return records::parsePlacementsRecord(json, path);
        }).value();
    }

    std::optional<records::JobRecord> jobRecord(const std::string& id)
    {
        const std::string key = jobKey(cell, JobId(id));
        const auto stored = store.read(key).value();
        if (!stored)
            return std::nullopt;
        return decodeRecord<records::JobRecord>(stored->bytes, key, [](const auto& json, const auto& path) {
            return records::parseJobRecord(json, path);
        }).value();
    }

    // Tests submit in bursts that would exceed the default call limit, which ResilientStoreTest covers.
    static StoreLimits unlimitedCalls()
    {
        StoreLimits limits;
        limits.callsPerSecond = 1e6;
        limits.callBurst = 1e6;
        return limits;
    }

    bool runs(const std::string& id, std::int64_t tasks) { return fleet.runningTasks(JobId(id)) == tasks; }

    StoreLimits limits = unlimitedCalls();
    bool resilient = true; // puts a ResilientStore in front of each scheduler's store
    policy::PolicyConfig config;
    const CellId cell { "cell" };
    ManualClock clock;
    FakeKeyValueStore store; // the test's own client, without faults
    FakeWorkerAgent fleet;
    std::vector<std::unique_ptr<Scheduler>> schedulers;
    Milliseconds stepTime { 50 };
    MetricsRegistry metrics;

private:
    std::size_t indexOf(const Scheduler& scheduler) const
    {
        std::size_t index = 0;
        while (schedulers[index].get() != &scheduler)
            ++index;
        return index;
    }

    void build(Scheduler& scheduler, const std::string& name)
    {
        CellSettings settings;
        settings.self = InstanceId(name);
        settings.scope = { cell, RegionId("region"), std::nullopt };
        settings.seed = ++seed_;
        config.version = std::max(config.version, ConfigVersion(1));
        scheduler.resilient = std::make_unique<ResilientStore>(
            *scheduler.store, clock, metrics, "scheduler", limits, seed_, [](Milliseconds) {});
        scheduler.submissions = std::make_unique<ResilientStore>(
            *scheduler.store, clock, metrics, "submissions", limits, seed_ + 1000, [](Milliseconds) {});
        KeyValueStore& used = resilient ? static_cast<KeyValueStore&>(*scheduler.resilient) : *scheduler.store;
        CellDependencies dependencies { used, *scheduler.workers, clock, inline_, inline_, metrics,
            [&scheduler] {
                auto policy = std::make_unique<FirstFitPolicy>();
                scheduler.policy = policy.get();
                return policy;
            },
            resilient ? scheduler.submissions.get() : nullptr };
        scheduler.controller = std::make_unique<CellController>(std::move(settings), std::move(dependencies));
        if (!scheduler.controller->configure(config))
            std::abort();
    }

    InlineExecutor inline_;
    std::vector<InstanceId> candidates_;
    std::uint64_t seed_;
};

} // namespace rosemarylink::state::fakes
