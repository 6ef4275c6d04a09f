#pragma once

#include "Fleet.h"

#include <set>
#include <utility>
#include <vector>

namespace rosemarylink::policy::internal {

// Free amounts by worker, with an index of the racks of each region ordered by free accelerators and by free cores.
// Racks count their open workers only; a closed worker keeps its amount but takes no placement.
class Ledger {
public:
    void addWorker(const Fleet&, int worker, bool open);
    void setOpen(const Fleet&, int worker, bool open);
    void take(const Fleet&, int worker, const Amount&);
    void give(const Fleet&, int worker, const Amount&);

    bool isOpen(int worker) const { return open_[static_cast<std::size_t>(worker)]; }
    const Amount& free(int worker) const { return free_[static_cast<std::size_t>(worker)]; }
    const Amount& rackFree(int rack) const { return rackFree_[static_cast<std::size_t>(rack)]; }

    using Order = std::set<std::pair<std::int64_t, int>>; // (free, rack)
    const Order& byAccelerators(int region) const { return regions_[static_cast<std::size_t>(region)].accelerators; }
    const Order& byCores(int region) const { return regions_[static_cast<std::size_t>(region)].cores; }
    std::size_t regionCount() const { return regions_.size(); }

private:
    struct Region {
        Order accelerators;
        Order cores;
    };
    void setFree(const Fleet&, int worker, const Amount& before, const Amount& after);
    void changeRack(const Fleet&, int rack, const Amount& before, const Amount& after);

    std::vector<Amount> free_;
    std::vector<char> open_;
    std::vector<Amount> rackFree_; // sums of the amounts of open workers, each clamped at zero
    std::vector<Region> regions_;
};

} // namespace rosemarylink::policy::internal
