#include "StateFleet.h"
#include "StateMeasures.h"

#include <algorithm>
#include <functional>
#include <stdexcept>

namespace rosemarylink::bench {

namespace {

    using state::fakes::CellHarness;

    constexpr int schedulersPerCell = 12;
    // The store serves several hundred writes and 2,000 reads per second, of which cells may use only a part.
    constexpr double writesPerSecondLimit = 200;
    constexpr double callsPerSecondLimit = 400;

    struct Counts {
        std::int64_t calls = 0;
        std::int64_t writes = 0;
        std::int64_t bytes = 0;
    };

    // All cells of the fleet, advanced in lockstep by whole seconds of simulated time.
    class Fleet {
    public:
        explicit Fleet(std::uint64_t seed)
        {
            for (std::int64_t index = 0; index < cellCount; ++index) {
                const std::uint64_t cellSeed = seed * 100 + static_cast<std::uint64_t>(index);
                cells.push_back(makeCell(fleetWorkers / cellCount, schedulersPerCell, cellSeed));
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

        // Runs for the given number of simulated seconds. Returns the highest number of calls and of writes in one
        // second, and the bytes written in all of them.
        Counts runForPeak(
            int seconds, const std::function<void(CellHarness&)>& beforeEachStep = [](CellHarness&) {})
        {
            Counts peak;
            for (int second = 0; second < seconds; ++second) {
                const Counts before = total();
                for (const auto& cell : cells) {
                    const Milliseconds end = cell->clock.monotonic() + Milliseconds(1000);
                    while (cell->clock.monotonic() < end) {
                        beforeEachStep(*cell);
                        cell->step();
                    }
                }
                const Counts after = total();
                peak.calls = std::max(peak.calls, after.calls - before.calls);
                peak.writes = std::max(peak.writes, after.writes - before.writes);
                peak.bytes += after.bytes - before.bytes;
            }
            return peak;
        }

        std::vector<std::unique_ptr<CellHarness>> cells;
    };

    // Submits 200 one-task jobs to every cell at once, to run in the capacity that the running jobs leave, and
    // sets `gangs` to the number of jobs. Returns the peak over the next 30 s.
    Counts submitBurst(Fleet& fleet, std::uint64_t seed, std::int64_t& gangs)
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
        const Counts counts = fleet.runForPeak(30, [&](CellHarness& cell) {
            auto& jobs = waiting[&cell];
            while (!jobs.empty() && cell.owner()->controller->submit(jobs.back()))
                jobs.pop_back();
        });
        for (const auto& [cell, jobs] : waiting) {
            if (!jobs.empty())
                throw std::runtime_error("a cell did not accept all jobs of the burst within 30 s");
        }
        return counts;
    }

} // namespace

std::vector<StateMeasure> measureStoreCalls(std::uint64_t seed)
{
    Fleet fleet(seed);
    constexpr int steadySeconds = 60;
    const Counts before = fleet.total();
    fleet.runForPeak(steadySeconds);
    const Counts after = fleet.total();
    const double steady = static_cast<double>(after.calls - before.calls) / steadySeconds;

    std::int64_t gangs = 0;
    const Counts burstStart = fleet.total();
    const Counts burstPeak = submitBurst(fleet, seed, gangs);
    const auto burstWrites = static_cast<double>(fleet.total().writes - burstStart.writes);

    for (const auto& cell : fleet.cells)
        cell->owner()->process->crashed = true;
    const Counts recovery = fleet.runForPeak(20);

    const auto setDown = [&](bool down) {
        for (const auto& cell : fleet.cells) {
            for (const auto& scheduler : cell->schedulers)
                scheduler->store->faults.down = down;
        }
    };
    setDown(true);
    const Counts outage = fleet.runForPeak(120);
    setDown(false);
    const Counts afterOutage = fleet.runForPeak(30);

    // Without batching, each job takes one write for its record and one for each phase of its gang.
    const auto unbatched = static_cast<double>(4 * gangs);
    // One call per second from every candidate of every cell, or all candidates calling within the same second.
    constexpr double allCandidates = static_cast<double>(schedulersPerCell * cellCount);
    return {
        { "store_calls_steady", steady, "calls/s", allCandidates, allCandidates },
        { "store_calls_burst_peak", static_cast<double>(burstPeak.calls), "calls/s", 2 * static_cast<double>(gangs),
            callsPerSecondLimit },
        { "store_writes_burst_peak", static_cast<double>(burstPeak.writes), "writes/s", static_cast<double>(gangs),
            writesPerSecondLimit },
        { "store_writes_burst_total", burstWrites, "writes", unbatched, 0.5 * unbatched },
        { "store_bytes_burst", static_cast<double>(burstPeak.bytes) / 30, "bytes/s", 0, std::nullopt },
        { "store_calls_recovery_peak", static_cast<double>(recovery.calls), "calls/s", allCandidates,
            callsPerSecondLimit },
        { "store_calls_outage_peak", static_cast<double>(outage.calls), "calls/s", allCandidates, callsPerSecondLimit },
        { "store_calls_after_outage_peak", static_cast<double>(afterOutage.calls), "calls/s", allCandidates,
            2 * allCandidates },
    };
}

} // namespace rosemarylink::bench
