#include "StateFleet.h"
#include "StateMeasures.h"

#include <chrono>
#include <stdexcept>

namespace rosemarylink::bench {

namespace {

    using state::fakes::CellHarness;

    std::unique_ptr<CellHarness> makeLoadedCell(std::int64_t workers, std::int64_t tasks, std::uint64_t seed)
    {
        auto cell = makeCell(workers, 2, seed);
        const auto jobs = makeJobs(tasks, seed, "job-");
        submitAll(*cell, jobs);
        const bool running = cell->runUntil([&] {
            return cell->owner()->controller->snapshot().runningGangs == static_cast<std::int64_t>(jobs.size());
        });
        if (!running)
            throw std::runtime_error("not all gangs of the cell started within 60 s");
        cell->run(Milliseconds(1000));
        return cell;
    }

    // Wall-clock time from the new owner's claim of the lease to its first decision. It covers reading and decoding the
    // records, processing the workers' reports and restoring the policy, but no network latency.
    double rebuildMilliseconds(std::int64_t workers, std::int64_t tasks, std::uint64_t seed)
    {
        auto cell = makeLoadedCell(workers, tasks, seed);
        state::fakes::Scheduler* former = cell->owner();
        former->process->crashed = true;
        state::fakes::Scheduler* successor
            = cell->schedulers[0].get() == former ? cell->schedulers[1].get() : cell->schedulers[0].get();
        double longest = 0;
        const bool recovered = cell->runUntil([&] {
            // Steps before the claim only poll the lease. The rebuild takes several steps, during which the simulated
            // clock stands still.
            const auto begin = std::chrono::steady_clock::now();
            while (successor->controller->step() && !successor->isOwner()) { }
            const std::chrono::duration<double, std::milli> elapsed = std::chrono::steady_clock::now() - begin;
            longest = std::max(longest, elapsed.count());
            return successor->isOwner();
        });
        const auto snapshot = successor->controller->snapshot();
        if (!recovered || snapshot.runningGangs == 0 || !snapshot.warnings.empty())
            throw std::runtime_error("the new owner did not rebuild the complete state of the cell");
        return longest;
    }

    // Encoded size that the record would have with one entry for each task.
    std::size_t bytesWithEntryPerTask(const records::PlacementsRecord& record)
    {
        records::PlacementsRecord perTask = record;
        for (records::GangRecord& gang : perTask.gangs) {
            std::vector<records::GangMember> members;
            for (const records::GangMember& member : gang.members) {
                for (std::int64_t task = 0; task < member.tasks; ++task)
                    members.push_back({ member.worker, 1 });
            }
            gang.members = std::move(members);
        }
        return state::encodeRecord(perTask).size();
    }

    StateMeasure recordSize(const std::string& name, std::int64_t cells, std::uint64_t seed, double limit)
    {
        auto cell = makeLoadedCell(fleetWorkers / cells, fleetTasks / cells, seed);
        const records::PlacementsRecord record = cell->placements();
        const auto size = static_cast<double>(state::encodeRecord(record).size());
        return { name, size, "bytes", static_cast<double>(bytesWithEntryPerTask(record)), limit };
    }

} // namespace

std::vector<StateMeasure> measureRebuild(std::uint64_t seed)
{
    const double tenthSize = rebuildMilliseconds(fleetWorkers / 10, fleetTasks / 10, seed);
    const double fullSize = rebuildMilliseconds(fleetWorkers, fleetTasks, seed);
    return { { "rebuild_1400_workers_13000_tasks", fullSize, "ms", 10 * tenthSize, 1000 } };
}

std::vector<StateMeasure> measureRecordSizes(std::uint64_t seed)
{
    return {
        recordSize("placements_record_of_4_cells", cellCount, seed, 60000),
        recordSize("placements_record_of_1_cell", 1, seed, 512 * 1024),
    };
}

} // namespace rosemarylink::bench
