#include "../src/jobs/Planner.h"

#include <benchmark/benchmark.h>

#include <memory>
#include <string>

namespace rosemarylink::jobs::internal {
namespace {

    // An overloaded pool of racks with eight workers: all are busy with small work, and gangs of all widths wait. A
    // tenth of the waiting steps is urgent and has to preempt other work.
    struct OverloadedPool {
        explicit OverloadedPool(int workerCount)
        {
            input.now = Milliseconds(100000);
            input.mayPreemptForOthers = true;
            input.urgentRackWait = Milliseconds(1800);
            for (int number = 0; number < workerCount; ++number)
                addWorker(number);
            constexpr int waitingSteps = 60;
            specs.resize(waitingSteps);
            for (int number = 0; number < waitingSteps; ++number)
                addStep(number);
        }

        void addWorker(int number)
        {
            PlanWorker worker;
            worker.id = WorkerId("worker-" + std::to_string(100000 + number));
            worker.rack = "rack-" + std::to_string(number / 8);
            worker.labels = &labels;
            worker.capacity = { 32000, 64000, 8 };
            worker.free = { 32000 - 6 * 2800, 64000 - 6 * 4100, number % 4 == 0 ? 2 : 1 };
            for (int run = 0; run < 6; ++run) {
                PreemptibleWork work;
                work.job = JobId("running-" + std::to_string(number % 200));
                work.tasks = { run };
                work.resources[worker.id] = { 2800, 4100, 1 };
                work.priority = 2;
                work.lostCoreSeconds = run * 10;
                input.running.push_back(work);
            }
            input.workers.push_back(worker);
        }

        void addStep(int number)
        {
            StepSpec& spec = specs[static_cast<std::size_t>(number)];
            spec.taskCount = 4 + number % 24;
            spec.perTask = { 13000, 34000, number % 3 == 0 ? 8 : 4 };
            spec.gang = true;
            spec.rackLocal = number % 5 < 3;
            spec.estimate = Milliseconds(6800);
            PlanStep step;
            step.job = JobId("waiting-" + std::to_string(number));
            step.spec = &spec;
            for (int task = 0; task < spec.taskCount; ++task)
                step.tasks.push_back(task);
            step.priority = number % 10 == 0 ? 0 : 1;
            step.readyAt = Milliseconds(99000);
            step.objectiveAt = Milliseconds(110000 + number);
            step.lateDeadline = Milliseconds(140000);
            input.steps.push_back(step);
        }

        std::set<std::string> labels { "a" };
        std::vector<StepSpec> specs;
        PlanInput input;
    };

    void planOverloadedPool(benchmark::State& state)
    {
        const auto pool = std::make_unique<OverloadedPool>(static_cast<int>(state.range(0)));
        for ([[maybe_unused]] const auto turn : state) {
            Plan plan = makePlan(pool->input);
            benchmark::DoNotOptimize(plan);
        }
    }

    BENCHMARK(planOverloadedPool)->Arg(48)->Arg(540)->Arg(3000)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace rosemarylink::jobs::internal
