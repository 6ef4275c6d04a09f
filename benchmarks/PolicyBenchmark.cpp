#include "rosemarylink/policy/Guarantees.h"
#include "rosemarylink/policy/SchedulingPolicy.h"

#include <benchmark/benchmark.h>

#include <memory>

namespace rosemarylink::policy {
namespace {

    Timestamp at(std::int64_t seconds) { return timestampFromMilliseconds(seconds * 1000); }

    std::vector<model::WorkerSpec> makeWorkers(std::int64_t count)
    {
        std::vector<model::WorkerSpec> workers;
        for (std::int64_t number = 0; number < count; ++number) {
            model::WorkerSpec worker;
            worker.id = WorkerId("w" + std::to_string(number));
            worker.rack = RackId("r" + std::to_string(100000 + number / 8));
            worker.failureDomain = FailureDomainId("d" + std::to_string(number * 4 / count));
            worker.region = RegionId(number * 2 < count ? "north" : "south");
            worker.capacity = { Cores(32), Megabytes(64000), Accelerators(number % 56 < 8 ? 8 : 0) };
            workers.push_back(std::move(worker));
        }
        return workers;
    }

    model::GuaranteedShape makeShape(std::int64_t gangs, std::int64_t tasks, model::Adjacency adjacency)
    {
        model::GuaranteedShape shape;
        shape.name = "shape-" + std::to_string(tasks);
        shape.account = AccountId("a");
        shape.region = RegionId("north");
        shape.gangs = gangs;
        shape.tasks = tasks;
        shape.perTask = { Cores(4), Megabytes(8000), Accelerators(1) };
        shape.adjacency = adjacency;
        return shape;
    }

    std::unique_ptr<SchedulingPolicy> makeCell(std::int64_t workers)
    {
        auto made = makePolicy("default");
        std::unique_ptr<SchedulingPolicy> policy = std::move(made).value();
        for (const model::WorkerSpec& worker : makeWorkers(workers))
            policy->addWorker(worker, at(0)).value();
        PolicyConfig config;
        config.version = ConfigVersion(1);
        model::Account account;
        account.id = AccountId("a");
        account.weight = 1;
        config.declarations.accounts = { account };
        config.declarations.guarantees
            = { makeShape(workers / 140, 32, model::Adjacency::Rack), makeShape(4, 4, model::Adjacency::Worker) };
        policy->configure(config, at(0)).value();
        return policy;
    }

    model::JobSpec makeJob(std::int64_t number, std::int64_t tasks, std::int64_t accelerators)
    {
        model::JobSpec job;
        job.id = JobId("job-" + std::to_string(number));
        job.account = AccountId("a");
        job.kind = KindId("k");
        job.tasks = tasks;
        job.perTask = { Cores(accelerators > 0 ? 4 : 2), Megabytes(4000), Accelerators(accelerators) };
        job.adjacency = accelerators > 0 ? model::Adjacency::Rack : model::Adjacency::Region;
        job.declaredRunTime = Milliseconds(3600000);
        job.checkpointable = true;
        return job;
    }

    // Submits and ends one job per iteration, with a decision after each, on a cell with two thirds of its cores in
    // use. The argument is the number of workers.
    void submitDecideEnd(benchmark::State& state)
    {
        const std::int64_t workers = state.range(0);
        auto policy = makeCell(workers);
        std::int64_t number = 0;
        for (; number < workers / 6; ++number)
            policy->submit(makeJob(number, 64, 0), at(0)).value();
        policy->decide(at(0));
        std::int64_t second = 1;
        for (auto _ : state) {
            policy->submit(makeJob(number, 8, 1), at(second)).value();
            benchmark::DoNotOptimize(policy->decide(at(second)));
            policy->gangEnded(JobId("job-" + std::to_string(number)), GangOutcome::Completed, at(second));
            benchmark::DoNotOptimize(policy->decide(at(second)));
            ++number;
            ++second;
        }
    }
    BENCHMARK(submitDecideEnd)->Arg(140)->Arg(1400)->Unit(benchmark::kMicrosecond);

    // Makes one decision per iteration after a new job joins a queue in which no job fits. The argument is about the
    // number of waiting jobs.
    void decideWithLongQueue(benchmark::State& state)
    {
        auto policy = makeCell(1400);
        for (std::int64_t number = 0; number < 1400 / 4 + state.range(0); ++number)
            policy->submit(makeJob(number, 64, 0), at(0)).value();
        policy->decide(at(0));
        std::int64_t second = 1;
        for (auto _ : state) {
            policy->submit(makeJob(1000000 + second, 64, 0), at(second)).value();
            benchmark::DoNotOptimize(policy->decide(at(second)));
            policy->cancel(JobId("job-" + std::to_string(1000000 + second)), at(second));
            ++second;
        }
    }
    BENCHMARK(decideWithLongQueue)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

    void feasibilityOfAllGuarantees(benchmark::State& state)
    {
        const auto workers = makeWorkers(1400);
        const std::vector<model::GuaranteedShape> shapes { makeShape(8, 32, model::Adjacency::Rack),
            makeShape(3, 64, model::Adjacency::Rack), makeShape(40, 4, model::Adjacency::Worker) };
        for (auto _ : state)
            benchmark::DoNotOptimize(checkGuarantees(shapes, workers));
    }
    BENCHMARK(feasibilityOfAllGuarantees)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace rosemarylink::policy
