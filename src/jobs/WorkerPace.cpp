#include "WorkerPace.h"

#include "rosemarylink/base/JsonReader.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    constexpr std::size_t fewestForMedian = 3;

    // Stored paces are whole thousandths, and a worker that stands still is stored as the least of them.
    constexpr double paceUnit = 1000.0;
    constexpr std::int64_t leastStoredPace = 1;

} // namespace

void StepDurations::observe(int index, Milliseconds duration) { durations_[index] = duration; }

bool StepDurations::known() const { return durations_.size() >= fewestForMedian; }

Milliseconds StepDurations::expected(Milliseconds predicted) const
{
    if (!known())
        return predicted;
    std::vector<Milliseconds> sorted;
    sorted.reserve(durations_.size());
    for (const auto& [index, duration] : durations_)
        sorted.push_back(duration);
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle;
}

void WorkerPaces::observe(const WorkerId& worker, double pace, Milliseconds now)
{
    if (pace < slowPace)
        slow_[worker] = { pace, now };
    else
        slow_.erase(worker);
}

const SlowWorker* WorkerPaces::find(const WorkerId& worker, Milliseconds now) const
{
    const auto found = slow_.find(worker);
    return found != slow_.end() && now - found->second.seenAt < slowMemory ? &found->second : nullptr;
}

void WorkerPaces::expire(Milliseconds now)
{
    for (auto entry = slow_.begin(); entry != slow_.end();)
        entry = now - entry->second.seenAt < slowMemory ? std::next(entry) : slow_.erase(entry);
}

std::string WorkerPaces::record(Milliseconds now, Timestamp wallClock) const
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto& [id, worker] : slow_) {
        if (rows.size() == maximumStored)
            break;
        const auto pace = std::max(leastStoredPace, static_cast<std::int64_t>(worker.pace * paceUnit));
        const std::int64_t seenAt = toMilliseconds(wallClock) - (now - worker.seenAt).count();
        rows.push_back({ { "worker", id.value() }, { "pace", pace }, { "seenAt", seenAt } });
    }
    return nlohmann::json { { "slow", rows } }.dump();
}

Status WorkerPaces::load(const std::string& record, Milliseconds now, Timestamp wallClock)
{
    BOOST_OUTCOME_TRY(json, parseJson(record));
    std::map<WorkerId, SlowWorker> loaded;
    try {
        for (const nlohmann::json& row : json.at("slow")) {
            const auto pace = row.at("pace").get<std::int64_t>();
            // The clocks of two instances may differ, so that a time may lie in the future.
            const auto age
                = std::max<std::int64_t>(0, toMilliseconds(wallClock) - row.at("seenAt").get<std::int64_t>());
            if (pace < leastStoredPace || static_cast<double>(pace) >= slowPace * paceUnit
                || loaded.size() == maximumStored)
                return invalidArgument("a pace is out of range, or there are too many");
            loaded[WorkerId(row.at("worker").get<std::string>())]
                = { static_cast<double>(pace) / paceUnit, now - Milliseconds(std::min(age, slowMemory.count())) };
        }
    } catch (const nlohmann::json::exception& problem) {
        return invalidArgument(std::string("malformed record of slow workers: ") + problem.what());
    }
    slow_.insert(loaded.begin(), loaded.end());
    expire(now);
    return okStatus();
}

} // namespace rosemarylink::jobs::internal
