#include "PolicyGuaranteeMonitor.h"

#include "rosemarylink/policy/Guarantees.h"

#include <limits>

namespace rosemarylink::bench {

PolicyGuaranteeMonitor::PolicyGuaranteeMonitor(
    const model::Declarations& declarations, const std::vector<model::WorkerSpec>& workers, PolicyMeasures& measures)
    : measures_(measures)
{
    for (const model::GuaranteedShape& shape : declarations.guarantees)
        shapes_.push_back({ shape, 0, 0, true, true, std::nullopt });
    for (const model::WorkerSpec& worker : workers)
        ++workersByRegion_[worker.region.value()];
    for (const model::Account& account : declarations.accounts) {
        quotaLeft_[account.id.value()] = account.quotaAccelerators ? account.quotaAccelerators->value()
                                                                   : std::numeric_limits<std::int64_t>::max() / 2;
    }
}

std::vector<std::size_t> PolicyGuaranteeMonitor::shapesFor(const model::JobSpec& spec) const
{
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < shapes_.size(); ++index) {
        const model::GuaranteedShape& shape = shapes_[index].declared;
        const bool smaller = spec.tasks <= shape.tasks && spec.perTask.cores <= shape.perTask.cores
            && spec.perTask.memory <= shape.perTask.memory && spec.perTask.accelerators <= shape.perTask.accelerators;
        const bool samePlace = !spec.region || *spec.region == shape.region;
        if (shape.account == spec.account && smaller && samePlace && spec.adjacency >= shape.adjacency)
            found.push_back(index);
    }
    return found;
}

void PolicyGuaranteeMonitor::jobQueued(const model::JobSpec&, const std::vector<std::size_t>& shapes)
{
    for (const std::size_t shape : shapes)
        ++shapes_[shape].waiting;
}

void PolicyGuaranteeMonitor::jobDequeued(const model::JobSpec&, const std::vector<std::size_t>& shapes)
{
    for (const std::size_t shape : shapes)
        --shapes_[shape].waiting;
}

void PolicyGuaranteeMonitor::count(const model::JobSpec& spec, const RegionId& region, bool borrowed, int sign)
{
    quotaLeft_[spec.account.value()] -= sign * spec.tasks * spec.perTask.accelerators.value();
    if (borrowed)
        return;
    // All work of the account that is not borrowed uses its guarantee, including work that needs stricter adjacency.
    for (Shape& shape : shapes_) {
        if (shape.declared.account == spec.account && shape.declared.region == region
            && spec.tasks <= shape.declared.tasks)
            shape.inUse += sign;
    }
}

void PolicyGuaranteeMonitor::gangPlaced(const model::JobSpec& spec, const RegionId& region, bool borrowed)
{
    count(spec, region, borrowed, 1);
}

void PolicyGuaranteeMonitor::gangEnded(const model::JobSpec& spec, const RegionId& region, bool borrowed)
{
    count(spec, region, borrowed, -1);
}

void PolicyGuaranteeMonitor::jobStarted(const std::vector<std::size_t>& shapes, Timestamp now)
{
    for (const std::size_t index : shapes) {
        if (!shapes_[index].unservedSince)
            continue;
        measures_.reclaim.add(static_cast<double>((now - *shapes_[index].unservedSince).count()) / 1000);
        shapes_[index].unservedSince.reset();
    }
}

void PolicyGuaranteeMonitor::fleetChanged(const std::vector<model::WorkerSpec>& eligibleWorkers)
{
    std::map<std::string, std::size_t> eligible;
    for (const model::WorkerSpec& worker : eligibleWorkers)
        ++eligible[worker.region.value()];
    std::vector<model::GuaranteedShape> declared;
    for (Shape& shape : shapes_) {
        const std::string& region = shape.declared.region.value();
        shape.isRegionEligible = eligible[region] == workersByRegion_[region];
        declared.push_back(shape.declared);
        shape.feasible = true;
        shape.unservedSince.reset();
    }
    for (const policy::GuaranteeProblem& problem : policy::checkGuarantees(declared, eligibleWorkers).problems) {
        for (Shape& shape : shapes_) {
            if (shape.declared.account == problem.shape.account && shape.declared.name == problem.shape.name)
                shape.feasible = false;
        }
    }
}

bool PolicyGuaranteeMonitor::isUnserved(const Shape& shape) const
{
    const std::int64_t gangSize = shape.declared.tasks * shape.declared.perTask.accelerators.value();
    return shape.feasible && shape.waiting > 0 && shape.inUse < shape.declared.gangs
        && quotaLeft_.at(shape.declared.account.value()) >= gangSize;
}

void PolicyGuaranteeMonitor::check(Timestamp now, const IsAtRisk& isAtRisk)
{
    for (Shape& shape : shapes_) {
        if (!isUnserved(shape)) {
            shape.unservedSince.reset();
            continue;
        }
        if (!shape.unservedSince)
            shape.unservedSince = now;
        if (now - *shape.unservedSince > maxStartDelay) {
            if (shape.isRegionEligible || !isAtRisk(shape.declared))
                ++measures_.guaranteeMisses;
            shape.unservedSince = now;
        }
    }
}

} // namespace rosemarylink::bench
