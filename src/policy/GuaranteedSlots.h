#pragma once

#include "Job.h"

#include <vector>

namespace rosemarylink::policy::internal {

// One gang of a guaranteed shape. Its place is held for the account on paper; borrowed work may run there meanwhile.
struct GuaranteedSlot {
    model::GuaranteedShape declared;
    GangShape gang;
    std::vector<int> place; // by task; empty while the slot has none
    std::map<int, Amount> room; // by worker: the place less what the account's jobs in it take
    int users = 0; // jobs of the account that run in it

    bool hasPlace() const { return !place.empty(); }
};

// Keeps a place for each gang of each guaranteed shape, such that all places and all firm work fit on the fleet at
// once. Since only borrowed work overlaps a place, and borrowed work can be stopped, each slot can be reclaimed at any
// moment, and a place is found before anything is lent rather than after.
class GuaranteedSlots {
public:
    explicit GuaranteedSlots(const Fleet& fleet)
        : fleet_(fleet)
    {
    }

    void workerAdded(int worker, bool open);
    void setOpen(int worker, bool open);

    // Takes new shapes. Slots of shapes that stay keep their place and users. Gives the indices that the old slots now
    // have, none for those that are gone.
    std::vector<int> configure(const std::vector<model::GuaranteedShape>&);

    // Finds places for slots that lack a sound one. Cheap when nothing changed.
    void replan();

    const std::vector<GuaranteedSlot>& slots() const { return slots_; }
    const std::vector<int>& slotsOf(const AccountId&) const;
    const Ledger& unpromised() const { return unpromised_; }

    // Whether the slot has a place on open workers that no firm work overlaps.
    bool isSound(const GuaranteedSlot&) const;

    // Whether the job is no larger than the slot's gang and may be in its region.
    bool admits(const GuaranteedSlot&, const Job&) const;

    void enter(int slot, const Job&, const std::vector<int>& workers);
    void leave(const Job&);
    void takeFirm(const Job&);
    void giveFirm(const Job&);

    // Moves an idle slot to a place that is free of borrowed work too. Gives false when there is none.
    bool moveToFree(int slot, const Ledger& free);

    // What a gang of the slot may take of a worker if the slot moves: what is not promised, and its own place.
    Amount roomToMove(int slot, int worker) const;

    // Moves an idle slot to a place that roomToMove allows.
    void moveTo(int slot, std::vector<int> place);

    // Moves idle slots so that a gang of this shape fits beside all places. Gives false, and changes nothing, when some
    // slot would lose its place.
    bool makeFirmPlace(const GangShape&);

    // Gives a restored gang a slot whose place is moved around it. Gives none when no slot of the account allows it.
    int adopt(const Job&);

private:
    void dropPlace(GuaranteedSlot&);
    void setPlace(GuaranteedSlot&, std::vector<int> place);
    bool findPlace(GuaranteedSlot&);
    bool replanAllIdle();
    using OldPlaces = std::vector<std::pair<std::size_t, std::vector<int>>>;
    OldPlaces dropIdlePlaces();
    void restorePlaces(const OldPlaces&);
    std::optional<std::vector<int>> placeAround(const GuaranteedSlot&, const Job&) const;
    void indexByAccount();

    const Fleet& fleet_;
    Ledger unpromised_; // capacity less places and firm work
    std::vector<GuaranteedSlot> slots_; // from the hardest to place to the easiest
    std::map<std::string, std::vector<int>> byAccount_;
    bool stale_ = false; // something changed that may need a new place
    bool hasUnsound_ = false; // some idle slot lacks a sound place
};

// Whether the workers are as close as the adjacency demands.
bool areAdjacent(const Fleet&, const std::vector<int>& workers, model::Adjacency);

} // namespace rosemarylink::policy::internal
