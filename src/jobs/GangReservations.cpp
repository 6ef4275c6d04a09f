#include "GangReservations.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // Held workers idle for a part of the time, so at most this fraction (1/N) of the workers is held beyond those of
    // the first gang.
    constexpr std::size_t heldShareDivisor = 2;

    // A worker that the previous plan reserved keeps its place unless another is free earlier by more than this.
    constexpr Milliseconds reservationStability { 500 };

} // namespace

GangReservations::GangReservations(PlannerFleet& fleet, Milliseconds now)
    : fleet_(fleet)
    , now_(now)
{
}

FleetWorkers GangReservations::reserve(const PlanStep& gang, bool oneRack)
{
    if (reservations_ > 0 && heldWorkers_ + gang.tasks.size() > fleet_.all().size() / heldShareDivisor)
        return {};
    std::vector<Slot> best;
    if (oneRack) {
        for (const FleetWorkers& members : fleet_.racks()) {
            std::vector<Slot> slots = earliestSlots(gang, members);
            if (!slots.empty() && (best.empty() || slots.back().freeAt < best.back().freeAt))
                best = std::move(slots);
        }
    } else {
        best = earliestSlots(gang, fleet_.all());
    }
    if (best.empty())
        return {};
    hold(gang, best);
    FleetWorkers workers;
    workers.reserve(gang.tasks.size());
    for (const Slot& slot : best)
        workers.insert(workers.end(), static_cast<std::size_t>(slot.tasks), slot.worker);
    return workers;
}

void GangReservations::addSlots(const PlanStep& gang, FleetWorker& worker, std::vector<Slot>& slots) const
{
    if (worker.hold || !PlannerFleet::isEligible(gang, worker) || fleet_.isTooSlow(gang, worker))
        return;
    const Resources& perTask = gang.spec->perTask;
    const int most = PlannerFleet::applySpreadLimit(
        gang, worker, PlannerFleet::countFitting(perTask, worker.row->capacity, gang.tasks.size()));
    const Milliseconds bonus = gang.reservedWorkers.count(worker.row->id) > 0 ? reservationStability : Milliseconds(0);
    Resources available = worker.free;
    int counted = 0;
    const auto addFitting = [&](Milliseconds time) {
        const int fitting = std::min(most, PlannerFleet::countFitting(perTask, available, gang.tasks.size()));
        if (fitting > counted)
            slots.push_back({ time - bonus, &worker, fitting - std::exchange(counted, fitting) });
    };
    addFitting(now_);
    for (const ExpectedEnd& end : worker.row->expectedEnds) {
        if (counted == most)
            return;
        available += end.resources;
        addFitting(std::max(now_, end.at));
    }
}

std::vector<GangReservations::Slot> GangReservations::earliestSlots(
    const PlanStep& gang, const FleetWorkers& candidates) const
{
    std::vector<Slot> slots;
    for (FleetWorker* worker : candidates)
        addSlots(gang, *worker, slots);
    std::stable_sort(slots.begin(), slots.end(), [](const Slot& a, const Slot& b) { return a.freeAt < b.freeAt; });
    auto missing = static_cast<std::int64_t>(gang.tasks.size());
    for (std::size_t number = 0; number < slots.size(); ++number) {
        Slot& slot = slots[number];
        if (slot.tasks >= missing) {
            slot.tasks = static_cast<int>(missing);
            slots.resize(number + 1);
            return slots;
        }
        missing -= slot.tasks;
    }
    return {};
}

void GangReservations::hold(const PlanStep& gang, const std::vector<Slot>& slots)
{
    const Milliseconds from = std::max(now_, slots.back().freeAt);
    for (const Slot& slot : slots) {
        FleetWorker& worker = *slot.worker;
        if (!worker.hold) {
            ++heldWorkers_;
            worker.hold = CapacityHold { from, worker.free, gang.priority, /*againstPeers=*/reservations_ == 0 };
            for (const ExpectedEnd& end : worker.row->expectedEnds) {
                if (end.at <= from)
                    worker.hold->spare += end.resources;
            }
        }
        for (int task = 0; task < slot.tasks; ++task)
            worker.hold->spare -= gang.spec->perTask;
    }
    ++reservations_;
}

} // namespace rosemarylink::jobs::internal
