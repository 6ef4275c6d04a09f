#include "GuaranteedSlots.h"

#include "ShapeOrder.h"

#include <set>

namespace rosemarylink::policy::internal {

bool areAdjacent(const Fleet& fleet, const std::vector<int>& workers, model::Adjacency adjacency)
{
    std::set<int> racks;
    std::set<int> regions;
    for (const int worker : workers) {
        racks.insert(fleet.worker(worker).rack);
        regions.insert(fleet.rackOf(worker).region);
    }
    switch (adjacency) {
    case model::Adjacency::Worker:
        return std::set<int>(workers.begin(), workers.end()).size() <= 1;
    case model::Adjacency::Rack:
        return racks.size() <= 1;
    case model::Adjacency::NeighbouringRacks:
        if (racks.size() != 2)
            return racks.size() <= 1;
        return fleet.rack(*racks.begin()).next == *racks.rbegin() || fleet.rack(*racks.rbegin()).next == *racks.begin();
    case model::Adjacency::Region:
        return regions.size() <= 1;
    }
    return false;
}

void GuaranteedSlots::workerAdded(int worker, bool open)
{
    unpromised_.addWorker(fleet_, worker, open);
    stale_ = true;
    for (GuaranteedSlot& slot : slots_) {
        if (slot.gang.region == none)
            slot.gang.region = fleet_.findRegion(slot.declared.region);
    }
}

void GuaranteedSlots::setOpen(int worker, bool open)
{
    unpromised_.setOpen(fleet_, worker, open);
    stale_ = true;
}

std::vector<int> GuaranteedSlots::configure(const std::vector<model::GuaranteedShape>& shapes)
{
    std::vector<GuaranteedSlot> old = std::move(slots_);
    std::vector<int> moved(old.size(), none);
    slots_.clear();
    for (const std::size_t index : hardestFirst(shapes)) {
        const model::GuaranteedShape& shape = shapes[index];
        for (std::int64_t gang = 0; gang < shape.gangs; ++gang) {
            GuaranteedSlot slot;
            slot.declared = shape;
            slot.gang = { shape.tasks, toAmount(shape.perTask), shape.adjacency, fleet_.findRegion(shape.region) };
            for (std::size_t candidate = 0; candidate < old.size(); ++candidate) {
                const bool same = moved[candidate] == none && old[candidate].declared.account == shape.account
                    && old[candidate].declared.name == shape.name && old[candidate].declared.region == shape.region
                    && old[candidate].gang == slot.gang;
                if (!same)
                    continue;
                moved[candidate] = static_cast<int>(slots_.size());
                slot = old[candidate];
                slot.declared = shape;
                break;
            }
            slots_.push_back(std::move(slot));
        }
    }
    for (std::size_t candidate = 0; candidate < old.size(); ++candidate) {
        if (moved[candidate] == none)
            dropPlace(old[candidate]);
    }
    indexByAccount();
    stale_ = true;
    return moved;
}

void GuaranteedSlots::indexByAccount()
{
    byAccount_.clear();
    for (std::size_t index = 0; index < slots_.size(); ++index)
        byAccount_[slots_[index].declared.account.value()].push_back(static_cast<int>(index));
}

const std::vector<int>& GuaranteedSlots::slotsOf(const AccountId& account) const
{
    static const std::vector<int> noSlots;
    const auto found = byAccount_.find(account.value());
    return found == byAccount_.end() ? noSlots : found->second;
}

bool GuaranteedSlots::admits(const GuaranteedSlot& slot, const Job& job) const
{
    return slot.declared.account == job.spec.account && slot.gang.perTask.covers(job.shape.perTask)
        && job.shape.tasks <= slot.gang.tasks && (job.shape.region == none || job.shape.region == slot.gang.region);
}

void GuaranteedSlots::dropPlace(GuaranteedSlot& slot)
{
    for (const int worker : slot.place)
        unpromised_.give(fleet_, worker, slot.gang.perTask);
    slot.place.clear();
    slot.room.clear();
}

void GuaranteedSlots::setPlace(GuaranteedSlot& slot, std::vector<int> place)
{
    slot.place = std::move(place);
    for (const int worker : slot.place) {
        unpromised_.take(fleet_, worker, slot.gang.perTask);
        slot.room[worker] += slot.gang.perTask;
    }
}

bool GuaranteedSlots::findPlace(GuaranteedSlot& slot)
{
    if (slot.gang.region == none)
        return false;
    auto place = findPlacement({ fleet_, unpromised_ }, slot.gang, FitRule::BestFit);
    if (!place)
        return false;
    setPlace(slot, std::move(*place));
    return true;
}

bool GuaranteedSlots::isSound(const GuaranteedSlot& slot) const
{
    return slot.hasPlace() && std::all_of(slot.room.begin(), slot.room.end(), [this](const auto& part) {
        return unpromised_.isOpen(part.first) && unpromised_.free(part.first).covers({});
    });
}

GuaranteedSlots::OldPlaces GuaranteedSlots::dropIdlePlaces()
{
    OldPlaces old;
    for (std::size_t index = 0; index < slots_.size(); ++index) {
        if (slots_[index].users > 0)
            continue;
        old.emplace_back(index, slots_[index].place);
        dropPlace(slots_[index]);
    }
    return old;
}

void GuaranteedSlots::restorePlaces(const OldPlaces& old)
{
    for (const auto& [index, place] : old)
        dropPlace(slots_[index]);
    for (const auto& [index, place] : old) {
        if (!place.empty())
            setPlace(slots_[index], place);
    }
}

// Places all idle slots anew, the hardest first. Keeps the old places when fewer slots would get one.
bool GuaranteedSlots::replanAllIdle()
{
    const OldPlaces old = dropIdlePlaces();
    std::size_t placed = 0;
    std::size_t placedBefore = 0;
    for (const auto& [index, place] : old) {
        placedBefore += place.empty() ? 0 : 1;
        placed += findPlace(slots_[index]) ? 1 : 0;
    }
    if (placed > placedBefore)
        return true;
    restorePlaces(old);
    return false;
}

bool GuaranteedSlots::makeFirmPlace(const GangShape& gang)
{
    const OldPlaces old = dropIdlePlaces();
    const auto place = findPlacement({ fleet_, unpromised_ }, gang, FitRule::BestFit);
    bool keepsAll = place.has_value();
    if (keepsAll) {
        for (const int worker : *place)
            unpromised_.take(fleet_, worker, gang.perTask);
        for (const auto& [index, oldPlace] : old)
            keepsAll = (oldPlace.empty() || findPlace(slots_[index])) && keepsAll;
        for (const int worker : *place)
            unpromised_.give(fleet_, worker, gang.perTask);
    }
    if (!keepsAll)
        restorePlaces(old);
    return keepsAll;
}

void GuaranteedSlots::replan()
{
    if (!stale_)
        return;
    stale_ = false;
    hasUnsound_ = false;
    std::vector<std::pair<GuaranteedSlot*, std::vector<int>>> unsound;
    for (GuaranteedSlot& slot : slots_) {
        if (slot.users > 0 || isSound(slot))
            continue;
        unsound.emplace_back(&slot, slot.place);
        dropPlace(slot);
    }
    bool missing = false;
    for (auto& [slot, old] : unsound)
        missing = !findPlace(*slot) || missing;
    if (missing)
        replanAllIdle();
    // A slot without another place keeps its old one. Its workers may return, and work that cannot be stopped must not
    // settle there meanwhile.
    for (auto& [slot, old] : unsound) {
        if (slot->hasPlace())
            continue;
        hasUnsound_ = true;
        if (!old.empty())
            setPlace(*slot, std::move(old));
    }
}

void GuaranteedSlots::enter(int slot, const Job& job, const std::vector<int>& workers)
{
    GuaranteedSlot& entered = slots_[static_cast<std::size_t>(slot)];
    ++entered.users;
    for (const int worker : workers)
        entered.room[worker] -= job.shape.perTask;
}

void GuaranteedSlots::leave(const Job& job)
{
    GuaranteedSlot& left = slots_[static_cast<std::size_t>(job.slot)];
    --left.users;
    for (const int worker : job.workers)
        left.room[worker] += job.shape.perTask;
    stale_ = stale_ || (left.users == 0 && !isSound(left));
}

void GuaranteedSlots::takeFirm(const Job& job)
{
    for (const int worker : job.workers) {
        unpromised_.take(fleet_, worker, job.shape.perTask);
        stale_ = stale_ || !unpromised_.free(worker).covers({});
    }
}

void GuaranteedSlots::giveFirm(const Job& job)
{
    for (const int worker : job.workers)
        unpromised_.give(fleet_, worker, job.shape.perTask);
    // A slot that lacked a sound place may have one now.
    stale_ = stale_ || hasUnsound_;
}

bool GuaranteedSlots::moveToFree(int index, const Ledger& free)
{
    GuaranteedSlot& slot = slots_[static_cast<std::size_t>(index)];
    if (slot.users > 0 || slot.gang.region == none)
        return false;
    std::vector<int> old = slot.place;
    dropPlace(slot);
    auto place = findPlacement({ fleet_, unpromised_, &free }, slot.gang, FitRule::BestFit);
    const bool found = place.has_value();
    if (found)
        setPlace(slot, std::move(*place));
    else if (!old.empty())
        setPlace(slot, std::move(old));
    return found;
}

Amount GuaranteedSlots::roomToMove(int index, int worker) const
{
    const GuaranteedSlot& slot = slots_[static_cast<std::size_t>(index)];
    Amount room = unpromised_.free(worker);
    if (const auto own = slot.room.find(worker); own != slot.room.end())
        room += own->second;
    return room;
}

void GuaranteedSlots::moveTo(int index, std::vector<int> place)
{
    GuaranteedSlot& slot = slots_[static_cast<std::size_t>(index)];
    dropPlace(slot);
    setPlace(slot, std::move(place));
}

std::optional<std::vector<int>> GuaranteedSlots::placeAround(const GuaranteedSlot& slot, const Job& job) const
{
    std::vector<int> place = job.workers;
    GangShape rest = slot.gang;
    rest.tasks -= static_cast<std::int64_t>(place.size());
    if (rest.tasks > 0) {
        std::vector<char> closed(fleet_.workers().size(), 1);
        for (const int worker : job.workers) {
            for (const int near : fleet_.rackOf(worker).workers)
                closed[static_cast<std::size_t>(near)] = 0;
        }
        Ledger left = unpromised_;
        for (const int worker : job.workers)
            left.take(fleet_, worker, slot.gang.perTask);
        rest.adjacency = model::Adjacency::Region;
        const auto more = findPlacement({ fleet_, left, nullptr, &closed }, rest, FitRule::BestFit);
        if (!more)
            return std::nullopt;
        place.insert(place.end(), more->begin(), more->end());
    }
    if (!areAdjacent(fleet_, place, slot.gang.adjacency))
        return std::nullopt;
    return place;
}

int GuaranteedSlots::adopt(const Job& job)
{
    for (const int index : slotsOf(job.spec.account)) {
        GuaranteedSlot& slot = slots_[static_cast<std::size_t>(index)];
        const bool inRegion = fleet_.rackOf(job.workers.front()).region == slot.gang.region;
        if (slot.users > 0 || !inRegion || !admits(slot, job))
            continue;
        std::vector<int> old = slot.place;
        dropPlace(slot);
        if (auto place = placeAround(slot, job)) {
            setPlace(slot, std::move(*place));
            enter(index, job, job.workers);
            stale_ = true; // other idle places may overlap
            return index;
        }
        if (!old.empty())
            setPlace(slot, std::move(old));
    }
    return none;
}

} // namespace rosemarylink::policy::internal
