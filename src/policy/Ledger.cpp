#include "Ledger.h"

namespace rosemarylink::policy::internal {

void Ledger::addWorker(const Fleet& fleet, int worker, bool open)
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
    open_.push_back(open ? 1 : 0);
    if (open)
        changeRack(fleet, added.rack, {}, added.capacity.clampedAtZero());
}

void Ledger::setOpen(const Fleet& fleet, int worker, bool open)
{
    const auto index = static_cast<std::size_t>(worker);
    if ((open_[index] != 0) == open)
        return;
    open_[index] = open ? 1 : 0;
    const Amount amount = free_[index].clampedAtZero();
    if (open)
        changeRack(fleet, fleet.worker(worker).rack, {}, amount);
    else
        changeRack(fleet, fleet.worker(worker).rack, amount, {});
}

void Ledger::take(const Fleet& fleet, int worker, const Amount& amount)
{
    const Amount before = free(worker);
    free_[static_cast<std::size_t>(worker)] -= amount;
    setFree(fleet, worker, before, free(worker));
}

void Ledger::give(const Fleet& fleet, int worker, const Amount& amount)
{
    const Amount before = free(worker);
    free_[static_cast<std::size_t>(worker)] += amount;
    setFree(fleet, worker, before, free(worker));
}

void Ledger::setFree(const Fleet& fleet, int worker, const Amount& before, const Amount& after)
{
    if (isOpen(worker))
        changeRack(fleet, fleet.worker(worker).rack, before.clampedAtZero(), after.clampedAtZero());
}

void Ledger::changeRack(const Fleet& fleet, int rack, const Amount& before, const Amount& after)
{
    Amount& sum = rackFree_[static_cast<std::size_t>(rack)];
    Region& region = regions_[static_cast<std::size_t>(fleet.rack(rack).region)];
    const Amount old = sum;
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
