#include "PlacementSearch.h"

namespace rosemarylink::policy::internal {

std::int64_t SearchSpace::fit(int worker, const ResourceVector& perTask, std::int64_t limit) const
{
    if (!free.isSchedulable(worker) || (excluded != nullptr && (*excluded)[static_cast<std::size_t>(worker)] != 0))
        return 0;
    std::int64_t count = tasksThatFit(free.free(worker), perTask, limit);
    if (alsoFree != nullptr && count > 0)
        count = alsoFree->isSchedulable(worker) ? tasksThatFit(alsoFree->free(worker), perTask, count) : 0;
    return count;
}

namespace {

    struct WorkerFit {
        std::int64_t tasks;
        int worker;
    };

    struct Candidate {
        std::vector<int> workers;
        std::int64_t leftover = 0; // free accelerators, or cores, that remain in the worker, rack or pair of racks
    };

    // A search in one region. With skipAccelerated, workers with accelerators are skipped, which keeps them free for
    // work that needs them.
    class RegionSearch {
    public:
        RegionSearch(const SearchSpace& space, const GangShape& shape, int region, FitRule rule, bool skipAccelerated)
            : space_(space)
            , shape_(shape)
            , region_(region)
            , rule_(rule)
            , skipAccelerated_(skipAccelerated)
            , need_(shape.perTask * shape.tasks)
            , byAccelerators_(shape.perTask.accelerators > 0)
        {
        }

        std::optional<Candidate> run()
        {
            switch (shape_.adjacency) {
            case model::Adjacency::Worker:
                return searchWorkers();
            case model::Adjacency::Rack:
                return searchRacks();
            case model::Adjacency::NeighbouringRacks:
                if (auto found = searchRacks())
                    return found;
                return searchRackPairs();
            case model::Adjacency::Region:
                return searchRegion();
            }
            return std::nullopt;
        }

    private:
        std::int64_t fit(int worker, std::int64_t limit) const
        {
            if (skipAccelerated_ && space_.fleet.worker(worker).capacity.accelerators > 0)
                return 0;
            return space_.fit(worker, shape_.perTask, limit);
        }

        std::int64_t primary(const ResourceVector& amount) const
        {
            return byAccelerators_ ? amount.accelerators : amount.cores;
        }

        const CapacityIndex::Order& order() const
        {
            return byAccelerators_ ? space_.free.byAccelerators(region_) : space_.free.byCores(region_);
        }

        bool rackMayHold(int rack, const ResourceVector& need) const
        {
            return space_.free.rackFree(rack).covers(need)
                && (space_.alsoFree == nullptr || space_.alsoFree->rackFree(rack).covers(need));
        }

        // Calls visit(rack) for the racks of the region whose free accelerators, or cores, are at least `minimum`, in
        // the order of the fit rule, until visit returns true. FirstFit visits all racks.
        template <typename Visit> bool visitRacks(std::int64_t minimum, Visit&& visit) const
        {
            if (rule_ == FitRule::FirstFit) {
                for (int rack = 0; rack < static_cast<int>(space_.fleet.racks().size()); ++rack) {
                    if (space_.fleet.rack(rack).region == region_ && visit(rack))
                        return true;
                }
                return false;
            }
            const auto& racks = order();
            for (auto next = racks.lower_bound({ minimum, none }); next != racks.end(); ++next) {
                if (visit(next->second))
                    return true;
            }
            return false;
        }

        void appendFits(int rack, std::vector<WorkerFit>& fits) const
        {
            for (const int worker : space_.fleet.rack(rack).workers) {
                if (const std::int64_t tasks = fit(worker, shape_.tasks); tasks > 0)
                    fits.push_back({ tasks, worker });
            }
        }

        static std::int64_t total(const std::vector<WorkerFit>& fits)
        {
            std::int64_t sum = 0;
            for (const WorkerFit& each : fits)
                sum += each.tasks;
            return sum;
        }

        // Under BestFit, repeatedly takes the worker that fits the remaining tasks most tightly, or else the worker
        // that fits most tasks. Under FirstFit, takes the workers in order.
        std::vector<int> chooseWorkers(std::vector<WorkerFit> fits) const
        {
            std::vector<int> chosen;
            std::int64_t left = shape_.tasks;
            if (rule_ == FitRule::BestFit) {
                std::sort(fits.begin(), fits.end(), [](const WorkerFit& a, const WorkerFit& b) {
                    return a.tasks != b.tasks ? a.tasks > b.tasks : a.worker < b.worker;
                });
            }
            for (std::size_t index = 0; left > 0 && index < fits.size(); ++index) {
                if (rule_ == FitRule::BestFit) {
                    while (index + 1 < fits.size() && fits[index + 1].tasks >= left)
                        ++index;
                }
                const std::int64_t count = std::min(left, fits[index].tasks);
                chosen.insert(chosen.end(), static_cast<std::size_t>(count), fits[index].worker);
                left -= count;
            }
            return chosen;
        }

        std::optional<Candidate> searchWorkers() const
        {
            std::optional<Candidate> best;
            visitRacks(primary(need_), [&](int rack) {
                if (!rackMayHold(rack, need_))
                    return false;
                for (const int worker : space_.fleet.rack(rack).workers) {
                    if (fit(worker, shape_.tasks) < shape_.tasks)
                        continue;
                    const std::int64_t leftover = primary(space_.free.free(worker)) - primary(need_);
                    if (!best || leftover < best->leftover) {
                        best = Candidate { std::vector<int>(static_cast<std::size_t>(shape_.tasks), worker), leftover };
                    }
                }
                return best.has_value() && (rule_ == FitRule::FirstFit || best->leftover == 0);
            });
            return best;
        }

        std::optional<Candidate> searchRacks() const
        {
            std::optional<Candidate> found;
            visitRacks(primary(need_), [&](int rack) {
                if (!rackMayHold(rack, need_))
                    return false;
                std::vector<WorkerFit> fits;
                appendFits(rack, fits);
                if (total(fits) < shape_.tasks)
                    return false;
                const std::int64_t leftover = primary(space_.free.rackFree(rack)) - primary(need_);
                found = Candidate { chooseWorkers(std::move(fits)), leftover };
                return true;
            });
            return found;
        }

        std::optional<Candidate> searchRackPairs() const
        {
            std::optional<Candidate> best;
            int bestRack = none;
            visitRacks(0, [&](int rack) {
                const int next = space_.fleet.rack(rack).nextRack;
                if (next == none)
                    return false;
                ResourceVector both = space_.free.rackFree(rack);
                both += space_.free.rackFree(next);
                const std::int64_t leftover = primary(both) - primary(need_);
                if (!both.covers(need_) || (best && leftover >= best->leftover))
                    return false;
                std::vector<WorkerFit> fits;
                appendFits(rack, fits);
                appendFits(next, fits);
                if (total(fits) < shape_.tasks)
                    return false;
                best = Candidate { {}, leftover };
                bestRack = rack;
                return rule_ == FitRule::FirstFit;
            });
            if (best) {
                std::vector<WorkerFit> fits;
                appendFits(bestRack, fits);
                appendFits(space_.fleet.rack(bestRack).nextRack, fits);
                best->workers = chooseWorkers(std::move(fits));
            }
            return best;
        }

        // Prefers a single worker, else uses the racks and workers with the least free capacity first, to keep large
        // free blocks.
        std::optional<Candidate> searchRegion() const
        {
            if (rule_ == FitRule::BestFit) {
                if (auto found = searchWorkers())
                    return found;
            }
            Candidate candidate;
            std::int64_t left = shape_.tasks;
            visitRacks(std::min<std::int64_t>(primary(shape_.perTask), 1), [&](int rack) {
                std::vector<WorkerFit> fits;
                appendFits(rack, fits);
                if (rule_ == FitRule::BestFit) {
                    std::sort(fits.begin(), fits.end(), [](const WorkerFit& a, const WorkerFit& b) {
                        return a.tasks != b.tasks ? a.tasks < b.tasks : a.worker < b.worker;
                    });
                }
                for (const WorkerFit& each : fits) {
                    const std::int64_t count = std::min(left, each.tasks);
                    candidate.workers.insert(candidate.workers.end(), static_cast<std::size_t>(count), each.worker);
                    left -= count;
                    if (left == 0)
                        return true;
                }
                return false;
            });
            if (left > 0)
                return std::nullopt;
            return candidate;
        }

        const SearchSpace& space_;
        const GangShape& shape_;
        int region_;
        FitRule rule_;
        bool skipAccelerated_;
        ResourceVector need_;
        bool byAccelerators_;
    };

} // namespace

std::optional<std::vector<int>> findPlacement(const SearchSpace& space, const GangShape& shape, FitRule rule)
{
    const bool avoidAccelerated = rule == FitRule::BestFit && shape.perTask.accelerators == 0;
    for (const bool skipAccelerated : { true, false }) {
        if (skipAccelerated && !avoidAccelerated)
            continue;
        std::optional<Candidate> best;
        for (int region = 0; region < static_cast<int>(space.free.regionCount()); ++region) {
            if (shape.region != none && shape.region != region)
                continue;
            auto found = RegionSearch(space, shape, region, rule, skipAccelerated).run();
            if (found && (!best || found->leftover < best->leftover))
                best = std::move(found);
            if (best && rule == FitRule::FirstFit)
                break;
        }
        if (best)
            return std::move(best->workers);
    }
    return std::nullopt;
}

std::int64_t countGangs(const Fleet& fleet, const CapacityIndex& free, const GangShape& shape)
{
    std::vector<std::int64_t> fits(fleet.racks().size(), 0);
    std::int64_t gangs = 0;
    std::int64_t scattered = 0;
    for (std::size_t rack = 0; rack < fits.size(); ++rack) {
        if (shape.region != none && fleet.racks()[rack].region != shape.region)
            continue;
        if (shape.perTask.accelerators > 0 && free.rackFree(static_cast<int>(rack)).accelerators <= 0)
            continue;
        for (const int worker : fleet.racks()[rack].workers) {
            if (!free.isSchedulable(worker))
                continue;
            const std::int64_t fit = tasksThatFit(free.free(worker), shape.perTask, 1000000);
            fits[rack] += fit;
            if (shape.adjacency == model::Adjacency::Worker)
                gangs += fit / shape.tasks;
        }
        scattered += fits[rack];
    }
    if (shape.adjacency == model::Adjacency::Worker)
        return gangs;
    if (shape.adjacency == model::Adjacency::Region)
        return scattered / shape.tasks;
    for (std::int64_t& fit : fits) {
        gangs += fit / shape.tasks;
        fit %= shape.tasks;
    }
    if (shape.adjacency == model::Adjacency::NeighbouringRacks) {
        for (std::size_t rack = 0; rack < fits.size(); ++rack) {
            const int next = fleet.racks()[rack].nextRack;
            if (next == none || fits[rack] + fits[static_cast<std::size_t>(next)] < shape.tasks)
                continue;
            ++gangs;
            fits[static_cast<std::size_t>(next)] -= shape.tasks - fits[rack];
            fits[rack] = 0;
        }
    }
    return gangs;
}

std::int64_t countGangsIgnoringAdjacency(const Fleet& fleet, const CapacityIndex& free, const GangShape& shape)
{
    GangShape relaxed = shape;
    relaxed.adjacency = model::Adjacency::Region;
    return countGangs(fleet, free, relaxed);
}

} // namespace rosemarylink::policy::internal
