#include "CapacityIndex.h"

namespace rosemarylink::policy::internal {

void CapacityIndex::addWorker(const Fleet& fleet, int worker, bool schedulable)
{
    const Worker& added = fleet.worker(worker);
    const auto rack = static_cast<std::size_t>(added.rack);
    const auto region = static_cast<std::size_t>(fleet.rack(added.rack).region);
    if (regions_.size() <= region)
        regions_.resize(region + 1);
    if (rackFree_.size() <= rack) {
        rackFree_.resize(rack + 1);
        regions_[region].accelerators.emplace(0, added.rack);
        regions_[region].cores.emplace(0, added.rack);
    }
    free_.push_back(added.capacity);
    schedulable_.push_back(schedulable ? 1 : 0);
    if (schedulable)
        changeRack(fleet, added.rack, {}, added.capacity.clampedAtZero());
}

void CapacityIndex::setSchedulable(const Fleet& fleet, int worker, bool schedulable)
{
    const auto index = static_cast<std::size_t>(worker);
    if ((schedulable_[index] != 0) == schedulable)
        return;
    schedulable_[index] = schedulable ? 1 : 0;
    const ResourceVector amount = free_[index].clampedAtZero();
    if (schedulable)
        changeRack(fleet, fleet.worker(worker).rack, {}, amount);
    else
        changeRack(fleet, fleet.worker(worker).rack, amount, {});
}

void CapacityIndex::allocate(const Fleet& fleet, int worker, const ResourceVector& amount)
{
    const ResourceVector before = free(worker);
    free_[static_cast<std::size_t>(worker)] -= amount;
    setFree(fleet, worker, before, free(worker));
}

void CapacityIndex::release(const Fleet& fleet, int worker, const ResourceVector& amount)
{
    const ResourceVector before = free(worker);
    free_[static_cast<std::size_t>(worker)] += amount;
    setFree(fleet, worker, before, free(worker));
}

void CapacityIndex::setFree(const Fleet& fleet, int worker, const ResourceVector& before, const ResourceVector& after)
{
    if (isSchedulable(worker))
        changeRack(fleet, fleet.worker(worker).rack, before.clampedAtZero(), after.clampedAtZero());
}

void CapacityIndex::changeRack(const Fleet& fleet, int rack, const ResourceVector& before, const ResourceVector& after)
{
    ResourceVector& sum = rackFree_[static_cast<std::size_t>(rack)];
    Region& region = regions_[static_cast<std::size_t>(fleet.rack(rack).region)];
    const ResourceVector old = sum;
    sum -= before;
    sum += after;
    if (old.accelerators != sum.accelerators) {
        region.accelerators.erase({ old.accelerators, rack });
        region.accelerators.emplace(sum.accelerators, rack);
    }
    if (old.cores != sum.cores) {
        region.cores.erase({ old.cores, rack });
        region.cores.emplace(sum.cores, rack);
    }
}

} // namespace rosemarylink::policy::internal
