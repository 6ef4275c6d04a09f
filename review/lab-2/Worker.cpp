#include "Worker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <thread>
#include <utility>

namespace lab {

namespace {

    using Json = nlohmann::json;

    constexpr std::int64_t holdMaxMs = 6000;
    constexpr std::int64_t stopMs = 300; // the platform allows 900
    constexpr std::int64_t beatMs = 1500;
    constexpr std::int64_t missedBeats = 3;
    constexpr std::int64_t tickMs = 5;
    constexpr std::int64_t gangTimeoutMs = 3000;
    constexpr std::int64_t forever = 1000000000;
    constexpr std::size_t listedEnds = 500;

    // The number behind the name in the payload.
    int numberIn(const std::string& payload, const std::string& name, int otherwise)
    {
        const std::size_t at = payload.find(name + "=");
        return at == std::string::npos ? otherwise : std::stoi(payload.substr(at + name.size() + 1));
    }

    std::string jobOf(const std::string& task) { return task.substr(0, task.find('.')); }

} // namespace

Record::Record(const std::string& path)
    : file_(path)
{
}

void Record::add(const std::string& line)
{
    const std::lock_guard lock(mutex_);
    std::array<char, 32> time {};
    std::snprintf(time.data(), time.size(), "%8.3f s  ", static_cast<double>(now()) / 1000.0);
    file_ << time.data() << line << std::endl;
}

void RunLog::noteStart(const RunNote& note)
{
    const std::lock_guard lock(mutex_);
    notes_.push_back(note);
}

void RunLog::noteEnd(const std::string& task, int run, const std::string& worker, const std::string& end)
{
    const std::lock_guard lock(mutex_);
    for (RunNote& note : notes_) {
        if (note.task != task || note.run != run || note.worker != worker || note.endedAt != 0)
            continue;
        note.endedAt = monotonicMs();
        note.end = end;
    }
}

std::vector<RunNote> RunLog::all()
{
    const std::lock_guard lock(mutex_);
    return notes_;
}

bool RunLog::hasBegun(const std::string& job)
{
    const std::lock_guard lock(mutex_);
    return std::any_of(notes_.begin(), notes_.end(), [&](const RunNote& note) { return jobOf(note.task) == job; });
}

bool RunLog::isRunning(const std::string& job)
{
    const std::lock_guard lock(mutex_);
    return std::any_of(notes_.begin(), notes_.end(),
        [&](const RunNote& note) { return jobOf(note.task) == job && note.endedAt == 0; });
}

Worker::Worker(
    Store& store, Record& record, RunLog& log, std::string id, std::vector<std::string> labels, std::string service)
    : store_(store)
    , record_(record)
    , log_(log)
    , id_(std::move(id))
    , labels_(std::move(labels))
    , service_(std::move(service))
    , server_([this](const Request& request) { return handle(request); })
{
    beat();
    std::thread([this] {
        while (true) {
            sleepMs(tickMs);
            tick();
        }
    }).detach();
    std::thread([this] {
        while (!dark_) {
            sleepMs(beatMs);
            if (!dark_ && clock() >= 0)
                beat();
        }
        sleepMs(beatMs * missedBeats);
        store_.remove("servers/" + id_);
    }).detach();
}

void Worker::beat()
{
    const Json entry = { { "Service", service_ }, { "Address", server_.address() }, { "Zone", "zone-a" },
        { "Version", "v1" }, { "Slots", 8 }, { "State", "ready" }, { "ColdRemainingMs", 0 },
        { "Capacity", { { "Cpu", 32000 }, { "RequestedMb", 65536 }, { "Gpu", accelerators } } }, { "Labels", labels_ },
        { "ClockMs", clock() }, { "Sequence", ++sequence_ }, { "born", born_ } };
    store_.put("servers/" + id_, entry.dump());
}

void Worker::setCut(bool cut)
{
    record_.add("worker " + id_ + (cut ? " is cut off from all instances" : " is reachable again"));
    server_.setCut(cut);
}

void Worker::losePower()
{
    server_.setCut(true);
    dark_ = true;
    const std::lock_guard lock(mutex_);
    record_.add("worker " + id_ + " loses power for good, with " + std::to_string(runs_.size()) + " runs");
    for (const auto& [task, run] : runs_)
        log_.noteEnd(task, run.number, id_, "crash");
    runs_.clear();
}

void Worker::finish(const std::string& task, const std::string& how)
{
    const auto run = runs_.find(task);
    const int number = run->second.number;
    ends_.push_back({ ++lastEnd_, task, number, how });
    over_[task] = std::max(over_[task], number);
    runs_.erase(run);
    log_.noteEnd(task, number, id_, how);
    record_.add("run " + task + " run " + std::to_string(number) + " on " + id_ + " has ended: " + how);
    ended_.notify_all();
}

// The members of a gang work from the moment at which all of them are present.
void Worker::beginGangs()
{
    for (auto& [task, run] : runs_) {
        const std::string step = task.substr(0, task.rfind('.'));
        const auto isMember = [&step, &run = run](const auto& other) {
            return other.first.substr(0, other.first.rfind('.')) == step && other.second.number == run.number
                && other.second.stoppedAt == 0;
        };
        if (run.endsAt == 0 && std::count_if(runs_.begin(), runs_.end(), isMember) >= run.gang)
            run.endsAt = clock() + run.workMs;
    }
}

void Worker::tick()
{
    const std::lock_guard lock(mutex_);
    if (dark_)
        return;
    beginGangs();
    std::vector<std::pair<std::string, std::string>> over;
    for (const auto& [task, run] : runs_) {
        if (clock() >= deadline_)
            over.emplace_back(task, "lapsed");
        else if (run.stoppedAt != 0 && clock() >= run.stoppedAt)
            over.emplace_back(task, "stopped");
        else if (run.stoppedAt == 0 && run.endsAt == 0 && clock() >= run.startedAt + gangTimeoutMs)
            over.emplace_back(task, "alone");
        else if (run.stoppedAt == 0 && run.endsAt != 0 && clock() >= run.endsAt)
            over.emplace_back(task, run.fails ? "failed" : "done");
    }
    for (const auto& [task, how] : over)
        finish(task, how);
}

Response Worker::refusal(const std::string& reason) const
{
    return { 409, Json({ { "ClockMs", clock() }, { "Reason", reason } }).dump() };
}

bool Worker::takeFence(std::int64_t token)
{
    if (token < fence_)
        return false;
    fence_ = token;
    return true;
}

Response Worker::handle(const Request& request)
{
    const auto expected = request.headers.find("x-expected-instance");
    if (expected != request.headers.end() && expected->second != id_)
        return { 421, "{}" };
    if (request.path == "/rosemarylink/run-start")
        return start(request.body);
    if (request.path == "/rosemarylink/run-stop")
        return stop(request.body);
    if (request.path == "/rosemarylink/hold")
        return hold(request.body);
    return { 200, "{}" };
}

void Worker::crash(std::int64_t downMs)
{
    server_.setCut(true);
    {
        const std::lock_guard lock(mutex_);
        record_.add("worker " + id_ + " crashes with " + std::to_string(runs_.size()) + " runs");
        for (const auto& [task, run] : runs_)
            log_.noteEnd(task, run.number, id_, "crash");
        ++life_;
        unansweredSince_ = 0;
        runs_.clear();
        over_.clear();
        ends_.clear();
        lastEnd_ = 0;
        fence_ = 0;
        deadline_ = 0;
        sequence_ = 0;
        bootedAt_ = monotonicMs() + downMs;
        born_ = wallMs() + downMs;
    }
    std::thread([this, downMs] {
        sleepMs(downMs);
        beat();
        server_.setCut(false);
        record_.add("worker " + id_ + " has started again");
    }).detach();
}

void Worker::leaveUnanswered(const std::string& job, std::int64_t delayMs)
{
    const std::lock_guard lock(mutex_);
    unansweredJob_ = job;
    unansweredDelayMs_ = delayMs;
}

Response Worker::start(const std::string& text)
{
    const std::string task = Json::parse(text).at("Task");
    {
        const std::lock_guard lock(mutex_);
        if (!unansweredJob_.empty() && jobOf(task) == unansweredJob_) {
            if (unansweredSince_ == 0)
                unansweredSince_ = monotonicMs();
            record_.add("start of " + task + " on " + id_ + " is left unanswered");
            std::thread([this, text, life = life_.load(), delay = unansweredDelayMs_] {
                sleepMs(delay);
                if (life == life_)
                    carryOutStart(text);
            }).detach();
            return { 0, "" };
        }
    }
    return carryOutStart(text);
}

Response Worker::carryOutStart(const std::string& text)
{
    const Json body = Json::parse(text);
    const std::lock_guard lock(mutex_);
    const std::string task = body.at("Task");
    const int number = body.at("Run");
    if (!takeFence(body.value("FencingToken", std::int64_t(0))))
        return refusal("fence");
    const std::int64_t deadline = body.at("DeadlineMs");
    if (deadline <= clock())
        return refusal("late");
    deadline_ = std::max(deadline_, std::min(deadline, clock() + holdMaxMs));
    const auto present = runs_.find(task);
    if (present != runs_.end() && present->second.number == number)
        return { 200, Json({ { "ClockMs", clock() } }).dump() };
    if (present != runs_.end() || (over_.count(task) > 0 && over_[task] >= number))
        return refusal("old");
    const std::string payload = body.at("Spec");
    int used = 0;
    for (const auto& [other, run] : runs_)
        used += run.accelerators;
    const int needed = numberIn(payload, "gpu", 1);
    if (used + needed > accelerators)
        return refusal("room");
    const int index = std::stoi(task.substr(task.rfind('.') + 1));
    const bool fails = number == 1
        && (payload.find("fail-first") != std::string::npos || numberIn(payload, "fail-index", -1) == index);
    const bool lasts = !fails && payload.find("lasting") != std::string::npos;
    runs_[task] = { number, needed, numberIn(payload, "gang", 1), lasts ? forever : numberIn(payload, "work", 1000),
        fails, clock(), 0, 0 };
    log_.noteStart({ task, number, id_, monotonicMs(), 0, "" });
    record_.add("run " + task + " run " + std::to_string(number) + " starts on " + id_);
    return { 200, Json({ { "ClockMs", clock() } }).dump() };
}

Response Worker::stop(const std::string& text)
{
    const Json body = Json::parse(text);
    const std::lock_guard lock(mutex_);
    if (!takeFence(body.value("FencingToken", std::int64_t(0))))
        return refusal("fence");
    const std::string task = body.at("Task");
    const int number = body.at("Run");
    over_[task] = std::max(over_[task], number);
    const auto run = runs_.find(task);
    if (run != runs_.end() && run->second.number <= number && run->second.stoppedAt == 0)
        run->second.stoppedAt = clock() + stopMs;
    return { 200, Json({ { "ClockMs", clock() } }).dump() };
}

Response Worker::hold(const std::string& text)
{
    const Json body = Json::parse(text);
    std::unique_lock lock(mutex_);
    if (!takeFence(body.value("FencingToken", std::int64_t(0))))
        return refusal("fence");
    const std::int64_t deadline = body.value("DeadlineMs", std::int64_t(0));
    deadline_ = std::max(deadline_, std::min(deadline, clock() + holdMaxMs));
    const std::int64_t acknowledged = body.value("AckCursor", std::int64_t(0));
    ends_.erase(std::remove_if(ends_.begin(), ends_.end(), [&](const End& end) { return end.number <= acknowledged; }),
        ends_.end());
    ended_.wait_for(
        lock, std::chrono::milliseconds(body.value("WaitMs", std::int64_t(0))), [this] { return !ends_.empty(); });
    Json running = Json::array();
    for (const auto& [task, run] : runs_) {
        if (run.stoppedAt == 0)
            running.push_back({ task, run.number, "", 50 });
    }
    Json ended = Json::array();
    for (const End& end : ends_) {
        if (ended.size() < listedEnds)
            ended.push_back({ end.number, end.task, end.run, end.how, "" });
    }
    return { 200,
        Json({ { "ClockMs", clock() }, { "born", born_ }, { "Running", running }, { "Ended", ended } }).dump() };
}

} // namespace lab
