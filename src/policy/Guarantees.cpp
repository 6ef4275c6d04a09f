#include "rosemarylink/policy/Guarantees.h"

#include "FreeCapacityReport.h"
#include "ShapeOrder.h"

namespace rosemarylink::policy {

namespace {

    using namespace internal;

    struct EmptyFleet {
        Fleet fleet;
        Ledger free;
    };

    // The workers in order of their ids, so that the result does not depend on the order of the list. A second worker
    // with the same id is left out.
    EmptyFleet buildFleet(std::vector<model::WorkerSpec> workers, bool readyOnly)
    {
        std::sort(workers.begin(), workers.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
        EmptyFleet built;
        for (const model::WorkerSpec& worker : workers) {
            if (readyOnly && worker.state != model::ResourceState::Ready)
                continue;
            if (built.fleet.find(worker.id) == none)
                built.free.addWorker(built.fleet, built.fleet.add(worker).value(), true);
        }
        return built;
    }

    GangShape toGang(const model::GuaranteedShape& shape, const Fleet& fleet, const RegionId& region)
    {
        return { shape.tasks, toAmount(shape.perTask), shape.adjacency, fleet.findRegion(region) };
    }

    bool placeGang(EmptyFleet& built, const GangShape& gang)
    {
        if (gang.region == none)
            return false;
        const auto place = findPlacement({ built.fleet, built.free }, gang, FitRule::BestFit);
        if (!place)
            return false;
        for (const int worker : *place)
            built.free.take(built.fleet, worker, gang.perTask);
        return true;
    }

    std::string describeProblem(const model::GuaranteedShape& shape, const EmptyFleet& empty, std::int64_t placed)
    {
        const std::string gang = describeGang(shape.tasks, shape.perTask, shape.adjacency);
        if (empty.fleet.findRegion(shape.region) == none)
            return "region " + shape.region.value() + " has no ready worker";
        EmptyFleet alone = empty;
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
    const EmptyFleet empty = buildFleet(workers, true);
    EmptyFleet built = empty;
    std::vector<std::int64_t> placed(shapes.size(), 0);
    for (const std::size_t index : hardestFirst(shapes)) {
        const GangShape gang = toGang(shapes[index], built.fleet, shapes[index].region);
        while (placed[index] < shapes[index].gangs && placeGang(built, gang))
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

    struct DomainChoice {
        std::int64_t free = -1;
        FailureDomainId domain;
    };

    // The fleet with each failure domain taken as a region, since a gang has to fit in one cell.
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
            built_ = buildFleet(std::move(byDomain), false);
        }

        // The domain with most free capacity that holds the gang, or else the one with most; empty without a domain.
        FailureDomainId assign(const model::GuaranteedShape& shape)
        {
            std::vector<DomainChoice> choices;
            for (const FailureDomainId& domain : domains_[shape.region])
                choices.push_back({ freeIn(domain, toAmount(shape.perTask).accelerators > 0), domain });
            std::stable_sort(choices.begin(), choices.end(),
                [](const DomainChoice& a, const DomainChoice& b) { return a.free > b.free; });
            for (const DomainChoice& choice : choices) {
                if (placeGang(built_, toGang(shape, built_.fleet, RegionId(choice.domain.value()))))
                    return choice.domain;
            }
            return choices.empty() ? FailureDomainId() : choices.front().domain;
        }

    private:
        std::int64_t freeIn(const FailureDomainId& domain, bool accelerators) const
        {
            const int region = built_.fleet.findRegion(RegionId(domain.value()));
            std::int64_t sum = 0;
            const auto& order = accelerators ? built_.free.byAccelerators(region) : built_.free.byCores(region);
            for (const auto& rack : order)
                sum += rack.first;
            return sum;
        }

        std::map<RegionId, std::vector<FailureDomainId>> domains_;
        EmptyFleet built_;
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
