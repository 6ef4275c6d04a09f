#include "SimFleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarylink::jobs {

namespace {

    constexpr Milliseconds oneWay { 2 };
    constexpr Milliseconds orderTimeout { 500 };
    constexpr Milliseconds holdSlack { 700 };

    std::string gangName(const TaskKey& key)
    {
        return key.job.value() + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step);
    }

    bool sameStep(const TaskKey& a, const TaskKey& b)
    {
        return a.job == b.job && a.occurrence == b.occurrence && a.step == b.step;
    }

} // namespace

SimFleet::SimFleet(SimWorld& world, SimStore& store, const Options& options)
    : world_(world)
    , store_(store)
    , options_(options)
{
}

void SimFleet::learn(const JobSpec& job) { specs_[job.id] = job; }

const StepSpec* SimFleet::specOf(const TaskKey& key) const
{
    const auto position = specs_.find(key.job);
    return position == specs_.end() ? nullptr : &position->second.steps.at(static_cast<std::size_t>(key.step));
}

void SimFleet::add(const WorkerId& id, const std::string& rack, const Resources& capacity)
{
    Life life;
    life.entry.id = id;
    life.entry.address = id.value();
    life.entry.pool = ServiceId("pool");
    life.entry.rack = rack;
    life.entry.labels = { rack };
    life.entry.capacity = capacity;
    life.entry.bornMs = world_.now().count() + 1;
    life.startedAt = world_.now();
    workers_[id] = life;
    setEntry(id, true);
}

void SimFleet::setEntry(const WorkerId& id, bool listed, bool draining)
{
    const Life& life = workers_.at(id);
    if (!listed) {
        store_.remove("workers/" + id.value());
        return;
    }
    const nlohmann::json json = { { "rack", life.entry.rack }, { "born", life.entry.bornMs }, { "draining", draining },
        { "milliCores", life.entry.capacity.milliCores }, { "megabytes", life.entry.capacity.megabytes },
        { "accelerators", life.entry.capacity.accelerators } };
    store_.put("workers/" + id.value(), json.dump());
}

void SimFleet::crash(const WorkerId& id)
{
    Life& life = workers_.at(id);
    life.up = false;
    ++life.number;
    const auto runs = life.runs;
    life.runs.clear();
    life.waiting.clear();
    for (const auto& [key, run] : runs)
        endGang(key, run.run, RunEnd::Broken);
}

void SimFleet::restart(const WorkerId& id)
{
    if (workers_.at(id).up)
        crash(id);
    Life fresh;
    fresh.entry = workers_.at(id).entry;
    fresh.entry.bornMs = world_.now().count() + 1;
    fresh.startedAt = world_.now();
    fresh.number = workers_.at(id).number + 1;
    workers_[id] = fresh;
    setEntry(id, true);
}

Milliseconds SimFleet::clockOf(const Life& life) const
{
    const double elapsed = static_cast<double>((world_.now() - life.startedAt).count());
    return Milliseconds(1000 + static_cast<std::int64_t>(elapsed * options_.clockRate));
}

void SimFleet::extend(Life& life, Milliseconds leaseEnd)
{
    const Milliseconds end = std::min(leaseEnd, clockOf(life) + options_.longestLease);
    if (end <= life.leaseEnd)
        return;
    life.leaseEnd = end;
    const double left = static_cast<double>((end - clockOf(life)).count()) / options_.clockRate;
    world_.after(Milliseconds(static_cast<std::int64_t>(left) + 2),
        [this, id = life.entry.id, number = life.number] { checkLease(id, number); });
}

void SimFleet::checkLease(const WorkerId& id, std::uint64_t number)
{
    Life& life = workers_.at(id);
    if (!life.up || life.number != number || clockOf(life) < life.leaseEnd)
        return;
    const auto runs = life.runs;
    for (const auto& [key, run] : runs) {
        end(life, key, RunEnd::Lapsed, run.checkpoint);
        endGang(key, run.run, RunEnd::Broken);
    }
}

OrderAnswer SimFleet::start(Life& life, const StartOrder& order, Milliseconds leaseEnd, std::int64_t fence)
{
    OrderAnswer answer;
    answer.workerClock = clockOf(life);
    const StepSpec* const spec = specOf(order.task);
    if (fence < life.fence) {
        answer.outcome = StartOutcome::Fenced;
        return answer;
    }
    life.fence = fence;
    if (leaseEnd <= clockOf(life)) {
        answer.outcome = StartOutcome::Late;
        return answer;
    }
    extend(life, leaseEnd);
    const auto present = life.runs.find(order.task);
    if (present != life.runs.end() && present->second.run == order.run && !present->second.stopping) {
        answer.outcome = StartOutcome::Started;
        return answer;
    }
    if (life.refusedRuns.count(order.task) > 0 && order.run <= life.refusedRuns.at(order.task)) {
        answer.outcome = StartOutcome::StaleRun;
        return answer;
    }
    Resources free = life.entry.capacity;
    for (const auto& [key, run] : life.runs)
        free -= specOf(key)->each;
    if (!spec || !spec->each.fitsIn(free)) {
        answer.outcome = StartOutcome::NoRoom;
        return answer;
    }
    for (const auto& [id, other] : workers_) {
        if (other.runs.count(order.task) > 0)
            violate("two runs of " + taskName(order.task) + " at the same time");
    }
    if (notedDone_.count(order.task) > 0)
        violate(taskName(order.task) + " started after its end was noted");
    if (!order.checkpoint.empty())
        checkpointsUsed.push_back(taskName(order.task) + " " + order.checkpoint);
    Run run { order.task, order.run, world_.now(), !spec->gang, false, order.checkpoint };
    life.runs[order.task] = run;
    ++starts_[order.task.job];
    if (spec->gang)
        joinGang(order.task, order.run);
    else
        finishLater(life.entry.id, run);
    answer.outcome = StartOutcome::Started;
    return answer;
}

void SimFleet::joinGang(const TaskKey& key, int run)
{
    std::vector<std::pair<WorkerId, Run*>> members;
    for (auto& [id, life] : workers_) {
        for (auto& [task, present] : life.runs) {
            if (sameStep(task, key) && present.run == run && !present.stopping)
                members.emplace_back(id, &present);
        }
    }
    if (static_cast<int>(members.size()) == specOf(key)->taskCount) {
        for (auto& [id, member] : members)
            member->together = true;
        finishLater(members.front().first, *members.front().second);
        return;
    }
    world_.after(options_.gangTimeout, [this, key, run] {
        for (auto& [id, life] : workers_) {
            const auto present = life.runs.find(key);
            if (present != life.runs.end() && present->second.run == run && !present->second.together
                && !present->second.stopping)
                end(life, key, RunEnd::Alone, present->second.checkpoint);
        }
    });
}

void SimFleet::finishLater(const WorkerId& id, const Run& run)
{
    const StepSpec& spec = *specOf(run.task);
    world_.after(spec.estimate, [this, id, run, gang = spec.gang] {
        Life& life = workers_.at(id);
        const auto present = life.runs.find(run.task);
        if (present == life.runs.end() || present->second.run != run.run || present->second.stopping)
            return;
        int& failures = failuresLeft[gangName(run.task)];
        const RunEnd how = failures > 0 ? RunEnd::Failed : RunEnd::Done;
        failures = std::max(0, failures - 1);
        end(life, run.task, how, "");
        if (gang)
            endGang(run.task, run.run, how == RunEnd::Done ? RunEnd::Done : RunEnd::Broken);
    });
}

// Ends the other members of a gang's run.
void SimFleet::endGang(const TaskKey& key, int run, RunEnd how)
{
    const StepSpec* const spec = specOf(key);
    if (!spec || !spec->gang)
        return;
    for (auto& [id, life] : workers_) {
        std::vector<TaskKey> members;
        for (const auto& [task, present] : life.runs) {
            if (sameStep(task, key) && present.run == run && present.together && !present.stopping)
                members.push_back(task);
        }
        for (const TaskKey& member : members)
            end(life, member, how, life.runs.at(member).checkpoint);
    }
}

void SimFleet::end(Life& life, const TaskKey& key, RunEnd how, const std::string& checkpoint)
{
    // The arguments may be parts of the run that is erased.
    const EndedRun ended { ++life.lastEnd, key, life.runs.at(key).run, how, checkpoint };
    life.runs.erase(ended.task);
    life.refusedRuns[ended.task] = std::max(life.refusedRuns[ended.task], ended.run);
    life.ended.push_back(ended);
    const auto waiting = std::move(life.waiting);
    life.waiting.clear();
    for (const auto& answer : waiting)
        answer();
}

OrderAnswer SimFleet::stop(Life& life, const TaskKey& key, int run, std::int64_t fence)
{
    OrderAnswer answer;
    answer.workerClock = clockOf(life);
    if (fence < life.fence) {
        answer.outcome = StartOutcome::Fenced;
        return answer;
    }
    life.fence = fence;
    answer.outcome = StartOutcome::Started;
    life.refusedRuns[key] = std::max(life.refusedRuns[key], run);
    const auto present = life.runs.find(key);
    if (present == life.runs.end() || present->second.run > run || present->second.stopping)
        return answer;
    present->second.stopping = true;
    const StepSpec& spec = *specOf(key);
    const std::string checkpoint
        = spec.checkpointing ? "saved by run " + std::to_string(present->second.run) + " of " + taskName(key) : "";
    world_.after(options_.stopTime - Milliseconds(1),
        [this, id = life.entry.id, number = life.number, key, stopped = present->second.run, checkpoint] {
            Life& later = workers_.at(id);
            const auto still = later.runs.find(key);
            if (!later.up || later.number != number || still == later.runs.end() || still->second.run != stopped)
                return;
            end(later, key, RunEnd::Stopped, checkpoint);
            endGang(key, stopped, RunEnd::Broken);
        });
    return answer;
}

WorkerReport SimFleet::report(const Life& life) const
{
    WorkerReport report;
    report.workerClock = clockOf(life);
    report.bornMs = life.entry.bornMs;
    for (const auto& [key, run] : life.runs) {
        if (!run.stopping) // a run that is being stopped is not listed until its end is
            report.running.push_back({ key, run.run, run.checkpoint, 0 });
    }
    for (const EndedRun& ended : life.ended) {
        if (ended.number > life.acknowledged)
            report.ended.push_back(ended);
    }
    return report;
}

void SimFleet::acknowledge(Life& life, std::int64_t number)
{
    for (const EndedRun& ended : life.ended) {
        const StepSpec* const spec = specOf(ended.task);
        if (spec && spec->lasting)
            continue; // it is to be started again
        if (ended.number > life.acknowledged && ended.number <= number && ended.end == RunEnd::Done)
            notedDone_.insert(ended.task);
    }
    life.acknowledged = std::max(life.acknowledged, number);
}

int SimFleet::startsOf(const JobId& job) const
{
    const auto position = starts_.find(job);
    return position == starts_.end() ? 0 : position->second;
}

int SimFleet::running() const
{
    int count = 0;
    for (const auto& [id, life] : workers_)
        count += static_cast<int>(life.runs.size());
    return count;
}

SimFleet::Life* SimWorkerClient::reach(const WorkerId& id)
{
    const auto position = fleet_.workers_.find(id);
    if (dead || position == fleet_.workers_.end() || !position->second.up || fleet_.silent.count(id) > 0)
        return nullptr;
    return &position->second;
}

void SimWorkerClient::order(const WorkerId& id, const std::function<OrderAnswer(SimFleet::Life&)>& work,
    const std::function<void(const OrderAnswer&)>& handler)
{
    const auto answer = [this, handler](Milliseconds delay, const OrderAnswer& result) {
        world_.after(delay, [this, handler, result] {
            if (!dead)
                handler(result);
        });
    };
    if (!reach(id)) {
        answer(orderTimeout, {});
        return;
    }
    if (std::uniform_real_distribution<>(0, 1)(fleet_.random) < fleet_.lateOrders) {
        answer(orderTimeout, {});
        // The order waits inside the worker, so it goes with the worker's life.
        world_.after(fleet_.lateBy, [this, id, work, number = reach(id)->number] {
            SimFleet::Life& life = fleet_.workers_.at(id);
            if (life.up && life.number == number)
                work(life);
        });
        return;
    }
    world_.after(oneWay, [this, id, work, answer] {
        SimFleet::Life* const life = reach(id);
        if (life)
            answer(oneWay, work(*life));
        else
            answer(orderTimeout, {});
    });
}

void SimWorkerClient::start(const WorkerEntry& worker, const StartOrder& startOrder, Milliseconds leaseEnd,
    FencingToken token, std::function<void(const OrderAnswer&)> handler)
{
    order(
        worker.id,
        [this, startOrder, leaseEnd, token](
            SimFleet::Life& life) { return fleet_.start(life, startOrder, leaseEnd, token.value()); },
        handler);
}

void SimWorkerClient::stop(const WorkerEntry& worker, const TaskKey& task, int run, FencingToken token,
    std::function<void(const OrderAnswer&)> handler)
{
    order(
        worker.id,
        [this, task, run, token](SimFleet::Life& life) { return fleet_.stop(life, task, run, token.value()); },
        handler);
}

void SimWorkerClient::hold(const WorkerEntry& worker, Milliseconds leaseEnd, FencingToken token,
    std::int64_t acknowledged, Milliseconds wait, std::function<void(Result<WorkerReport>)> handler)
{
    const auto answered = std::make_shared<bool>(false);
    const auto once = [this, answered, handler](const Result<WorkerReport>& result) {
        if (!dead && !std::exchange(*answered, true))
            handler(result);
    };
    world_.after(wait + holdSlack, [once] { once(unavailable("no answer", Verdict::MayHaveRun)); });
    world_.after(oneWay, [this, id = worker.id, leaseEnd, token, acknowledged, wait, once] {
        SimFleet::Life* const life = reach(id);
        if (!life)
            return;
        if (token.value() < life->fence) {
            once(makeError(ErrorCode::Fenced, "a later owner has called"));
            return;
        }
        life->fence = token.value();
        fleet_.acknowledge(*life, acknowledged);
        if (leaseEnd > Milliseconds(0) && leaseEnd > fleet_.clockOf(*life))
            fleet_.extend(*life, leaseEnd);
        const auto reply = [this, id, once] {
            if (const SimFleet::Life* const later = reach(id)) {
                const WorkerReport report = fleet_.report(*later);
                world_.after(oneWay, [once, report] { once(report); });
            }
        };
        if (wait == Milliseconds(0) || !fleet_.report(*life).ended.empty()) {
            reply();
            return;
        }
        life->waiting.emplace_back(reply);
        world_.after(wait, reply);
    });
}

} // namespace rosemarylink::jobs
