#include "PolicyFleet.h"

#include <algorithm>
#include <set>

namespace rosemarylink::bench {

PolicyFleet::PolicyFleet(const std::vector<model::WorkerSpec>& specs)
{
    std::map<std::pair<std::string, std::string>, std::size_t> racks;
    std::map<std::string, std::size_t> domains;
    for (const model::WorkerSpec& spec : specs) {
        racks[{ spec.failureDomain.value(), spec.rack.value() }] = 0;
        domains[spec.failureDomain.value()] = 0;
    }
    std::size_t number = 0;
    for (auto& domain : domains)
        domain.second = number++;
    number = 0;
    for (auto& rack : racks) {
        rack.second = number++;
        domainOfRack_.push_back(domains[rack.first.first]);
    }
    for (const model::WorkerSpec& spec : specs) {
        indices_[spec.id.value()] = workers_.size();
        workers_.push_back({ spec, {}, racks[{ spec.failureDomain.value(), spec.rack.value() }],
            domains[spec.failureDomain.value()], false, false, true });
    }
}

void PolicyFleet::allocate(const std::vector<std::size_t>& gang, const model::Resources& perTask)
{
    for (const std::size_t worker : gang) {
        workers_[worker].used.cores += perTask.cores;
        workers_[worker].used.memory += perTask.memory;
        workers_[worker].used.accelerators += perTask.accelerators;
    }
}

void PolicyFleet::release(const std::vector<std::size_t>& gang, const model::Resources& perTask)
{
    for (const std::size_t worker : gang) {
        workers_[worker].used.cores -= perTask.cores;
        workers_[worker].used.memory -= perTask.memory;
        workers_[worker].used.accelerators -= perTask.accelerators;
    }
}

bool PolicyFleet::isWithinCapacity(const std::vector<std::size_t>& gang) const
{
    return std::none_of(gang.begin(), gang.end(), [this](std::size_t index) {
        const Worker& worker = workers_[index];
        const model::Resources& capacity = worker.spec.capacity;
        return worker.lost || worker.used.cores > capacity.cores || worker.used.memory > capacity.memory
            || worker.used.accelerators > capacity.accelerators;
    });
}

bool PolicyFleet::isAdjacent(const std::vector<std::size_t>& gang, model::Adjacency adjacency) const
{
    std::set<std::size_t> distinct(gang.begin(), gang.end());
    std::set<std::size_t> racks;
    std::set<std::size_t> domains;
    std::set<std::string> regions;
    for (const std::size_t worker : distinct) {
        racks.insert(workers_[worker].rack);
        domains.insert(workers_[worker].domain);
        regions.insert(workers_[worker].spec.region.value());
    }
    switch (adjacency) {
    case model::Adjacency::Worker:
        return distinct.size() == 1;
    case model::Adjacency::Rack:
        return racks.size() == 1;
    case model::Adjacency::NeighbouringRacks:
        return domains.size() == 1 && *racks.rbegin() - *racks.begin() <= 1;
    case model::Adjacency::Region:
        return regions.size() == 1;
    }
    return false;
}

std::vector<model::WorkerSpec> PolicyFleet::eligibleWorkers() const
{
    std::vector<model::WorkerSpec> ready;
    for (const Worker& worker : workers_) {
        if (!worker.lost && worker.eligible)
            ready.push_back(worker.spec);
    }
    return ready;
}

std::int64_t PolicyFleet::tasksThatFit(const Worker& worker, const model::Resources& perTask) const
{
    if (worker.lost)
        return 0;
    const model::Resources& capacity = worker.spec.capacity;
    std::int64_t fit = (capacity.accelerators - worker.used.accelerators).value()
        / std::max<std::int64_t>(perTask.accelerators.value(), 1);
    if (perTask.cores.value() > 0)
        fit = std::min(fit, (capacity.cores - worker.used.cores).value() / perTask.cores.value());
    if (perTask.memory.value() > 0)
        fit = std::min(fit, (capacity.memory - worker.used.memory).value() / perTask.memory.value());
    return std::max<std::int64_t>(fit, 0);
}

std::int64_t PolicyFleet::usableGangs(const std::vector<std::int64_t>& fits, const model::JobSpec& gang) const
{
    std::int64_t gangs = 0;
    std::vector<std::int64_t> byRack(domainOfRack_.size(), 0);
    std::map<std::string, std::int64_t> byRegion;
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        if (gang.adjacency == model::Adjacency::Worker)
            gangs += fits[index] / gang.tasks;
        else if (gang.adjacency == model::Adjacency::Region)
            byRegion[workers_[index].spec.region.value()] += fits[index];
        else
            byRack[workers_[index].rack] += fits[index];
    }
    for (const auto& region : byRegion)
        gangs += region.second / gang.tasks;
    for (std::int64_t& fit : byRack) {
        gangs += fit / gang.tasks;
        fit %= gang.tasks;
    }
    for (std::size_t rack = 0; gang.adjacency == model::Adjacency::NeighbouringRacks && rack + 1 < byRack.size();
         ++rack) {
        if (domainOfRack_[rack] != domainOfRack_[rack + 1] || byRack[rack] + byRack[rack + 1] < gang.tasks)
            continue;
        ++gangs;
        byRack[rack + 1] -= gang.tasks - byRack[rack];
        byRack[rack] = 0;
    }
    return gangs;
}

double PolicyFleet::fragmentation(const model::JobSpec& gang) const
{
    std::vector<std::int64_t> fits(workers_.size(), 0);
    std::int64_t total = 0;
    std::int64_t free = 0;
    for (std::size_t index = 0; index < workers_.size(); ++index) {
        const Worker& worker = workers_[index];
        if (worker.lost)
            continue;
        free += std::max<std::int64_t>((worker.spec.capacity.accelerators - worker.used.accelerators).value(), 0);
        if (!gang.region || worker.spec.region == *gang.region)
            fits[index] = tasksThatFit(worker, gang.perTask);
        total += fits[index];
    }
    if (free == 0)
        return 0;
    const std::int64_t lostGangs = total / gang.tasks - usableGangs(fits, gang);
    return static_cast<double>(lostGangs * gang.tasks * gang.perTask.accelerators.value()) / static_cast<double>(free);
}

} // namespace rosemarylink::bench
