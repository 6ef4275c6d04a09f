#pragma once

#include "PlannerFleet.h"

#include <cstddef>

// Load pattern: a pool with more work than capacity, where tasks of a few seconds end one by one. A gang that needs
// many whole workers at once never finds them free, because each freed worker goes to smaller work first. A gang that
// does not fit now is therefore given the workers that are expected to become free first, and work of lower priorities
// may use them only until then. The first gang's reservation also binds work of its own priority (EASY backfilling);
// binding it for every waiting gang would leave the pool idle behind the widest ones.
namespace rosemarylink::jobs::internal {

// Makes the reservations of one plan, in the order of the calls.
class GangReservations {
public:
    GangReservations(PlannerFleet&, Milliseconds now);

    // Holds the workers on which all tasks of the gang can be expected to start first, in one rack if `oneRack`.
    // Returns them, one element per task, or an empty vector if they do not exist or the limit on reserved capacity is
    // reached. Workers reserved by the previous plan are preferred.
    FleetWorkers reserve(const PlanStep& gang, bool oneRack);

private:
    // Room on a worker that is expected from a time on. Counts the tasks of the gang that fit instead of listing a
    // place for each, so that the number of slots is bounded by the workers and their runs.
    struct Slot {
        Milliseconds freeAt { 0 };
        FleetWorker* worker = nullptr;
        int tasks = 0; // besides those of the worker's earlier slots
    };

    void addSlots(const PlanStep& gang, FleetWorker&, std::vector<Slot>&) const;
    // The earliest slots that hold the gang's tasks; empty if the candidates do not have room for all of them.
    std::vector<Slot> earliestSlots(const PlanStep& gang, const FleetWorkers& candidates) const;
    void hold(const PlanStep& gang, const std::vector<Slot>&);

    PlannerFleet& fleet_;
    Milliseconds now_;
    std::size_t reservations_ = 0;
    std::size_t heldWorkers_ = 0;
};

} // namespace rosemarylink::jobs::internal
