#include "SimFleet.h"

#include <utility>

namespace rosemarylink::jobs {

void SimFleet::standStill(const WorkerId& id, Milliseconds duration, Milliseconds turn)
{
    if (!standstills_.try_emplace(id).second)
        return;
    const auto runAll = [](std::vector<std::function<void()>>& pending) {
        for (const auto& one : std::exchange(pending, {}))
            one();
    };
    world_.after(duration, [this, id, runAll] { runAll(standstills_.at(id).calls); });
    world_.after(duration + turn, [this, id, runAll] {
        Standstill rest = std::move(standstills_.at(id));
        standstills_.erase(id);
        runAll(rest.timers);
        runAll(rest.calls);
    });
}

void SimFleet::onArrival(const WorkerId& id, const std::function<void()>& call)
{
    const auto still = standstills_.find(id);
    if (still == standstills_.end())
        call();
    else
        still->second.calls.push_back(call);
}

void SimFleet::runAfter(const WorkerId& id, Milliseconds delay, const std::function<void()>& timer)
{
    world_.after(delay, [this, id, timer] {
        const auto still = standstills_.find(id);
        if (still == standstills_.end())
            timer();
        else
            still->second.timers.push_back(timer);
    });
}

// The simulated time in which the clock of a worker advances by the duration.
Milliseconds SimFleet::onSlowClock(Milliseconds duration) const
{
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(duration.count()) / options_.clockRate));
}

Milliseconds SimFleet::leaseEnd(const WorkerId& id) const
{
    const WorkerState& incarnation = workers_.at(id);
    return world_.now() + onSlowClock(incarnation.leaseEnd - clockOf(incarnation));
}

} // namespace rosemarylink::jobs
