#include "Fleet.h"

namespace rosemarylink::policy::internal {

Result<int> Fleet::add(const model::WorkerSpec& spec)
{
    const ResourceVector capacity = toResourceVector(spec.capacity);
    if (const int known = find(spec.id); known != none) {
        const Worker& existing = worker(known);
        const Rack& existingRack = rack(existing.rack);
        const auto domain = domains_.find(spec.failureDomain);
        const bool same = existing.capacity == capacity && existingRack.id == spec.rack && domain != domains_.end()
            && domain->second == existingRack.domain && findRegion(spec.region) == existingRack.region;
        if (!same)
            return makeError(ErrorCode::Conflict,
                "worker " + spec.id.value() + " is known with another capacity, rack, failure domain or region");
        return known;
    }
    const int index = static_cast<int>(workers_.size());
    const int rackIndex = findOrAddRack(spec);
    workers_.push_back({ spec.id, rackIndex, capacity, spec.state });
    racks_[static_cast<std::size_t>(rackIndex)].workers.push_back(index);
    workerByName_.emplace(spec.id.value(), index);
    return index;
}

int Fleet::find(const WorkerId& id) const
{
    const auto found = workerByName_.find(id.value());
    return found == workerByName_.end() ? none : found->second;
}

model::WorkerSpec Fleet::specOf(int index) const
{
    const Worker& found = worker(index);
    const Rack& foundRack = rack(found.rack);
    const model::Resources capacity { Cores(found.capacity.cores), Megabytes(found.capacity.memory),
        Accelerators(found.capacity.accelerators) };
    return { found.id, foundRack.id, domainIds_[static_cast<std::size_t>(foundRack.domain)], regionId(foundRack.region),
        capacity, found.state };
}

int Fleet::findRegion(const RegionId& id) const
{
    const auto found = std::find(regions_.begin(), regions_.end(), id);
    return found == regions_.end() ? none : static_cast<int>(found - regions_.begin());
}

int Fleet::findOrAddRegion(const RegionId& id)
{
    if (const int known = findRegion(id); known != none)
        return known;
    regions_.push_back(id);
    return static_cast<int>(regions_.size()) - 1;
}

int Fleet::findOrAddRack(const model::WorkerSpec& spec)
{
    const auto [domain, isNew] = domains_.emplace(spec.failureDomain, static_cast<int>(racksByDomain_.size()));
    if (isNew) {
        racksByDomain_.emplace_back();
        domainIds_.push_back(spec.failureDomain);
    }
    auto& ordered = racksByDomain_[static_cast<std::size_t>(domain->second)];
    const auto [position, inserted] = ordered.emplace(spec.rack, static_cast<int>(racks_.size()));
    if (!inserted)
        return position->second;
    Rack rack;
    rack.id = spec.rack;
    rack.region = findOrAddRegion(spec.region);
    rack.domain = domain->second;
    if (const auto next = std::next(position); next != ordered.end())
        rack.nextRack = next->second;
    if (position != ordered.begin())
        racks_[static_cast<std::size_t>(std::prev(position)->second)].nextRack = position->second;
    racks_.push_back(std::move(rack));
    return position->second;
}

} // namespace rosemarylink::policy::internal
