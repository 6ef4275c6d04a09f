#include "rosemarylink/scheduler/HttpWorkerAgent.h"

#include "rosemarylink/generated/Platform.h"

namespace rosemarylink::scheduler {

namespace {

    // An owner sends orders from a few threads and cannot use more connections.
    constexpr std::size_t maximumIdleConnections = 32;

    state::TaskState convertState(platform::TaskState state)
    {
        switch (state) {
        case platform::TaskState::Reserved:
            return state::TaskState::Reserved;
        case platform::TaskState::Running:
            return state::TaskState::Running;
        case platform::TaskState::Checkpointing:
            return state::TaskState::Checkpointing;
        case platform::TaskState::Completed:
            return state::TaskState::Completed;
        case platform::TaskState::Failed:
            return state::TaskState::Failed;
        case platform::TaskState::Stopped:
            return state::TaskState::Stopped;
        }
        return state::TaskState::Stopped;
    }

    Result<state::WorkerReport> convertReport(const nlohmann::json& json)
    {
        BOOST_OUTCOME_TRY(report, platform::parseWorkerReport(json));
        state::WorkerReport converted { report.worker, report.highestToken, {} };
        for (const platform::TaskReport& task : report.tasks)
            converted.tasks.push_back({ task.job, task.attempt, task.tasks, convertState(task.state) });
        return converted;
    }

    Status toStatus(const Result<nlohmann::json>& result)
    {
        if (!result)
            return result.error();
        return okStatus();
    }

} // namespace

HttpWorkerAgent::HttpWorkerAgent(const std::string& platformAddress, Milliseconds timeout)
    : client_(platformAddress, maximumIdleConnections)
    , platform_(platformAddress, timeout)
    , timeout_(timeout)
{
}

Result<nlohmann::json> HttpWorkerAgent::send(
    const std::string& method, const std::string& path, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(reply, client_.send(method, path, {}, body.is_null() ? std::string() : body.dump(), timeout_));
    if (reply.status != 200)
        return transport::errorFromResponse(reply.status, reply.body);
    auto json = nlohmann::json::parse(reply.body, nullptr, false);
    if (json.is_discarded())
        return unavailable("the platform's answer to " + path + " is not JSON", Verdict::MayHaveRun);
    return json;
}

Result<nlohmann::json> HttpWorkerAgent::order(
    const WorkerId& worker, const std::string& name, const nlohmann::json& body)
{
    return send("POST", "/workers/" + worker.value() + "/" + name, body);
}

Status HttpWorkerAgent::reserve(
    const WorkerId& worker, FencingToken token, const state::WorkerTasks& tasks, Milliseconds leaseTtl)
{
    const platform::ReserveOrder body { token, tasks.job, tasks.attempt, tasks.tasks, tasks.perTask, tasks.command,
        leaseTtl };
    return toStatus(order(worker, "reserve", toJson(body)));
}

Status HttpWorkerAgent::start(const WorkerId& worker, FencingToken token, const JobId& job, std::int64_t attempt)
{
    return toStatus(order(worker, "start", toJson(platform::GangOrder { token, job, attempt })));
}

Result<state::WorkerReport> HttpWorkerAgent::renew(
    const WorkerId& worker, FencingToken token, const std::vector<JobId>& jobs, Milliseconds leaseTtl)
{
    BOOST_OUTCOME_TRY(json, order(worker, "renew", toJson(platform::RenewOrder { token, jobs, leaseTtl })));
    return convertReport(json);
}

Status HttpWorkerAgent::release(const WorkerId& worker, FencingToken token, const JobId& job, std::int64_t attempt)
{
    return toStatus(order(worker, "release", toJson(platform::GangOrder { token, job, attempt })));
}

Status HttpWorkerAgent::checkpoint(const WorkerId& worker, FencingToken token, const JobId& job, std::int64_t attempt)
{
    return toStatus(order(worker, "checkpoint", toJson(platform::GangOrder { token, job, attempt })));
}

Status HttpWorkerAgent::throttle(const WorkerId& worker, FencingToken token, const JobId& job, double share)
{
    return toStatus(order(worker, "throttle", toJson(platform::ThrottleOrder { token, job, share })));
}

Result<state::WorkerReport> HttpWorkerAgent::report(const WorkerId& worker)
{
    BOOST_OUTCOME_TRY(json, send("GET", "/workers/" + worker.value() + "/report", nullptr));
    return convertReport(json);
}

Result<std::vector<model::WorkerSpec>> HttpWorkerAgent::listWorkers() { return platform_.listWorkers(); }

} // namespace rosemarylink::scheduler
