#include "DeadlineSelection.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace rosemarylink::jobs::internal {

std::vector<bool> selectDeferred(const std::vector<DeadlineDemand>& demands, CapacityForecast& forecast)
{
    std::vector<bool> deferred(demands.size(), false);
    std::priority_queue<std::pair<double, std::size_t>> largest; // of the deferrable demands that are not deferred
    double demanded = 0;
    for (std::size_t index = 0; index < demands.size(); ++index) {
        const DeadlineDemand& demand = demands[index];
        demanded += demand.cores;
        if (demand.deferrable)
            largest.emplace(demand.cores, index);
        const auto time = static_cast<double>(std::max(Milliseconds(0), demand.latestStart - forecast.now).count());
        const double available = forecast.free + forecast.releasedPerSecond * time / 1000.0;
        while (demanded > available && !largest.empty()) {
            demanded -= largest.top().first;
            deferred[largest.top().second] = true;
            largest.pop();
        }
    }
    forecast.free -= demanded;
    return deferred;
}

} // namespace rosemarylink::jobs::internal
