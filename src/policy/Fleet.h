#pragma once

#include "ResourceVector.h"

#include "rosemarylink/base/Error.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace rosemarylink::policy::internal {

// The index of an absent worker, rack, region, failure domain or slot.
constexpr int none = -1;

struct Worker {
    WorkerId id;
    int rack = none;
    ResourceVector capacity;
    model::ResourceState state = model::ResourceState::Ready;
};

struct Rack {
    RackId id;
    int region = none;
    int domain = none;
    int nextRack = none; // the next rack of the failure domain in name order, which counts as its neighbour
    std::vector<int> workers;
};

// The workers of a cell with their racks, failure domains and regions, each addressed by index. Indices never change.
class Fleet {
public:
    // Adds a worker and gives its index, or the index of the known worker. Fails with Conflict if the id is known with
    // another capacity, rack, failure domain or region.
    Result<int> add(const model::WorkerSpec&);

    int find(const WorkerId&) const; // none if unknown
    int findRegion(const RegionId&) const; // none if unknown

    Worker& worker(int index) { return workers_[static_cast<std::size_t>(index)]; }
    const Worker& worker(int index) const { return workers_[static_cast<std::size_t>(index)]; }
    const Rack& rack(int index) const { return racks_[static_cast<std::size_t>(index)]; }
    const Rack& rackOf(int workerIndex) const { return rack(worker(workerIndex).rack); }
    const std::vector<Worker>& workers() const { return workers_; }
    const std::vector<Rack>& racks() const { return racks_; }
    const RegionId& regionId(int region) const { return regions_[static_cast<std::size_t>(region)]; }
    model::WorkerSpec specOf(int worker) const;
    std::size_t regionCount() const { return regions_.size(); }

private:
    int findOrAddRack(const model::WorkerSpec&);
    int findOrAddRegion(const RegionId&);

    std::vector<Worker> workers_;
    std::vector<Rack> racks_;
    std::vector<RegionId> regions_;
    std::map<FailureDomainId, int> domains_;
    std::vector<FailureDomainId> domainIds_;
    std::vector<std::map<RackId, int>> racksByDomain_;
    std::unordered_map<std::string, int> workerByName_;
};

} // namespace rosemarylink::policy::internal
