#include "StateFleet.h"
#include "StateMeasures.h"

#include <algorithm>
#include <stdexcept>

namespace rosemarylink::bench {

namespace {

    constexpr int ownerFailures = 40;
    constexpr int schedulerCount = 24;

    // Kills the owner's process at a random point between two renewals and waits for the next owner. Returns the time
    // in lease terms.
    double takeoverTimeInLeaseTerms(std::uint64_t seed)
    {
        auto cell = makeCell(50, schedulerCount, seed);
        submitAll(*cell, makeJobs(200, seed, "job-"));
        std::mt19937_64 random(seed);
        cell->run(Milliseconds(20000 + static_cast<std::int64_t>(random() % 6000)));
        state::fakes::Scheduler* owner = cell->owner();
        owner->process->crashed = true;
        const Milliseconds failedAt = cell->clock.monotonic();
        if (!cell->waitForOwner())
            throw std::runtime_error("no scheduler took over the cell within 60 s");
        const state::CellTimings timings;
        return static_cast<double>((cell->clock.monotonic() - failedAt).count())
            / static_cast<double>(timings.leaseTtl.count());
    }

} // namespace

std::vector<StateMeasure> measureTakeover(std::uint64_t seed)
{
    std::vector<double> times;
    times.reserve(ownerFailures);
    for (int index = 0; index < ownerFailures; ++index)
        times.push_back(takeoverTimeInLeaseTerms(seed * 1000 + static_cast<std::uint64_t>(index)));
    std::sort(times.begin(), times.end());
    // A takeover may take 8 s, of which 6 s pass until the lease expires.
    constexpr double limit = 8.0 / 6.0;
    return {
        { "takeover_p50", times[times.size() / 2], "lease terms", 1, limit },
        { "takeover_max", times.back(), "lease terms", 1, limit },
    };
}

} // namespace rosemarylink::bench
