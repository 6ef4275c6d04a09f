#include "PreemptionChoice.h"

#include <algorithm>
#include <map>
#include <queue>
#include <set>
#include <tuple>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // The resources of work are idle for this long while it is stopped and started again elsewhere.
    constexpr double restartSeconds = 0.6;

    // Work that is stopped soon after its start has waited and been restored for nothing, so it counts as losing at
    // least this much of its run time, less what it has run for.
    constexpr double settlingSeconds = 1.5;

    // Tells apart work that uses no resources on the candidates.
    constexpr double leastCost = 0.01;

    // Work that is not urgent preempts only what loses at most this much of its run time.
    constexpr Milliseconds maximumLossForOthers { 500 };

    // Work that was started more recently is not preempted for work that is not urgent. Otherwise resumable work that
    // fits in anywhere would be stopped and started again all the time.
    constexpr Milliseconds minimumRunForOthers { 1500 };

    double costOf(const PreemptibleWork& work)
    {
        const double settling = std::max(0.0, settlingSeconds - static_cast<double>(work.ranFor.count()) / 1000.0);
        return work.lostCoreSeconds + work.cores * (restartSeconds + settling) + leastCost;
    }

} // namespace

PreemptionChooser::PreemptionChooser(const PlanInput& input, PlannerFleet& fleet)
    : input_(input)
    , fleet_(fleet)
    , stopped_(input.running.size(), false)
{
}

std::size_t PreemptionChooser::indexOf(const FleetWorker& worker) const
{
    return static_cast<std::size_t>(&worker - fleet_.all().front());
}

void PreemptionChooser::buildIndex()
{
    if (indexed_)
        return;
    indexed_ = true;
    runningOn_.resize(fleet_.all().size());
    workersOf_.resize(input_.running.size());
    for (std::vector<Resources>& resources : preemptible_)
        resources.resize(fleet_.all().size());
    std::map<WorkerId, std::size_t> numbers;
    for (const FleetWorker* worker : fleet_.all())
        numbers.emplace(worker->row->id, indexOf(*worker));
    for (std::size_t index = 0; index < input_.running.size(); ++index) {
        for (const auto& [id, resources] : input_.running[index].resources) {
            const auto position = numbers.find(id);
            if (position == numbers.end())
                continue;
            runningOn_[position->second].push_back({ index, resources });
            workersOf_[index].push_back(position->second);
            for (const Reach reach : { Reach::Urgent, Reach::Others }) {
                if (isWithin(reach, input_.running[index]))
                    preemptible_[static_cast<int>(reach)][position->second] += resources;
            }
        }
    }
}

bool PreemptionChooser::isWithin(Reach reach, const PreemptibleWork& work)
{
    return reach == Reach::Urgent
        || (work.priority > 0 && work.lostTime <= maximumLossForOthers && work.ranFor >= minimumRunForOthers);
}

int PreemptionChooser::mostOn(const PlanStep& step, std::size_t worker) const
{
    const Reach reach = step.priority == 0 ? Reach::Urgent : Reach::Others;
    return capacityWith(step, worker, preemptible_[static_cast<int>(reach)][worker]);
}

// Work of a lower priority may always be preempted. A guaranteed step may also preempt work of its own priority, once
// it has waited for a part of the time in which it must start: work beyond its account's guarantee, and as a last
// resort smaller guaranteed units, which can be placed elsewhere.
bool PreemptionChooser::mayPreempt(const PlanStep& step, std::size_t index) const
{
    const PreemptibleWork& work = input_.running[index];
    if (stopped_[index])
        return false;
    if (work.priority > step.priority)
        return step.priority == 0 || isWithin(Reach::Others, work);
    const Milliseconds minimumWait = work.guaranteed ? input_.urgentRackWait * 3 / 4 : input_.urgentRackWait / 2;
    if (!step.guaranteed || input_.now - step.readyAt < minimumWait)
        return false;
    return !work.guaranteed || work.unitAccelerators < unitAccelerators(*step.spec);
}

int PreemptionChooser::capacityWith(const PlanStep& step, std::size_t worker, const Resources& freed) const
{
    FleetWorker trial = *fleet_.all()[worker];
    trial.free += freed;
    return fleet_.capacityOn(step, trial, /*includeReleasing=*/true);
}

std::vector<PreemptionChooser::VictimGroup> PreemptionChooser::victimsOn(
    const PlanStep& step, std::size_t worker, std::int64_t needed) const
{
    // Work of the step's own priority is preempted last.
    std::vector<std::tuple<bool, double, const Share*>> victims;
    for (const Share& share : runningOn_[worker]) {
        if (mayPreempt(step, share.work))
            victims.emplace_back(
                input_.running[share.work].priority <= step.priority, costOf(input_.running[share.work]), &share);
    }
    std::sort(victims.begin(), victims.end(), [](const auto& a, const auto& b) {
        return std::make_tuple(std::get<0>(a), std::get<1>(a), std::get<2>(a)->work)
            < std::make_tuple(std::get<0>(b), std::get<1>(b), std::get<2>(b)->work);
    });
    std::vector<VictimGroup> groups;
    VictimGroup next;
    Resources freed;
    int capacity = capacityWith(step, worker, freed);
    for (const auto& [equallyUrgent, cost, share] : victims) {
        freed += share->resources;
        next.cost += cost;
        next.work.push_back(share->work);
        const int now = capacityWith(step, worker, freed);
        if (now == capacity)
            continue;
        next.tasks = now - capacity;
        capacity = now;
        needed -= next.tasks;
        groups.push_back(std::exchange(next, {}));
        if (needed <= 0)
            break;
    }
    return groups;
}

std::optional<PreemptionChoice> PreemptionChooser::choose(const PlanStep& step, const FleetWorkers& candidates)
{
    buildIndex();
    auto needed = static_cast<std::int64_t>(step.tasks.size());
    std::int64_t most = 0;
    for (const FleetWorker* worker : candidates)
        most += mostOn(step, indexOf(*worker));
    if (most < needed)
        return std::nullopt;
    for (const FleetWorker* worker : candidates)
        needed -= fleet_.capacityOn(step, *worker, /*includeReleasing=*/true);
    if (needed <= 0)
        return PreemptionChoice {};
    std::vector<std::vector<VictimGroup>> groups;
    // Each worker's groups are taken in their order, across workers the cheapest next group first.
    using Next = std::tuple<double, std::size_t, std::size_t>; // cost, index into `groups`, group of that worker
    std::priority_queue<Next, std::vector<Next>, std::greater<>> queue;
    for (const FleetWorker* worker : candidates) {
        if (mostOn(step, indexOf(*worker)) <= fleet_.capacityOn(step, *worker, /*includeReleasing=*/true))
            continue;
        std::vector<VictimGroup> found = victimsOn(step, indexOf(*worker), needed);
        if (found.empty())
            continue;
        queue.emplace(found.front().cost, groups.size(), 0);
        groups.push_back(std::move(found));
    }
    std::set<std::size_t> chosen;
    while (needed > 0 && !queue.empty()) {
        const auto [cost, worker, number] = queue.top();
        queue.pop();
        const VictimGroup& group = groups[worker][number];
        chosen.insert(group.work.begin(), group.work.end());
        needed -= group.tasks;
        if (number + 1 < groups[worker].size())
            queue.emplace(groups[worker][number + 1].cost, worker, number + 1);
    }
    if (needed > 0)
        return std::nullopt;
    PreemptionChoice choice { 0, { chosen.begin(), chosen.end() } };
    dropNeedless(step, candidates, choice);
    for (std::size_t index : choice.work)
        choice.lostCoreSeconds += costOf(input_.running[index]);
    return choice;
}

void PreemptionChooser::dropNeedless(
    const PlanStep& step, const FleetWorkers& candidates, PreemptionChoice& choice) const
{
    std::map<std::size_t, Resources> freed; // by worker
    std::set<std::size_t> isCandidate;
    for (const FleetWorker* worker : candidates)
        isCandidate.insert(indexOf(*worker));
    const auto share = [this](std::size_t work, std::size_t worker) {
        return input_.running[work].resources.at(fleet_.all()[worker]->row->id);
    };
    for (std::size_t work : choice.work) {
        for (std::size_t worker : workersOf_[work]) {
            if (isCandidate.count(worker) > 0)
                freed[worker] += share(work, worker);
        }
    }
    std::int64_t available = 0;
    for (std::size_t worker : isCandidate)
        available += capacityWith(step, worker, freed.count(worker) > 0 ? freed.at(worker) : Resources {});
    std::vector<std::size_t> byCost = choice.work;
    std::sort(byCost.begin(), byCost.end(), [this](std::size_t a, std::size_t b) {
        return std::make_pair(costOf(input_.running[a]), a) > std::make_pair(costOf(input_.running[b]), b);
    });
    for (std::size_t work : byCost) {
        std::int64_t without = available;
        for (std::size_t worker : workersOf_[work]) {
            if (isCandidate.count(worker) == 0)
                continue;
            Resources reduced = freed.at(worker);
            without -= capacityWith(step, worker, reduced);
            reduced -= share(work, worker);
            without += capacityWith(step, worker, reduced);
        }
        if (without < static_cast<std::int64_t>(step.tasks.size()))
            continue;
        available = without;
        for (std::size_t worker : workersOf_[work]) {
            if (isCandidate.count(worker) > 0)
                freed.at(worker) -= share(work, worker);
        }
        choice.work.erase(std::find(choice.work.begin(), choice.work.end(), work));
    }
}

void PreemptionChooser::stop(const PreemptionChoice& choice)
{
    buildIndex();
    for (std::size_t work : choice.work) {
        stopped_[work] = true;
        for (std::size_t worker : workersOf_[work]) {
            FleetWorker& row = *fleet_.all()[worker];
            row.releasing += input_.running[work].resources.at(row.row->id);
        }
    }
}

} // namespace rosemarylink::jobs::internal
