#pragma once

#include "Planner.h"

#include <set>
#include <string>

// Inputs for tests of plans.
namespace rosemarylink::jobs::internal {

inline const std::set<std::string> labels { "a" };

// Makes racks of two workers with 8 accelerators each.
inline PlanInput makeRacks(int count, std::int64_t freeOnEach)
{
    PlanInput input;
    input.urgentRackWait = Milliseconds(1800);
    for (int rack = 0; rack < count; ++rack) {
        for (int number = 0; number < 2; ++number) {
            PlanWorker worker;
            worker.id = WorkerId("w" + std::to_string(rack) + "-" + std::to_string(number));
            worker.rack = "r" + std::to_string(rack);
            worker.labels = &labels;
            worker.capacity = { 32000, 64000, 8 };
            worker.free = { 32000, 64000, freeOnEach };
            input.workers.push_back(worker);
        }
    }
    return input;
}

inline PlanStep stepOf(const StepSpec& spec, int priority)
{
    PlanStep step;
    step.job = JobId("j");
    step.spec = &spec;
    step.expectedRunTime = spec.estimate;
    step.priority = priority;
    for (int index = 0; index < spec.taskCount; ++index)
        step.tasks.push_back(index);
    return step;
}

inline StepSpec rackLocalGang(int tasks, std::int64_t accelerators)
{
    StepSpec spec;
    spec.taskCount = tasks;
    spec.perTask = { 1000, 1000, accelerators };
    spec.gang = true;
    spec.rackLocal = true;
    spec.estimate = Milliseconds(2500);
    return spec;
}

inline PreemptibleWork runningWork(const std::string& worker, int priority, bool guaranteed)
{
    PreemptibleWork row;
    row.job = JobId("other");
    row.tasks = { 0 };
    row.resources[WorkerId(worker)] = { 1000, 1000, 8 };
    row.priority = priority;
    row.guaranteed = guaranteed;
    row.unitAccelerators = 8;
    return row;
}

} // namespace rosemarylink::jobs::internal
