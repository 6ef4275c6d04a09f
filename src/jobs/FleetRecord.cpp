#include "FleetRecord.h"

#include "rosemarylink/base/JsonReader.h"
#include "rosemarylink/base/Log.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    const Logger logger("recovery");

    nlohmann::json toJson(const WorkerId& worker, const SilentWorker& silent)
    {
        nlohmann::json json = { { "worker", worker.value() } };
        if (silent.leaseLimit)
            json["leaseMs"] = silent.leaseLimit->count();
        if (silent.jobs) {
            json["jobs"] = nlohmann::json::array();
            for (const JobId& job : *silent.jobs)
                json["jobs"].push_back(job.value());
        }
        return json;
    }

    SilentWorker silentFromJson(const nlohmann::json& json)
    {
        SilentWorker silent;
        if (json.contains("leaseMs") && json["leaseMs"].is_number_unsigned())
            silent.leaseLimit = Milliseconds(json["leaseMs"].get<std::int64_t>());
        if (json.contains("jobs") && json["jobs"].is_array()) {
            std::set<JobId> jobs;
            for (const nlohmann::json& job : json["jobs"])
                jobs.insert(JobId(job.get<std::string>()));
            silent.jobs = std::move(jobs);
        }
        return silent;
    }

} // namespace

bool FleetRecord::hasLimits() const
{
    return std::any_of(
        silent.begin(), silent.end(), [](const auto& entry) { return entry.second.leaseLimit.has_value(); });
}

void FleetRecord::restrictTo(const FleetRecord& next)
{
    for (auto id = workers.begin(); id != workers.end();) {
        if (!next.allowsRenewal(*id)) {
            silent.erase(*id);
            id = workers.erase(id);
            continue;
        }
        if (!next.allowsWork(*id))
            silent.emplace(*id, SilentWorker());
        ++id;
    }
}

std::string fleetRecordText(const FleetRecord& record)
{
    nlohmann::json json = nlohmann::json::array();
    for (const WorkerId& worker : record.workers)
        json.push_back(worker.value());
    for (const auto& [worker, silent] : record.silent)
        json.push_back(toJson(worker, silent));
    for (const auto& [worker, limit] : record.lateCalls)
        json.push_back({ { "worker", worker.value() }, { "lateCallsMs", limit.count() } });
    return json.dump();
}

std::optional<FleetRecord> parseFleetRecord(const std::string& text)
{
    const auto json = parseJson(text);
    if (!json || !json.value().is_array())
        return std::nullopt;
    FleetRecord record;
    for (const nlohmann::json& element : json.value()) {
        if (element.is_string()) {
            record.workers.insert(WorkerId(element.get<std::string>()));
            continue;
        }
        try {
            const WorkerId worker(element.at("worker").get<std::string>());
            if (element.contains("lateCallsMs"))
                record.lateCalls[worker] = Milliseconds(element["lateCallsMs"].get<std::int64_t>());
            else
                record.silent[worker] = silentFromJson(element);
        } catch (const nlohmann::json::exception& problem) {
            logger.error("Entry of the fleet record is malformed", { { "reason", problem.what() } });
        }
    }
    return record;
}

} // namespace rosemarylink::jobs::internal
