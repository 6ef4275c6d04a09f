#include "UrgentHeadroom.h"

#include <algorithm>
#include <cmath>

namespace rosemarylink::jobs::internal {

namespace {

    // Time constant with which the peak of urgent demand decays: several times the duration of an urgent job.
    constexpr Milliseconds peakDecay { 8000 };

    // The same while no urgent work runs or waits. A job that the headroom keeps out must then start within 3 s.
    constexpr Milliseconds idlePeakDecay { 1000 };

    // The headroom is at most this fraction (1/N) of a pool, so that a burst of urgent work does not block other work
    // afterwards.
    constexpr std::int64_t headroomDivisor = 8;

} // namespace

std::int64_t UrgentHeadroom::update(Milliseconds now, std::int64_t demand, std::int64_t capacity)
{
    const double age = static_cast<double>((now - updatedAt_).count());
    const double current = static_cast<double>(demand);
    const double decay = static_cast<double>((demand > 0 ? peakDecay : idlePeakDecay).count());
    updatedAt_ = now;
    peak_ = std::max(current, current + (peak_ - current) * std::exp(-age / decay));
    return std::min(static_cast<std::int64_t>(peak_ - current), capacity / headroomDivisor);
}

} // namespace rosemarylink::jobs::internal
