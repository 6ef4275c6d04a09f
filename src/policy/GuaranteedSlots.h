#pragma once

#include "Job.h"

#include <vector>

namespace rosemarylink::policy::internal {

// One gang of a guaranteed shape. Its placement is planned, not allocated: borrowed work may run there until the
// account needs the slot.
struct GuaranteedSlot {
    model::GuaranteedShape declared;
    GangShape gang;
    std::vector<int> placement; // worker by task; empty if none was found
    std::map<int, ResourceVector> remaining; // by worker: the capacity of the placement less the jobs in the slot
    int jobCount = 0; // jobs that hold capacity in the slot

    bool hasPlacement() const { return !placement.empty(); }
};

// Plans a placement for each gang of each guaranteed shape, such that all of these placements and all dedicated work
// fit on the fleet at the same time. Only borrowed work may overlap a slot, and borrowed work can be stopped, so every
// slot can be reclaimed at any time. Placements are planned before capacity is lent, because a placement that is only
// searched for on demand may no longer exist.
class GuaranteedSlots {
public:
    explicit GuaranteedSlots(const Fleet& fleet)
        : fleet_(fleet)
    {
    }

    void workerAdded(int worker, bool schedulable);
    void setSchedulable(int worker, bool schedulable);

    // Replaces the shapes. Slots of unchanged shapes keep their placement and jobs. Gives the new index of each old
    // slot, none for removed slots.
    std::vector<int> configure(const std::vector<model::GuaranteedShape>&);

    // Plans placements for idle slots that are not reclaimable. Does nothing if nothing changed since the last call.
    void replan();

    const std::vector<GuaranteedSlot>& slots() const { return slots_; }
    const std::vector<int>& slotsOf(const AccountId&) const;
    const CapacityIndex& unguaranteed() const { return unguaranteed_; }

    // Whether the slot has a placement on schedulable workers that no dedicated work overlaps.
    bool isReclaimable(const GuaranteedSlot&) const;

    // Whether the job belongs to the account of the slot, is no larger than its gang, and may run in its region. Does
    // not check adjacency.
    bool admits(const GuaranteedSlot&, const Job&) const;

    void addJob(int slot, const Job&, const std::vector<int>& workers);
    void removeJob(const Job&);
    void allocateDedicated(const Job&);
    void releaseDedicated(const Job&);

    // Moves an idle slot to a placement that is free of borrowed work. Gives false and keeps the old placement if there
    // is none.
    bool moveToFreeCapacity(int slot, const CapacityIndex& free);

    // The capacity of a worker that the slot may use if it moves: the unguaranteed capacity and that of its own
    // placement.
    ResourceVector capacityForMove(int slot, int worker) const;

    // Moves an idle slot to a placement that stays within capacityForMove on each worker.
    void moveTo(int slot, std::vector<int> placement);

    // Plans all idle slots anew so that a dedicated gang of this shape fits beside all slots. Gives false and changes
    // nothing if a slot would lose its placement.
    bool replanForDedicated(const GangShape&);

    // Assigns a restored gang to an idle slot of its account and moves the slot to where the gang runs. Gives none if
    // no slot can be moved there.
    int assignRestored(const Job&);

private:
    void clearPlacement(GuaranteedSlot&);
    void setPlacement(GuaranteedSlot&, std::vector<int> placement);
    bool assignPlacement(GuaranteedSlot&);
    bool replanAllIdleSlots();
    using SavedPlacements = std::vector<std::pair<std::size_t, std::vector<int>>>;
    SavedPlacements clearIdlePlacements();
    void restorePlacements(const SavedPlacements&);
    std::optional<std::vector<int>> placementAround(const GuaranteedSlot&, const Job&) const;
    void indexByAccount();

    const Fleet& fleet_;
    CapacityIndex unguaranteed_; // total capacity less the placements of slots and dedicated work
    std::vector<GuaranteedSlot> slots_; // from the hardest to place to the easiest
    std::map<std::string, std::vector<int>> byAccount_;
    bool needsReplan_ = false; // a change since the last replan may require new placements
    bool hasUnreclaimable_ = false; // an idle slot is not reclaimable
};

// Whether the workers satisfy the adjacency.
bool areAdjacent(const Fleet&, const std::vector<int>& workers, model::Adjacency);

} // namespace rosemarylink::policy::internal
