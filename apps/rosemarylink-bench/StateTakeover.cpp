#include "StateFleet.h"
#include "StateMeasures.h"

#include <algorithm>
#include <stdexcept>

namespace rosemarylink::bench {

namespace {

    constexpr int deaths = 40;
    constexpr int schedulers = 24;

    // Lets the owner die at some point between two renewals and waits for the next one. Returns lease terms.
    double takeoverTime(std::uint64_t seed)
    {
        auto cell = makeCell(50, schedulers, seed);
        submitAll(*cell, makeJobs(200, seed, "job-"));
        std::mt19937_64 random(seed);
        cell->run(Milliseconds(20000 + static_cast<std::int64_t>(random() % 6000)));
        state::fakes::Scheduler* owner = cell->owner();
        owner->process->dead = true;
        const Milliseconds died = cell->clock.monotonic();
        if (!cell->waitForOwner())
            throw std::runtime_error("no instance took the cell over");
        const state::CellTimings timings;
        return static_cast<double>((cell->clock.monotonic() - died).count())
            / static_cast<double>(timings.leaseTtl.count());
    }

} // namespace

std::vector<StateMeasure> measureTakeover(std::uint64_t seed)
{
    std::vector<double> times;
    times.reserve(deaths);
    for (int index = 0; index < deaths; ++index)
        times.push_back(takeoverTime(seed * 1000 + static_cast<std::uint64_t>(index)));
    std::sort(times.begin(), times.end());
    // 8 s, of which the lease takes 6.
    constexpr double limit = 8.0 / 6.0;
    return {
        { "takeover_p50", times[times.size() / 2], "lease terms", 1, limit },
        { "takeover_max", times.back(), "lease terms", 1, limit },
    };
}

} // namespace rosemarylink::bench
