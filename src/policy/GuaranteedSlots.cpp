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
        return fleet.rack(*racks.begin()).nextRack == *racks.rbegin()
            || fleet.rack(*racks.rbegin()).nextRack == *racks.begin();
    case model::Adjacency::Region:
        return regions.size() <= 1;
    }
    return false;
}

void GuaranteedSlots::workerAdded(int worker, bool schedulable)
{
    unguaranteed_.addWorker(fleet_, worker, schedulable);
    needsReplan_ = true;
    for (GuaranteedSlot& slot : slots_) {
        if (slot.gang.region == none)
            slot.gang.region = fleet_.findRegion(slot.declared.region);
    }
}

void GuaranteedSlots::setSchedulable(int worker, bool schedulable)
{
    unguaranteed_.setSchedulable(fleet_, worker, schedulable);
    needsReplan_ = true;
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
            slot.gang
                = { shape.tasks, toResourceVector(shape.perTask), shape.adjacency, fleet_.findRegion(shape.region) };
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
            clearPlacement(old[candidate]);
    }
    indexByAccount();
    needsReplan_ = true;
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

void GuaranteedSlots::clearPlacement(GuaranteedSlot& slot)
{
    for (const int worker : slot.placement)
        unguaranteed_.release(fleet_, worker, slot.gang.perTask);
    slot.placement.clear();
    slot.remaining.clear();
}

void GuaranteedSlots::setPlacement(GuaranteedSlot& slot, std::vector<int> placement)
{
    slot.placement = std::move(placement);
    for (const int worker : slot.placement) {
        unguaranteed_.allocate(fleet_, worker, slot.gang.perTask);
        slot.remaining[worker] += slot.gang.perTask;
    }
}

bool GuaranteedSlots::assignPlacement(GuaranteedSlot& slot)
{
    if (slot.gang.region == none)
        return false;
    auto placement = findPlacement({ fleet_, unguaranteed_ }, slot.gang, FitRule::BestFit);
    if (!placement)
        return false;
    setPlacement(slot, std::move(*placement));
    return true;
}

bool GuaranteedSlots::isReclaimable(const GuaranteedSlot& slot) const
{
    return slot.hasPlacement() && std::all_of(slot.remaining.begin(), slot.remaining.end(), [this](const auto& part) {
        return unguaranteed_.isSchedulable(part.first) && unguaranteed_.free(part.first).covers({});
    });
}

GuaranteedSlots::SavedPlacements GuaranteedSlots::clearIdlePlacements()
{
    SavedPlacements old;
    for (std::size_t index = 0; index < slots_.size(); ++index) {
        if (slots_[index].jobCount > 0)
            continue;
        old.emplace_back(index, slots_[index].placement);
        clearPlacement(slots_[index]);
    }
    return old;
}

void GuaranteedSlots::restorePlacements(const SavedPlacements& old)
{
    for (const auto& [index, placement] : old)
        clearPlacement(slots_[index]);
    for (const auto& [index, placement] : old) {
        if (!placement.empty())
            setPlacement(slots_[index], placement);
    }
}

// Plans all idle slots anew, the hardest to place first. Keeps the old placements unless more slots get one.
bool GuaranteedSlots::replanAllIdleSlots()
{
    const SavedPlacements old = clearIdlePlacements();
    std::size_t placed = 0;
    std::size_t placedBefore = 0;
    for (const auto& [index, placement] : old) {
        placedBefore += placement.empty() ? 0 : 1;
        placed += assignPlacement(slots_[index]) ? 1 : 0;
    }
    if (placed > placedBefore)
        return true;
    restorePlacements(old);
    return false;
}

bool GuaranteedSlots::replanForDedicated(const GangShape& gang)
{
    const SavedPlacements old = clearIdlePlacements();
    const auto placement = findPlacement({ fleet_, unguaranteed_ }, gang, FitRule::BestFit);
    bool keepsAll = placement.has_value();
    if (keepsAll) {
        for (const int worker : *placement)
            unguaranteed_.allocate(fleet_, worker, gang.perTask);
        for (const auto& [index, oldPlacement] : old)
            keepsAll = (oldPlacement.empty() || assignPlacement(slots_[index])) && keepsAll;
        for (const int worker : *placement)
            unguaranteed_.release(fleet_, worker, gang.perTask);
    }
    if (!keepsAll)
        restorePlacements(old);
    return keepsAll;
}

void GuaranteedSlots::replan()
{
    if (!needsReplan_)
        return;
    needsReplan_ = false;
    hasUnreclaimable_ = false;
    std::vector<std::pair<GuaranteedSlot*, std::vector<int>>> unreclaimable;
    for (GuaranteedSlot& slot : slots_) {
        if (slot.jobCount > 0 || isReclaimable(slot))
            continue;
        unreclaimable.emplace_back(&slot, slot.placement);
        clearPlacement(slot);
    }
    bool missing = false;
    for (auto& [slot, old] : unreclaimable)
        missing = !assignPlacement(*slot) || missing;
    if (missing)
        replanAllIdleSlots();
    // A slot without a new placement keeps its old one: its workers may return, and non-restartable work must not start
    // there meanwhile.
    for (auto& [slot, old] : unreclaimable) {
        if (slot->hasPlacement())
            continue;
        hasUnreclaimable_ = true;
        if (!old.empty())
            setPlacement(*slot, std::move(old));
    }
}

void GuaranteedSlots::addJob(int slot, const Job& job, const std::vector<int>& workers)
{
    GuaranteedSlot& target = slots_[static_cast<std::size_t>(slot)];
    ++target.jobCount;
    for (const int worker : workers)
        target.remaining[worker] -= job.shape.perTask;
}

void GuaranteedSlots::removeJob(const Job& job)
{
    GuaranteedSlot& target = slots_[static_cast<std::size_t>(job.slot)];
    --target.jobCount;
    for (const int worker : job.workers)
        target.remaining[worker] += job.shape.perTask;
    needsReplan_ = needsReplan_ || (target.jobCount == 0 && !isReclaimable(target));
}

void GuaranteedSlots::allocateDedicated(const Job& job)
{
    for (const int worker : job.workers) {
        unguaranteed_.allocate(fleet_, worker, job.shape.perTask);
        needsReplan_ = needsReplan_ || !unguaranteed_.free(worker).covers({});
    }
}

void GuaranteedSlots::releaseDedicated(const Job& job)
{
    for (const int worker : job.workers)
        unguaranteed_.release(fleet_, worker, job.shape.perTask);
    // A slot that was not reclaimable may become so.
    needsReplan_ = needsReplan_ || hasUnreclaimable_;
}

bool GuaranteedSlots::moveToFreeCapacity(int index, const CapacityIndex& free)
{
    GuaranteedSlot& slot = slots_[static_cast<std::size_t>(index)];
    if (slot.jobCount > 0 || slot.gang.region == none)
        return false;
    std::vector<int> old = slot.placement;
    clearPlacement(slot);
    auto placement = findPlacement({ fleet_, unguaranteed_, &free }, slot.gang, FitRule::BestFit);
    const bool found = placement.has_value();
    if (found)
        setPlacement(slot, std::move(*placement));
    else if (!old.empty())
        setPlacement(slot, std::move(old));
    return found;
}

ResourceVector GuaranteedSlots::capacityForMove(int index, int worker) const
{
    const GuaranteedSlot& slot = slots_[static_cast<std::size_t>(index)];
    ResourceVector remaining = unguaranteed_.free(worker);
    if (const auto own = slot.remaining.find(worker); own != slot.remaining.end())
        remaining += own->second;
    return remaining;
}

void GuaranteedSlots::moveTo(int index, std::vector<int> placement)
{
    GuaranteedSlot& slot = slots_[static_cast<std::size_t>(index)];
    clearPlacement(slot);
    setPlacement(slot, std::move(placement));
}

std::optional<std::vector<int>> GuaranteedSlots::placementAround(const GuaranteedSlot& slot, const Job& job) const
{
    std::vector<int> placement = job.workers;
    GangShape rest = slot.gang;
    rest.tasks -= static_cast<std::int64_t>(placement.size());
    if (rest.tasks > 0) {
        std::vector<char> excluded(fleet_.workers().size(), 1);
        for (const int worker : job.workers) {
            for (const int near : fleet_.rackOf(worker).workers)
                excluded[static_cast<std::size_t>(near)] = 0;
        }
        CapacityIndex left = unguaranteed_;
        for (const int worker : job.workers)
            left.allocate(fleet_, worker, slot.gang.perTask);
        rest.adjacency = model::Adjacency::Region;
        const auto more = findPlacement({ fleet_, left, nullptr, &excluded }, rest, FitRule::BestFit);
        if (!more)
            return std::nullopt;
        placement.insert(placement.end(), more->begin(), more->end());
    }
    if (!areAdjacent(fleet_, placement, slot.gang.adjacency))
        return std::nullopt;
    return placement;
}

int GuaranteedSlots::assignRestored(const Job& job)
{
    for (const int index : slotsOf(job.spec.account)) {
        GuaranteedSlot& slot = slots_[static_cast<std::size_t>(index)];
        const bool inRegion = fleet_.rackOf(job.workers.front()).region == slot.gang.region;
        if (slot.jobCount > 0 || !inRegion || !admits(slot, job))
            continue;
        std::vector<int> old = slot.placement;
        clearPlacement(slot);
        if (auto placement = placementAround(slot, job)) {
            setPlacement(slot, std::move(*placement));
            addJob(index, job, job.workers);
            needsReplan_ = true; // placements of other idle slots may overlap
            return index;
        }
        if (!old.empty())
            setPlacement(slot, std::move(old));
    }
    return none;
}

} // namespace rosemarylink::policy::internal
