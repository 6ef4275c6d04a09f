#include "rosemarylink/standin/StandInWorkers.h"

#include <algorithm>
#include <sstream>

namespace rosemarylink::standin {

using platform::TaskState;
using transport::errorResponse;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::jsonResponse;

namespace {

    constexpr Milliseconds defaultRunTime { 1000 };

    bool holdsCapacity(TaskState state)
    {
        return state == TaskState::Reserved || state == TaskState::Running || state == TaskState::Checkpointing;
    }

    bool isExecuting(TaskState state) { return state == TaskState::Running || state == TaskState::Checkpointing; }

    struct TaskPlan {
        Milliseconds runTime = defaultRunTime;
        bool fails = false;
    };

    TaskPlan parseCommand(const std::string& command)
    {
        std::istringstream words(command);
        std::string verb;
        std::int64_t milliseconds = 0;
        TaskPlan plan;
        if (words >> verb >> milliseconds && milliseconds > 0 && (verb == "run" || verb == "fail")) {
            plan.runTime = Milliseconds(milliseconds);
            plan.fails = verb == "fail";
        }
        return plan;
    }

    bool contains(const std::vector<WorkerId>& workers, const WorkerId& id)
    {
        return std::find(workers.begin(), workers.end(), id) != workers.end();
    }

} // namespace

StandInWorkers::StandInWorkers(const Clock& clock, std::vector<model::WorkerSpec> specs, Milliseconds reportLag)
    : clock_(clock)
    , reportLag_(reportLag)
{
    for (model::WorkerSpec& spec : specs) {
        Worker worker;
        worker.spec = std::move(spec);
        const WorkerId id = worker.spec.id;
        workers_.emplace(id, std::move(worker));
    }
}

void StandInWorkers::registerRoutes(transport::HttpRouter& router)
{
    router.add("GET", "/workers",
        [this](const HttpRequest& request) { return transport::withEntityTag(request, listWorkers()); });
    router.add("GET", "/workers/gangs", [this](const HttpRequest&) { return listGangs(); });
    addOrder(router, "reserve", &StandInWorkers::reserve);
    addOrder(router, "start", &StandInWorkers::start);
    addOrder(router, "renew", &StandInWorkers::renew);
    addOrder(router, "release", &StandInWorkers::release);
    addOrder(router, "stop", &StandInWorkers::release);
    addOrder(router, "checkpoint", &StandInWorkers::checkpoint);
    addOrder(router, "throttle", &StandInWorkers::throttle);
    router.add("GET", "/workers/{id}/report",
        [this](const HttpRequest& request) { return handleOrder(request, &StandInWorkers::report); });
}

void StandInWorkers::addOrder(transport::HttpRouter& router, const std::string& name, Order order)
{
    router.add("POST", "/workers/{id}/" + name,
        [this, order](const HttpRequest& request) { return handleOrder(request, order); });
}

void StandInWorkers::setFaults(const platform::Faults& faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    for (auto& [id, worker] : workers_) {
        const bool leaving = contains(faults.leavingWorkers, id);
        worker.spec.state = leaving ? model::ResourceState::Leaving : model::ResourceState::Ready;
        if (!isLost(id))
            continue;
        for (auto& [job, gang] : worker.gangs) {
            if (holdsCapacity(gang.state))
                finish(worker, job, gang, TaskState::Stopped);
        }
        worker.gangs.clear();
    }
}

HttpResponse StandInWorkers::handleOrder(const HttpRequest& request, Order order)
{
    const WorkerId id(request.parameters.at("id"));
    const std::lock_guard lock(mutex_);
    const auto position = workers_.find(id);
    if (position == workers_.end())
        return errorResponse(makeError(ErrorCode::NotFound, "no worker has the id " + id.value()));
    if (isLost(id)) {
        HttpResponse none;
        none.closeWithoutAnswer = true;
        return none;
    }
    advance(position->second);
    const auto result = (this->*order)(position->second, nlohmann::json::parse(request.body, nullptr, false));
    return result ? jsonResponse(result.value()) : errorResponse(result.error());
}

HttpResponse StandInWorkers::listWorkers()
{
    const std::lock_guard lock(mutex_);
    nlohmann::json workers = nlohmann::json::array();
    for (const auto& [id, worker] : workers_)
        workers.push_back(toJson(worker.spec));
    return jsonResponse(workers);
}

HttpResponse StandInWorkers::listGangs()
{
    const std::lock_guard lock(mutex_);
    for (auto& [id, worker] : workers_)
        advance(worker);
    nlohmann::json gangs = nlohmann::json::array();
    for (const auto& [key, gang] : records_)
        gangs.push_back(toJson(gang));
    return jsonResponse(gangs);
}

Result<nlohmann::json> StandInWorkers::reserve(Worker& worker, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(order, platform::parseReserveOrder(body));
    BOOST_OUTCOME_TRYV(checkToken(worker, order.token));
    const auto existing = worker.gangs.find(order.job);
    if (existing != worker.gangs.end() && existing->second.attempt == order.attempt
        && holdsCapacity(existing->second.state))
        return nlohmann::json::object();
    const model::Resources free = freeCapacity(worker);
    const bool fits = order.perTask.cores * order.tasks <= free.cores
        && order.perTask.memory * order.tasks <= free.memory
        && order.perTask.accelerators * order.tasks <= free.accelerators;
    if (!fits || (existing != worker.gangs.end() && holdsCapacity(existing->second.state)))
        return makeError(ErrorCode::ResourceExhausted, "the capacity is not free");
    Gang gang;
    gang.attempt = order.attempt;
    gang.tasks = order.tasks;
    gang.perTask = order.perTask;
    gang.command = order.command;
    gang.leaseExpiresAt = clock_.monotonic() + order.leaseMs;
    worker.gangs[order.job] = gang;
    record(order.job, order.attempt).reserved += order.tasks;
    return nlohmann::json::object();
}

Result<nlohmann::json> StandInWorkers::start(Worker& worker, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(order, platform::parseGangOrder(body));
    BOOST_OUTCOME_TRYV(checkToken(worker, order.token));
    BOOST_OUTCOME_TRY(gang, findGang(worker, order));
    if (gang->state != TaskState::Reserved)
        return nlohmann::json::object();
    platform::GangRecord& gangRecord = record(order.job, order.attempt);
    gangRecord.started += gang->tasks;
    gangRecord.running += gang->tasks;
    gang->state = TaskState::Running;
    gang->completesAt = clock_.monotonic() + parseCommand(gang->command).runTime;
    if (contains(faults_.failingWorkers, worker.spec.id))
        finish(worker, order.job, *gang, TaskState::Failed);
    return nlohmann::json::object();
}

Result<nlohmann::json> StandInWorkers::renew(Worker& worker, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(order, platform::parseRenewOrder(body));
    BOOST_OUTCOME_TRYV(checkToken(worker, order.token));
    for (const JobId& job : order.jobs) {
        const auto position = worker.gangs.find(job);
        if (position != worker.gangs.end())
            position->second.leaseExpiresAt = clock_.monotonic() + order.leaseMs;
    }
    return toJson(laggingReport(worker));
}

Result<nlohmann::json> StandInWorkers::release(Worker& worker, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(order, platform::parseGangOrder(body));
    BOOST_OUTCOME_TRYV(checkToken(worker, order.token));
    const auto position = worker.gangs.find(order.job);
    if (position == worker.gangs.end() || position->second.attempt != order.attempt)
        return nlohmann::json::object();
    if (holdsCapacity(position->second.state))
        finish(worker, order.job, position->second, TaskState::Stopped);
    worker.gangs.erase(position);
    return nlohmann::json::object();
}

Result<nlohmann::json> StandInWorkers::checkpoint(Worker& worker, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(order, platform::parseGangOrder(body));
    BOOST_OUTCOME_TRYV(checkToken(worker, order.token));
    BOOST_OUTCOME_TRYV(findGang(worker, order));
    return nlohmann::json::object();
}

Result<nlohmann::json> StandInWorkers::throttle(Worker& worker, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(order, platform::parseThrottleOrder(body));
    BOOST_OUTCOME_TRYV(checkToken(worker, order.token));
    if (worker.gangs.count(order.job) == 0)
        return makeError(ErrorCode::NotFound, "no such gang on this worker");
    return nlohmann::json::object();
}

Result<nlohmann::json> StandInWorkers::report(Worker& worker, const nlohmann::json&)
{
    return toJson(laggingReport(worker));
}

Status StandInWorkers::checkToken(Worker& worker, FencingToken token)
{
    if (token < worker.highestToken) {
        return makeError(ErrorCode::Fenced,
            "token " + std::to_string(token.value()) + " is lower than " + std::to_string(worker.highestToken.value()));
    }
    worker.highestToken = token;
    return okStatus();
}

Result<StandInWorkers::Gang*> StandInWorkers::findGang(Worker& worker, const platform::GangOrder& order)
{
    const auto position = worker.gangs.find(order.job);
    if (position == worker.gangs.end() || position->second.attempt != order.attempt
        || position->second.state == TaskState::Stopped)
        return makeError(ErrorCode::NotFound, "no such gang on this worker");
    return &position->second;
}

model::Resources StandInWorkers::freeCapacity(const Worker& worker) const
{
    model::Resources free = worker.spec.capacity;
    for (const auto& [job, gang] : worker.gangs) {
        if (!holdsCapacity(gang.state))
            continue;
        free.cores -= gang.perTask.cores * gang.tasks;
        free.memory -= gang.perTask.memory * gang.tasks;
        free.accelerators -= gang.perTask.accelerators * gang.tasks;
    }
    return free;
}

void StandInWorkers::advance(Worker& worker)
{
    const Milliseconds now = clock_.monotonic();
    for (auto& [job, gang] : worker.gangs) {
        if (isExecuting(gang.state) && gang.completesAt <= now && gang.completesAt <= gang.leaseExpiresAt) {
            const bool fails = parseCommand(gang.command).fails;
            finish(worker, job, gang, fails ? TaskState::Failed : TaskState::Completed);
        } else if (holdsCapacity(gang.state) && gang.leaseExpiresAt <= now) {
            finish(worker, job, gang, TaskState::Stopped);
        }
    }
}

void StandInWorkers::finish(Worker&, const JobId& job, Gang& gang, TaskState state)
{
    platform::GangRecord& gangRecord = record(job, gang.attempt);
    if (isExecuting(gang.state))
        gangRecord.running -= gang.tasks;
    gang.state = state;
    if (state == TaskState::Completed)
        gangRecord.completed += gang.tasks;
    else if (state == TaskState::Failed)
        gangRecord.failed += gang.tasks;
    else
        gangRecord.stopped += gang.tasks;
}

const platform::WorkerReport& StandInWorkers::laggingReport(Worker& worker)
{
    const Milliseconds now = clock_.monotonic();
    if (worker.lastReportTime.count() >= 0 && now - worker.lastReportTime < reportLag_)
        return worker.lastReport;
    worker.lastReport = { worker.spec.id, worker.highestToken, {} };
    for (const auto& [job, gang] : worker.gangs)
        worker.lastReport.tasks.push_back({ job, gang.attempt, gang.tasks, gang.state });
    worker.lastReportTime = now;
    return worker.lastReport;
}

bool StandInWorkers::isLost(const WorkerId& id) const { return contains(faults_.lostWorkers, id); }

platform::GangRecord& StandInWorkers::record(const JobId& job, std::int64_t attempt)
{
    platform::GangRecord& gangRecord = records_[{ job, attempt }];
    gangRecord.job = job;
    gangRecord.attempt = attempt;
    return gangRecord;
}

} // namespace rosemarylink::standin
