#include "StepOrder.h"

#include "DeadlineSelection.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // A step that has waited this long is treated as if it could still meet its objective.
    constexpr Milliseconds longestWait { 45000 };

    // A step is deferred for smaller ones no longer than this, so that large jobs are not late by more than they have
    // to be.
    constexpr Milliseconds longestDeferral { 10000 };

    // Ranks work without remaining value behind every priority.
    constexpr int behindAllPriorities = 1000;

    // What a step can still reach, from the best to the worst.
    enum class Tier { InTime, Late, Worthless };

    // Steps with smaller ranks come first: class (guaranteed work, then by priority), tier, time.
    using Rank = std::tuple<int, Tier, Milliseconds>;

    Rank rankOf(const PlanStep& step, Milliseconds now)
    {
        // Guaranteed work must start within a fixed time, so it is ordered by arrival even if it will end late.
        if (step.guaranteed)
            return { -1, Tier::InTime, step.arrivedAt };
        // A long-running step does not complete, so its job has no objective. It precedes all work that arrived later:
        // a task that must be restarted must not wait behind that work.
        if (step.spec->longRunning || now - step.readyAt >= longestWait)
            return { step.priority, Tier::InTime, step.arrivedAt };
        const Milliseconds endsAt = now + step.remaining;
        if (endsAt <= step.objectiveAt)
            return { step.priority, Tier::InTime, step.objectiveAt };
        if (endsAt <= step.lateDeadline)
            return { step.priority, Tier::Late, step.objectiveAt };
        return { step.priority == 0 ? 0 : step.priority + behindAllPriorities, Tier::Worthless, step.arrivedAt };
    }

    double coresOf(const PlanStep& step)
    {
        return weightedCores(step.spec->perTask) * static_cast<double>(step.tasks.size());
    }

    // What work that is not urgent may use, and what urgent work may use, which preempts all other work.
    struct Forecasts {
        CapacityForecast urgent;
        CapacityForecast others;
    };

    Forecasts forecastsOf(const PlanInput& input)
    {
        Forecasts forecasts;
        forecasts.urgent.now = forecasts.others.now = input.now;
        forecasts.urgent.releasedPerSecond = forecasts.others.releasedPerSecond = input.releasedCoresPerSecond;
        for (const PlanWorker& worker : input.workers) {
            if (!worker.schedulable)
                continue;
            Resources available = worker.free;
            available += worker.releasing;
            forecasts.others.free += weightedCores(available);
            const auto accelerators = static_cast<double>(std::max<std::int64_t>(1, worker.capacity.accelerators));
            const double urgentShare = std::min(1.0, static_cast<double>(worker.urgentAccelerators) / accelerators);
            forecasts.urgent.free += weightedCores(worker.capacity) * (1 - urgentShare);
        }
        return forecasts;
    }

    using RankedStep = std::pair<Rank, const PlanStep*>;

    // Lowers the tier of the steps between `first` and `last`, which share class and tier, that are deferred.
    void deferLargest(std::vector<RankedStep>& ranked, std::size_t first, std::size_t last, CapacityForecast& forecast)
    {
        const Tier tier = std::get<Tier>(ranked[first].first);
        std::vector<DeadlineDemand> demands;
        std::vector<std::size_t> order;
        for (std::size_t index = first; index < last; ++index)
            order.push_back(index);
        const auto latestStart = [&](std::size_t index) {
            const PlanStep& step = *ranked[index].second;
            return (tier == Tier::InTime ? step.objectiveAt : step.lateDeadline) - step.remaining;
        };
        std::stable_sort(
            order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return latestStart(a) < latestStart(b); });
        for (std::size_t index : order) {
            const PlanStep& step = *ranked[index].second;
            // A step for which capacity is being freed would lose it to the next one and preempt again.
            const bool deferrable = !step.guaranteed && !step.spec->longRunning && step.activeTasks.empty()
                && step.reservedWorkers.empty() && forecast.now - step.readyAt < longestDeferral;
            demands.push_back({ coresOf(step), latestStart(index), deferrable });
        }
        const std::vector<bool> deferred = selectDeferred(demands, forecast);
        for (std::size_t number = 0; number < order.size(); ++number) {
            if (deferred[number])
                std::get<Tier>(ranked[order[number]].first) = tier == Tier::InTime ? Tier::Late : Tier::Worthless;
        }
    }

} // namespace

std::vector<const PlanStep*> orderSteps(const PlanInput& input)
{
    std::vector<RankedStep> ranked;
    ranked.reserve(input.steps.size());
    for (const PlanStep& step : input.steps)
        ranked.emplace_back(rankOf(step, input.now), &step);
    const auto byRank = [](const auto& a, const auto& b) { return a.first < b.first; };
    std::stable_sort(ranked.begin(), ranked.end(), byRank);
    if (input.deferLargest) {
        Forecasts forecasts = forecastsOf(input);
        for (std::size_t first = 0, last = 0; first < ranked.size(); first = last) {
            const auto group = [&ranked](std::size_t index) {
                return std::make_pair(std::get<int>(ranked[index].first), std::get<Tier>(ranked[index].first));
            };
            while (last < ranked.size() && group(last) == group(first))
                ++last;
            if (std::get<Tier>(ranked[first].first) != Tier::Worthless)
                deferLargest(
                    ranked, first, last, std::get<int>(ranked[first].first) <= 0 ? forecasts.urgent : forecasts.others);
        }
        std::stable_sort(ranked.begin(), ranked.end(), byRank);
    }
    std::vector<const PlanStep*> order;
    order.reserve(ranked.size());
    for (const auto& [rank, step] : ranked)
        order.push_back(step);
    return order;
}

} // namespace rosemarylink::jobs::internal
