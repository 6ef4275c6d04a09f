#include "rosemarylink/policy/Guarantees.h"

#include "FreeCapacityReport.h"
#include "ShapeOrder.h"

namespace rosemarylink::policy {

namespace {

    using namespace internal;

    struct PlannedFleet {
        Fleet fleet;
        CapacityIndex free;
    };

    // Builds the fleet in order of worker ids, so that the result does not depend on the order of the list. Only the
    // first worker with a given id is added.
    PlannedFleet buildFleet(std::vector<model::WorkerSpec> workers, bool readyOnly)
    {
        std::sort(workers.begin(), workers.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
        PlannedFleet planned;
        for (const model::WorkerSpec& worker : workers) {
            if (readyOnly && worker.state != model::ResourceState::Ready)
                continue;
            if (planned.fleet.find(worker.id) == none)
                planned.free.addWorker(planned.fleet, planned.fleet.add(worker).value(), true);
        }
        return planned;
    }

    GangShape toGang(const model::GuaranteedShape& shape, const Fleet& fleet, const RegionId& region)
    {
        return { shape.tasks, toResourceVector(shape.perTask), shape.adjacency, fleet.findRegion(region) };
    }

    bool placeGang(PlannedFleet& planned, const GangShape& gang)
    {
        if (gang.region == none)
            return false;
        const auto placement = findPlacement({ planned.fleet, planned.free }, gang, FitRule::BestFit);
        if (!placement)
            return false;
        for (const int worker : *placement)
            planned.free.allocate(planned.fleet, worker, gang.perTask);
        return true;
    }

    std::string describeProblem(const model::GuaranteedShape& shape, const PlannedFleet& empty, std::int64_t placed)
    {
        const std::string gang = describeGang(shape.tasks, shape.perTask, shape.adjacency);
        if (empty.fleet.findRegion(shape.region) == none)
            return "region " + shape.region.value() + " has no ready worker";
        PlannedFleet alone = empty;
        const GangShape wanted = toGang(shape, alone.fleet, shape.region);
        std::int64_t fitting = 0;
        while (fitting < shape.gangs && placeGang(alone, wanted))
            ++fitting;
        if (fitting == 0)
            return "no place in region " + shape.region.value() + " holds a gang of " + gang;
        if (fitting < shape.gangs) {
            return "region " + shape.region.value() + " holds only " + std::to_string(fitting) + " of "
                + std::to_string(shape.gangs) + " gangs of " + gang;
        }
        return "beside the other guarantees, region " + shape.region.value() + " holds only " + std::to_string(placed)
            + " of " + std::to_string(shape.gangs) + " gangs of " + gang;
    }

} // namespace

GuaranteeFeasibility checkGuarantees(
    const std::vector<model::GuaranteedShape>& shapes, const std::vector<model::WorkerSpec>& workers)
{
    const PlannedFleet empty = buildFleet(workers, true);
    PlannedFleet planned = empty;
    std::vector<std::int64_t> placed(shapes.size(), 0);
    for (const std::size_t index : hardestFirst(shapes)) {
        const GangShape gang = toGang(shapes[index], planned.fleet, shapes[index].region);
        while (placed[index] < shapes[index].gangs && placeGang(planned, gang))
            ++placed[index];
    }
    GuaranteeFeasibility result;
    for (std::size_t index = 0; index < shapes.size(); ++index) {
        if (placed[index] == shapes[index].gangs)
            continue;
        result.feasible = false;
        result.problems.push_back(
            { shapes[index], placed[index], describeProblem(shapes[index], empty, placed[index]) });
    }
    return result;
}

namespace {

    struct DomainCandidate {
        std::int64_t free = -1;
        FailureDomainId domain;
    };

    // Assigns gangs to failure domains. Each failure domain is modelled as a region, because a gang must fit into one
    // cell.
    class DomainAssigner {
    public:
        explicit DomainAssigner(const std::vector<model::WorkerSpec>& workers)
        {
            std::vector<model::WorkerSpec> byDomain = workers;
            for (model::WorkerSpec& worker : byDomain) {
                auto& domains = domains_[worker.region];
                if (std::find(domains.begin(), domains.end(), worker.failureDomain) == domains.end())
                    domains.push_back(worker.failureDomain);
                worker.region = RegionId(worker.failureDomain.value());
            }
            for (auto& [region, domains] : domains_)
                std::sort(domains.begin(), domains.end());
            planned_ = buildFleet(std::move(byDomain), false);
        }

        // The domain with most free capacity that holds the gang, or else the one with most; empty without a domain.
        FailureDomainId assign(const model::GuaranteedShape& shape)
        {
            std::vector<DomainCandidate> choices;
            for (const FailureDomainId& domain : domains_[shape.region])
                choices.push_back({ freeIn(domain, toResourceVector(shape.perTask).accelerators > 0), domain });
            std::stable_sort(choices.begin(), choices.end(),
                [](const DomainCandidate& a, const DomainCandidate& b) { return a.free > b.free; });
            for (const DomainCandidate& choice : choices) {
                if (placeGang(planned_, toGang(shape, planned_.fleet, RegionId(choice.domain.value()))))
                    return choice.domain;
            }
            return choices.empty() ? FailureDomainId() : choices.front().domain;
        }

    private:
        std::int64_t freeIn(const FailureDomainId& domain, bool accelerators) const
        {
            const int region = planned_.fleet.findRegion(RegionId(domain.value()));
            std::int64_t sum = 0;
            const auto& order = accelerators ? planned_.free.byAccelerators(region) : planned_.free.byCores(region);
            for (const auto& rack : order)
                sum += rack.first;
            return sum;
        }

        std::map<RegionId, std::vector<FailureDomainId>> domains_;
        PlannedFleet planned_;
    };

} // namespace

std::map<FailureDomainId, std::vector<model::GuaranteedShape>> assignGuarantees(
    const std::vector<model::GuaranteedShape>& shapes, const std::vector<model::WorkerSpec>& workers)
{
    DomainAssigner assigner(workers);
    std::vector<std::map<FailureDomainId, std::int64_t>> gangs(shapes.size());
    for (const std::size_t index : hardestFirst(shapes)) {
        for (std::int64_t gang = 0; gang < shapes[index].gangs; ++gang) {
            const FailureDomainId domain = assigner.assign(shapes[index]);
            if (domain.empty())
                break;
            ++gangs[index][domain];
        }
    }
    std::map<FailureDomainId, std::vector<model::GuaranteedShape>> result;
    for (std::size_t index = 0; index < shapes.size(); ++index) {
        for (const auto& [domain, count] : gangs[index]) {
            result[domain].push_back(shapes[index]);
            result[domain].back().gangs = count;
        }
    }
    return result;
}

} // namespace rosemarylink::policy
