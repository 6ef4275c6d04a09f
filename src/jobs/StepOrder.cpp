#include "StepOrder.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // A step that has waited this long is treated as if it could still meet its objective.
    constexpr Milliseconds longestWait { 45000 };

    // Ranks work without remaining value behind every priority.
    constexpr int behindAllPriorities = 1000;

    // Steps with smaller ranks come first: class (guaranteed work, then by priority), tier, time.
    using Rank = std::tuple<int, int, Milliseconds>;

    Rank rankOf(const PlanStep& step, Milliseconds now)
    {
        // Guaranteed work must start within a fixed time, so it is ordered by arrival even if it will end late.
        if (step.guaranteed)
            return { -1, 0, step.arrivedAt };
        // A long-running step does not complete, so its job has no objective. It precedes all work that arrived later:
        // a task that must be restarted must not wait behind that work.
        if (step.spec->longRunning || now - step.readyAt >= longestWait)
            return { step.priority, 0, step.arrivedAt };
        const Milliseconds endsAt = now + step.remaining;
        if (endsAt <= step.objectiveAt)
            return { step.priority, 0, step.objectiveAt };
        if (endsAt <= step.lateDeadline)
            return { step.priority, 1, step.objectiveAt };
        return { step.priority == 0 ? 0 : step.priority + behindAllPriorities, 2, step.arrivedAt };
    }

} // namespace

std::vector<const PlanStep*> orderSteps(const PlanInput& input)
{
    std::vector<std::pair<Rank, const PlanStep*>> ranked;
    ranked.reserve(input.steps.size());
    for (const PlanStep& step : input.steps)
        ranked.emplace_back(rankOf(step, input.now), &step);
    std::stable_sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<const PlanStep*> order;
    order.reserve(ranked.size());
    for (const auto& [rank, step] : ranked)
        order.push_back(step);
    return order;
}

} // namespace rosemarylink::jobs::internal
