#include "StateFleet.h"
#include "StateMeasures.h"

#include <algorithm>
#include <functional>
#include <stdexcept>

namespace rosemarylink::bench {

namespace {

    using state::fakes::CellHarness;

    constexpr int schedulers = 12;
    // The store serves several hundred writes and 2,000 reads a second, of which cells may take a part only.
    constexpr double writeLimit = 200;
    constexpr double callLimit = 400;

    struct Counts {
        std::int64_t calls = 0;
        std::int64_t writes = 0;
        std::int64_t bytes = 0;
    };

    // All cells of the fleet, stepped together.
    class Fleet {
    public:
        explicit Fleet(std::uint64_t seed)
        {
            for (std::int64_t index = 0; index < cellCount; ++index) {
                const std::uint64_t cellSeed = seed * 100 + static_cast<std::uint64_t>(index);
                cells.push_back(makeCell(fleetWorkers / cellCount, schedulers, cellSeed));
                submitAll(*cells.back(), makeJobs(fleetTasks / cellCount, cellSeed, "job-"));
                cells.back()->run(Milliseconds(60000));
            }
        }

        Counts total() const
        {
            Counts counts;
            for (const auto& cell : cells) {
                for (const auto& scheduler : cell->schedulers) {
                    counts.calls += scheduler->store->totalCalls();
                    counts.writes += scheduler->store->writes;
                    counts.bytes += scheduler->store->bytesWritten;
                }
            }
            return counts;
        }

        // Runs second by second. Returns the most calls and writes of one second, and the bytes of all of them.
        Counts peak(
            int seconds, const std::function<void(CellHarness&)>& eachStep = [](CellHarness&) {})
        {
            Counts most;
            for (int second = 0; second < seconds; ++second) {
                const Counts before = total();
                for (const auto& cell : cells) {
                    const Milliseconds end = cell->clock.monotonic() + Milliseconds(1000);
                    while (cell->clock.monotonic() < end) {
                        eachStep(*cell);
                        cell->step();
                    }
                }
                const Counts after = total();
                most.calls = std::max(most.calls, after.calls - before.calls);
                most.writes = std::max(most.writes, after.writes - before.writes);
                most.bytes += after.bytes - before.bytes;
            }
            return most;
        }

        std::vector<std::unique_ptr<CellHarness>> cells;
    };

    // Every cell gets many small jobs at once, in the room that the running ones leave.
    Counts burst(Fleet& fleet, std::uint64_t seed, std::int64_t& gangs)
    {
        std::map<CellHarness*, std::vector<model::JobSpec>> waiting;
        gangs = 0;
        for (const auto& cell : fleet.cells) {
            for (int index = 0; index < 200; ++index) {
                auto job = state::fakes::makeJob("burst-" + std::to_string(seed) + "-" + std::to_string(index), 1);
                job.perTask.accelerators = Accelerators(0);
                waiting[cell.get()].push_back(std::move(job));
                ++gangs;
            }
        }
        const Counts counts = fleet.peak(30, [&](CellHarness& cell) {
            auto& jobs = waiting[&cell];
            while (!jobs.empty() && cell.owner()->controller->submit(jobs.back()))
                jobs.pop_back();
        });
        for (const auto& [cell, jobs] : waiting) {
            if (!jobs.empty())
                throw std::runtime_error("the burst was not accepted within 30 s");
        }
        return counts;
    }

} // namespace

std::vector<StateMeasure> measureStoreCalls(std::uint64_t seed)
{
    Fleet fleet(seed);
    constexpr int steadySeconds = 60;
    const Counts before = fleet.total();
    fleet.peak(steadySeconds);
    const Counts after = fleet.total();
    const double steady = static_cast<double>(after.calls - before.calls) / steadySeconds;

    std::int64_t gangs = 0;
    const Counts burstStart = fleet.total();
    const Counts burstPeak = burst(fleet, seed, gangs);
    const auto burstWrites = static_cast<double>(fleet.total().writes - burstStart.writes);

    for (const auto& cell : fleet.cells)
        cell->owner()->process->dead = true;
    const Counts recovery = fleet.peak(20);

    const auto setDown = [&](bool down) {
        for (const auto& cell : fleet.cells) {
            for (const auto& scheduler : cell->schedulers)
                scheduler->store->faults.down = down;
        }
    };
    setDown(true);
    const Counts outage = fleet.peak(120);
    setDown(false);
    const Counts afterOutage = fleet.peak(30);

    // One write for the job's record and one for each phase of its gang, if changes were not batched.
    const auto unbatched = static_cast<double>(4 * gangs);
    // All candidates of all cells at once, or each of them once a second.
    constexpr double herd = static_cast<double>(schedulers * cellCount);
    return {
        { "store_calls_steady", steady, "calls/s", herd, herd },
        { "store_calls_burst_peak", static_cast<double>(burstPeak.calls), "calls/s", 2 * static_cast<double>(gangs),
            callLimit },
        { "store_writes_burst_peak", static_cast<double>(burstPeak.writes), "writes/s", static_cast<double>(gangs),
            writeLimit },
        { "store_writes_burst_total", burstWrites, "writes", unbatched, 0.5 * unbatched },
        { "store_bytes_burst", static_cast<double>(burstPeak.bytes) / 30, "bytes/s", 0, std::nullopt },
        { "store_calls_recovery_peak", static_cast<double>(recovery.calls), "calls/s", herd, callLimit },
        { "store_calls_outage_peak", static_cast<double>(outage.calls), "calls/s", herd, callLimit },
        { "store_calls_after_outage_peak", static_cast<double>(afterOutage.calls), "calls/s", herd, 2 * herd },
    };
}

} // namespace rosemarylink::bench
