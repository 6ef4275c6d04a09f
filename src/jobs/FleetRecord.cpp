#include "FleetRecord.h"

#include <nlohmann/json.hpp>

namespace rosemarylink::jobs::internal {

// The ids come first, as in records of earlier versions, which ignore the limits and wait for the longest lease.
std::string fleetRecordText(const FleetRecord& record)
{
    nlohmann::json json = nlohmann::json::array();
    for (const WorkerId& worker : record.workers)
        json.push_back(worker.value());
    for (const auto& [worker, limit] : record.leaseLimits)
        json.push_back({ { "worker", worker.value() }, { "leaseMs", limit.count() } });
    return json.dump();
}

std::optional<FleetRecord> parseFleetRecord(const std::string& text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
    if (!json.is_array())
        return std::nullopt;
    FleetRecord record;
    for (const nlohmann::json& element : json) {
        if (element.is_string())
            record.workers.insert(WorkerId(element.get<std::string>()));
        if (!element.is_object() || !element.contains("worker") || !element["worker"].is_string()
            || !element.contains("leaseMs") || !element["leaseMs"].is_number_integer())
            continue;
        const Milliseconds limit(element["leaseMs"].get<std::int64_t>());
        if (limit >= Milliseconds(0))
            record.leaseLimits[WorkerId(element["worker"].get<std::string>())] = limit;
    }
    return record;
}

} // namespace rosemarylink::jobs::internal
