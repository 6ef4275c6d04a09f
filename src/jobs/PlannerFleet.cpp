#include "PlannerFleet.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // Run times are predicted with an error. Work that is to end before a hold begins is expected to take this much
    // longer than predicted.
    constexpr double runTimeMargin = 1.25;

    // Suspect workers are few as long as they are at most this fraction (1/N) of the pool.
    constexpr std::size_t suspectDivisor = 4;

    // A step that has waited this long uses slow workers as well, since there may be no others that it can use.
    constexpr Milliseconds longestWaitForSoundWorkers { 15000 };

    // Time that a task loses if it is placed on a worker that is still slow, until that shows and it is moved.
    constexpr Milliseconds probeLoss { 5000 };

    // Guaranteed work keeps away from suspect and slow workers for this fraction (1/N) of the time in which it must
    // start.
    constexpr int guaranteedDivisor = 4;

    // Ranks racks other than the one with the step's data behind it.
    constexpr std::int64_t otherRackPenalty = 1000000;

    std::int64_t countFittingOne(std::int64_t perTask, std::int64_t available, std::int64_t limit)
    {
        return perTask <= 0 ? limit : std::min(limit, std::max<std::int64_t>(0, available) / perTask);
    }

    Resources smallerOf(const Resources& a, const Resources& b)
    {
        return { std::min(a.milliCores, b.milliCores), std::min(a.megabytes, b.megabytes),
            std::min(a.accelerators, b.accelerators) };
    }

    bool hasLabel(const PlanStep& step, const FleetWorker& worker)
    {
        return step.spec->workerLabel.empty() || worker.row->labels->count(step.spec->workerLabel) > 0;
    }

    // The platform counts a job as lost of which nothing runs for 3 s while less than half of the pool is in use and
    // there is room for it twice over.
    constexpr Milliseconds longestHoldBack { 2000 };
    constexpr std::size_t roomFactor = 2;

    // A little above half, because the owner learns of ends later than the platform.
    constexpr std::int64_t mostlyFreePercent = 55;

    bool isMostlyFreePool(const std::vector<PlanWorker>& workers)
    {
        Resources capacity;
        Resources free;
        for (const PlanWorker& worker : workers) {
            if (!worker.schedulable)
                continue;
            capacity += worker.capacity;
            free += worker.free;
        }
        const auto isMostlyFree = [](std::int64_t available, std::int64_t all) {
            return (all - available) * 100 <= all * mostlyFreePercent;
        };
        return capacity.accelerators > 0 ? isMostlyFree(free.accelerators, capacity.accelerators)
                                         : isMostlyFree(free.milliCores, capacity.milliCores);
    }

} // namespace

PlannerFleet::PlannerFleet(const PlanInput& input)
    : input_(input)
{
    workers_.reserve(input.workers.size());
    all_.reserve(input.workers.size());
    std::map<std::string_view, std::size_t> rackNumbers;
    for (const PlanWorker& row : input.workers) {
        workers_.push_back({ &row, row.free, row.releasing, row.schedulable, std::nullopt });
        all_.push_back(&workers_.back());
        const auto [position, added] = rackNumbers.emplace(row.rack, racks_.size());
        if (added)
            racks_.emplace_back();
        racks_[position->second].push_back(all_.back());
    }
    const auto suspects = std::count_if(
        input.workers.begin(), input.workers.end(), [](const PlanWorker& worker) { return worker.suspect; });
    fewSuspects_ = static_cast<std::size_t>(suspects) * suspectDivisor <= input.workers.size();
    const auto slow = std::count_if(
        input.workers.begin(), input.workers.end(), [](const PlanWorker& worker) { return worker.isSlow(); });
    fewSlow_ = static_cast<std::size_t>(slow) * slowDivisor <= input.workers.size();
    mostlyFree_ = isMostlyFreePool(input.workers);
}

int PlannerFleet::countFitting(const Resources& perTask, const Resources& available, std::size_t limit)
{
    std::int64_t count = std::min<std::size_t>(limit, std::numeric_limits<int>::max());
    count = countFittingOne(perTask.milliCores, available.milliCores, count);
    count = countFittingOne(perTask.megabytes, available.megabytes, count);
    return static_cast<int>(countFittingOne(perTask.accelerators, available.accelerators, count));
}

std::size_t PlannerFleet::countMustStart(const PlanStep& step) const
{
    if (!mostlyFree_ || input_.now - step.idleSince < longestHoldBack)
        return 0;
    const std::size_t startable = countAnywhere(step, roomFactor * step.tasks.size()) / roomFactor;
    return step.spec->gang && startable < step.tasks.size() ? 0 : startable;
}

bool PlannerFleet::mustSpread(const PlanStep& step) const
{
    return mostlyFree_ && !step.spec->gang && step.spec->dataRack.empty()
        && input_.now - step.readyAt >= longestHoldBack;
}

bool PlannerFleet::mayRun(const PlanStep& step, const FleetWorker& worker)
{
    return worker.schedulable && hasLabel(step, worker);
}

bool PlannerFleet::isEligible(const PlanStep& step, const FleetWorker& worker)
{
    return !worker.keptForUrgent && mayRun(step, worker);
}

bool PlannerFleet::isTooRisky(const PlanStep& step, const FleetWorker& worker) const
{
    // Guaranteed work must start in time, and there may be no other room for it.
    if (step.guaranteed && input_.now - step.readyAt >= input_.urgentRackWait / guaranteedDivisor)
        return false;
    return fewSuspects_ && worker.row->suspect && (step.spec->gang || step.lastAttempt);
}

bool PlannerFleet::endsInTimeOn(const PlanStep& step, const FleetWorker& worker) const
{
    const auto runTime
        = Milliseconds(static_cast<std::int64_t>(static_cast<double>(step.expectedRunTime.count()) / worker.row->pace));
    // A gang that ends late keeps its other members waiting all the longer.
    const bool canBeInTime = step.spec->gang || input_.now + step.remaining <= step.objectiveAt;
    return input_.now + step.remaining - step.expectedRunTime + runTime
        <= (canBeInTime ? step.objectiveAt : step.lateDeadline);
}

bool PlannerFleet::mayProbe(const PlanStep& step, const FleetWorker& worker) const
{
    return worker.row->mayBeProbed && !worker.probed && !step.spec->gang && step.priority != 0
        && input_.now + step.remaining + probeLoss <= step.objectiveAt;
}

bool PlannerFleet::avoids(const PlanStep& step, const FleetWorker& worker) const
{
    if (!isAvoided(worker) || step.spec->longRunning)
        return false;
    // Guaranteed work must start in time, and there may be no other room for it.
    const Milliseconds longestWait
        = step.guaranteed ? input_.urgentRackWait / guaranteedDivisor : longestWaitForSoundWorkers;
    return input_.now - step.readyAt < longestWait && !endsInTimeOn(step, worker);
}

bool PlannerFleet::isTooSlow(const PlanStep& step, const FleetWorker& worker) const
{
    return avoids(step, worker) && !mayProbe(step, worker);
}

int PlannerFleet::applySpreadLimit(const PlanStep& step, const FleetWorker& worker, int count)
{
    if (step.spec->maximumPerWorker == 0)
        return count;
    const auto present = step.activeTasks.find(worker.row->id);
    const int placed = present == step.activeTasks.end() ? 0 : present->second;
    return std::min(count, std::max(0, step.spec->maximumPerWorker - placed));
}

int PlannerFleet::capacityOn(const PlanStep& step, const FleetWorker& worker, bool includeReleasing) const
{
    if (!worker.schedulable || worker.keptForUrgent || isTooRisky(step, worker) || isTooSlow(step, worker))
        return 0;
    Resources available = worker.free;
    if (includeReleasing)
        available += worker.releasing;
    if (worker.hold && (worker.hold->againstPeers || step.priority > worker.hold->priority)) {
        const auto longestRun
            = static_cast<std::int64_t>(static_cast<double>(step.expectedRunTime.count()) * runTimeMargin);
        if (input_.now + Milliseconds(longestRun) > worker.hold->from)
            available = smallerOf(available, worker.hold->spare);
    }
    const int fitting = countFitting(step.spec->perTask, available, step.tasks.size());
    if (fitting == 0 || !mayRun(step, worker))
        return 0;
    return applySpreadLimit(step, worker, avoids(step, worker) ? std::min(fitting, 1) : fitting);
}

struct PlannerFleet::Candidate {
    std::tuple<bool, bool, bool, bool, bool, std::int64_t, std::int64_t, std::int64_t> order;
    FleetWorker* worker;
    int capacity;
};

// If reservations moved with every plan, smaller work would take the capacity that was freed for the step. Urgent work
// is packed onto few workers; spread over all of them, it would leave none that can be emptied for a guaranteed task
// that needs a whole worker.
PlannerFleet::Candidate PlannerFleet::rank(const PlanStep& step, FleetWorker* worker, int capacity) const
{
    const bool reserved = !step.reservedWorkers.empty() && step.reservedWorkers.count(worker->row->id) > 0;
    const bool failedBefore = step.failedOn && step.failedOn->count(worker->row->id) > 0;
    const bool remote = !step.spec->dataRack.empty() && worker->row->rack != step.spec->dataRack;
    const std::int64_t urgent = step.priority == 0 ? -worker->row->urgentAccelerators : 0;
    return { { failedBefore, worker->row->isSlow(), !reserved, worker->row->suspect, remote, urgent,
                 worker->free.accelerators, worker->free.milliCores },
        worker, capacity };
}

FleetWorkers PlannerFleet::chooseBest(std::vector<Candidate>& fitting, std::size_t count)
{
    std::size_t available = 0;
    for (const Candidate& candidate : fitting)
        available += static_cast<std::size_t>(candidate.capacity);
    if (available < count)
        return {};
    std::stable_sort(
        fitting.begin(), fitting.end(), [](const Candidate& a, const Candidate& b) { return a.order < b.order; });
    FleetWorkers chosen;
    chosen.reserve(count);
    for (const Candidate& candidate : fitting) {
        const std::size_t used = std::min(count - chosen.size(), static_cast<std::size_t>(candidate.capacity));
        chosen.insert(chosen.end(), used, candidate.worker);
        if (chosen.size() == count)
            break;
    }
    return chosen;
}

FleetWorkers PlannerFleet::select(
    const PlanStep& step, const FleetWorkers& candidates, std::size_t count, bool includeReleasing) const
{
    std::vector<Candidate> fitting;
    for (FleetWorker* worker : candidates) {
        const int capacity = capacityOn(step, *worker, includeReleasing);
        if (capacity > 0)
            fitting.push_back(rank(step, worker, capacity));
    }
    return chooseBest(fitting, count);
}

int PlannerFleet::capacityAnywhere(const PlanStep& step, const FleetWorker& worker, std::size_t limit)
{
    if (!mayRun(step, worker))
        return 0;
    return applySpreadLimit(step, worker, countFitting(step.spec->perTask, worker.free, limit));
}

FleetWorkers PlannerFleet::selectAnywhere(const PlanStep& step, std::size_t count) const
{
    std::vector<Candidate> fitting;
    for (FleetWorker* worker : all_) {
        const int capacity = capacityAnywhere(step, *worker, count);
        if (capacity > 0)
            fitting.push_back(rank(step, worker, capacity));
    }
    return chooseBest(fitting, count);
}

std::size_t PlannerFleet::countAnywhere(const PlanStep& step, std::size_t enough) const
{
    std::size_t count = 0;
    for (const FleetWorker* worker : all_) {
        count += static_cast<std::size_t>(capacityAnywhere(step, *worker, enough));
        if (count >= enough)
            return enough;
    }
    return count;
}

FleetWorkers PlannerFleet::selectInOneRack(const PlanStep& step, bool includeReleasing) const
{
    FleetWorkers best;
    std::int64_t fewestFree = std::numeric_limits<std::int64_t>::max();
    for (const FleetWorkers& members : racks_) {
        FleetWorkers chosen = select(step, members, step.tasks.size(), includeReleasing);
        if (chosen.empty())
            continue;
        const bool reserved = std::any_of(members.begin(), members.end(),
            [&step](const FleetWorker* worker) { return step.reservedWorkers.count(worker->row->id) > 0; });
        if (reserved)
            return chosen;
        std::int64_t freeInRack = 0;
        for (const FleetWorker* worker : members)
            freeInRack += worker->free.accelerators;
        if (!step.spec->dataRack.empty() && members.front()->row->rack != step.spec->dataRack)
            freeInRack += otherRackPenalty;
        if (freeInRack < fewestFree) {
            fewestFree = freeInRack;
            best = std::move(chosen);
        }
    }
    return best;
}

FleetWorkers PlannerFleet::selectRackFor(const PlanStep& step) const
{
    FleetWorkers active;
    const FleetWorkers* best = nullptr;
    std::pair<std::size_t, std::int64_t> bestOrder; // tasks that fit, and free accelerators below zero
    for (const FleetWorkers& members : racks_) {
        if (std::any_of(members.begin(), members.end(),
                [&step](const FleetWorker* worker) { return step.activeTasks.count(worker->row->id) > 0; }))
            active.insert(active.end(), members.begin(), members.end());
        std::size_t fitting = 0;
        std::int64_t freeInRack = 0;
        for (const FleetWorker* worker : members) {
            fitting += static_cast<std::size_t>(capacityOn(step, *worker, /*includeReleasing=*/false));
            freeInRack += worker->free.accelerators;
        }
        const std::pair<std::size_t, std::int64_t> order { std::min(fitting, step.tasks.size()), -freeInRack };
        if (!best || order > bestOrder) {
            best = &members;
            bestOrder = order;
        }
    }
    if (!active.empty())
        return active;
    return best ? *best : FleetWorkers();
}

bool PlannerFleet::fitsEmptyDataRack(const PlanStep& step) const
{
    return std::any_of(workers_.begin(), workers_.end(), [&step](const FleetWorker& worker) {
        return worker.row->rack == step.spec->dataRack && hasLabel(step, worker)
            && step.spec->perTask.fitsIn(worker.row->capacity);
    });
}

bool PlannerFleet::fitsAnyEmptyRack(const PlanStep& step) const
{
    return std::any_of(racks_.begin(), racks_.end(), [&step](const FleetWorkers& members) {
        std::size_t available = 0;
        for (const FleetWorker* worker : members) {
            if (isEligible(step, *worker))
                available += static_cast<std::size_t>(applySpreadLimit(
                    step, *worker, countFitting(step.spec->perTask, worker->row->capacity, step.tasks.size())));
        }
        return available >= step.tasks.size();
    });
}

} // namespace rosemarylink::jobs::internal
