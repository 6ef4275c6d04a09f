#pragma once

#include "Fleet.h"

#include <set>
#include <utility>
#include <vector>

namespace rosemarylink::policy::internal {

// The free capacity of each worker, with the racks of each region ordered by free accelerators and by free cores. The
// totals of a rack include its schedulable workers only; a worker that is not schedulable keeps its free capacity but
// takes no placement.
class CapacityIndex {
public:
    void addWorker(const Fleet&, int worker, bool schedulable);
    void setSchedulable(const Fleet&, int worker, bool schedulable);
    void allocate(const Fleet&, int worker, const ResourceVector&);
    void release(const Fleet&, int worker, const ResourceVector&);

    bool isSchedulable(int worker) const { return schedulable_[static_cast<std::size_t>(worker)]; }
    const ResourceVector& free(int worker) const { return free_[static_cast<std::size_t>(worker)]; }
    const ResourceVector& rackFree(int rack) const { return rackFree_[static_cast<std::size_t>(rack)]; }

    using Order = std::set<std::pair<std::int64_t, int>>; // (free, rack)
    const Order& byAccelerators(int region) const { return regions_[static_cast<std::size_t>(region)].accelerators; }
    const Order& byCores(int region) const { return regions_[static_cast<std::size_t>(region)].cores; }
    std::size_t regionCount() const { return regions_.size(); }

private:
    struct Region {
        Order accelerators;
        Order cores;
    };
    void setFree(const Fleet&, int worker, const ResourceVector& before, const ResourceVector& after);
    void changeRack(const Fleet&, int rack, const ResourceVector& before, const ResourceVector& after);

    std::vector<ResourceVector> free_;
    std::vector<char> schedulable_;
    std::vector<ResourceVector> rackFree_; // sums over schedulable workers, each clamped at zero
    std::vector<Region> regions_;
};

} // namespace rosemarylink::policy::internal
