#include "SimFleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace rosemarylink::jobs {

namespace {

    // The entry of a crashed worker is still registered for this long after its successor's.
    constexpr Milliseconds formerEntryLifetime { 700 };

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

void SimFleet::registerJob(const JobSpec& job) { specs_[job.id] = job; }

const StepSpec* SimFleet::specOf(const TaskKey& key) const
{
    const auto position = specs_.find(key.job);
    return position == specs_.end() ? nullptr : &position->second.steps.at(static_cast<std::size_t>(key.step));
}

void SimFleet::add(const WorkerId& id, const std::string& rack, const Resources& capacity)
{
    WorkerState incarnation;
    incarnation.entry.id = id;
    incarnation.entry.address = id.value();
    incarnation.entry.pool = ServiceId("pool");
    incarnation.entry.rack = rack;
    incarnation.entry.labels = { rack };
    incarnation.entry.capacity = capacity;
    incarnation.entry.startTimeMs = world_.now().count() + 1;
    incarnation.startedAt = world_.now();
    workers_[id] = incarnation;
    setEntry(id, true);
}

void SimFleet::setEntry(const WorkerId& id, bool listed, bool draining)
{
    const WorkerState& incarnation = workers_.at(id);
    if (!listed) {
        store_.remove("workers/" + id.value());
        return;
    }
    const nlohmann::json json = { { "rack", incarnation.entry.rack }, { "born", incarnation.entry.startTimeMs },
        { "address", incarnation.entry.address }, { "draining", draining },
        { "milliCores", incarnation.entry.capacity.milliCores }, { "megabytes", incarnation.entry.capacity.megabytes },
        { "accelerators", incarnation.entry.capacity.accelerators } };
    store_.put("workers/" + id.value(), json.dump());
}

void SimFleet::setCapacity(const WorkerId& id, const Resources& capacity)
{
    WorkerState& incarnation = workers_.at(id);
    incarnation.formerCapacities.emplace_back(world_.now(), incarnation.entry.capacity);
    incarnation.entry.capacity = capacity;
    setEntry(id, true);
}

bool SimFleet::fits(const WorkerState& incarnation, const Resources& used) const
{
    if (used.fitsIn(incarnation.entry.capacity))
        return true;
    for (const auto& [until, capacity] : incarnation.formerCapacities) {
        if (world_.now() - until <= shrinkGrace && used.fitsIn(capacity))
            return true;
    }
    return false;
}

void SimFleet::crash(const WorkerId& id)
{
    WorkerState& incarnation = workers_.at(id);
    incarnation.up = false;
    ++incarnation.number;
    const auto runs = incarnation.runs;
    incarnation.runs.clear();
    incarnation.waiting.clear();
    for (const auto& [key, run] : runs)
        endGang(key, run.run, RunEnd::GangBroken);
}

void SimFleet::restart(const WorkerId& id)
{
    if (workers_.at(id).up)
        crash(id);
    WorkerState fresh;
    fresh.entry = workers_.at(id).entry;
    fresh.entry.startTimeMs = world_.now().count() + 1;
    fresh.startedAt = world_.now();
    fresh.number = workers_.at(id).number + 1;
    workers_[id] = fresh;
    setEntry(id, true);
}

void SimFleet::crashFor(const WorkerId& id, Milliseconds downTime)
{
    if (!workers_.at(id).up)
        return;
    crash(id);
    workers_.at(id).closed = true;
    world_.after(downTime, [this, id, number = workers_.at(id).number] {
        WorkerState& former = workers_.at(id);
        if (former.number != number)
            return;
        if (!returnWithNewId) {
            restart(id);
            return;
        }
        former.replaced = true;
        const WorkerEntry entry = former.entry;
        const WorkerId successor(entry.address + "-" + std::to_string(++returned_));
        add(successor, entry.rack, entry.capacity);
        workers_.at(successor).entry.address = entry.address;
        setEntry(successor, true);
        world_.after(formerEntryLifetime, [this, id] { setEntry(id, false); });
    });
}

Milliseconds SimFleet::clockOf(const WorkerState& incarnation) const
{
    const double elapsed = static_cast<double>((world_.now() - incarnation.startedAt).count());
    return Milliseconds(1000 + static_cast<std::int64_t>(elapsed * options_.clockRate));
}

void SimFleet::extend(WorkerState& incarnation, Milliseconds leaseEnd)
{
    const Milliseconds end = std::min(leaseEnd, clockOf(incarnation) + options_.longestLease);
    if (end <= incarnation.leaseEnd)
        return;
    incarnation.leaseEnd = end;
    // Also while the worker stands still: the platform promises the end of a lease.
    world_.after(onSlowClock(end - clockOf(incarnation)) + Milliseconds(2),
        [this, id = incarnation.entry.id, number = incarnation.number] { checkLease(id, number); });
}

void SimFleet::checkLease(const WorkerId& id, std::uint64_t number)
{
    WorkerState& incarnation = workers_.at(id);
    if (!incarnation.up || incarnation.number != number || clockOf(incarnation) < incarnation.leaseEnd)
        return;
    const auto runs = incarnation.runs;
    for (const auto& [key, run] : runs) {
        if (incarnation.runs.count(key) == 0)
            continue; // ended with another member of its gang
        end(incarnation, key, RunEnd::LeaseExpired, run.checkpoint);
        endGang(key, run.run, RunEnd::GangBroken);
    }
    incarnation.lapsedEnd = incarnation.lastEnd;
}

CommandResponse SimFleet::start(
    WorkerState& incarnation, const StartCommand& order, Milliseconds leaseEnd, std::int64_t fence)
{
    CommandResponse response;
    response.workerClock = clockOf(incarnation);
    const StepSpec* const spec = specOf(order.task);
    if (fence < incarnation.fence) {
        ++staleCommands;
        response.outcome = CommandOutcome::Fenced;
        return response;
    }
    incarnation.fence = fence;
    if (leaseEnd <= clockOf(incarnation)) {
        response.outcome = CommandOutcome::LeaseExpired;
        return response;
    }
    extend(incarnation, leaseEnd);
    const auto present = incarnation.runs.find(order.task);
    if (present != incarnation.runs.end() && present->second.run == order.run && !present->second.stopping) {
        response.outcome = CommandOutcome::Accepted;
        return response;
    }
    if (incarnation.highestRefusedRuns.count(order.task) > 0
        && order.run <= incarnation.highestRefusedRuns.at(order.task)) {
        response.outcome = CommandOutcome::StaleRun;
        return response;
    }
    Resources free = incarnation.entry.capacity;
    for (const auto& [key, run] : incarnation.runs)
        free -= specOf(key)->perTask;
    if (admitsAnything && spec) {
        Resources used = spec->perTask;
        for (const auto& [key, run] : incarnation.runs)
            used += specOf(key)->perTask;
        if (!fits(incarnation, used))
            addViolation(taskName(order.task) + " exceeds the capacity of " + incarnation.entry.id.value());
    }
    if (!spec || (!admitsAnything && !spec->perTask.fitsIn(free))) {
        response.outcome = CommandOutcome::NoCapacity;
        return response;
    }
    for (const auto& [id, other] : workers_) {
        if (other.runs.count(order.task) > 0)
            addViolation("two runs of " + taskName(order.task) + " at the same time");
    }
    const auto forbidden = startsForbiddenFrom.find(incarnation.entry.rack);
    if (forbidden != startsForbiddenFrom.end() && world_.now() >= forbidden->second)
        addViolation(taskName(order.task) + " started in the evacuated domain " + incarnation.entry.rack);
    int ofSameStep = 0;
    for (const auto& [key, present] : incarnation.runs)
        ofSameStep += sameStep(key, order.task) ? 1 : 0;
    if (spec->maximumPerWorker > 0 && ofSameStep >= spec->maximumPerWorker)
        addViolation(taskName(order.task) + " is started beside " + std::to_string(ofSameStep) + " of its step on "
            + incarnation.entry.id.value());
    if (acknowledgedDone_.count(order.task) > 0)
        addViolation(taskName(order.task) + " started after its completion was acknowledged");
    const std::set<EndId>& doneBefore = doneEnds_[order.task];
    startedAfter_.insert(doneBefore.begin(), doneBefore.end());
    if (!order.checkpoint.empty())
        checkpointsUsed.push_back(taskName(order.task) + " " + order.checkpoint);
    Run run { order.task, order.run, world_.now(), !spec->gang, world_.now(), false, order.checkpoint };
    incarnation.runs[order.task] = run;
    ++starts_[order.task.job];
    ++taskStarts_[taskName(order.task)];
    if (spec->gang)
        joinGang(order.task, order.run);
    else
        scheduleEnd(incarnation.entry.id, run);
    if (crashingTasks.count(taskName(order.task)) > 0) {
        if (crashDelay == Milliseconds(0))
            crashFor(incarnation.entry.id, crashDownTime);
        else
            world_.after(crashDelay, [this, id = incarnation.entry.id, number = incarnation.number] {
                if (workers_.at(id).number == number)
                    crashFor(id, crashDownTime);
            });
    }
    response.outcome = CommandOutcome::Accepted;
    return response;
}

void SimFleet::joinGang(const TaskKey& key, int run)
{
    std::vector<std::pair<WorkerId, Run*>> members;
    for (auto& [id, incarnation] : workers_) {
        for (auto& [task, present] : incarnation.runs) {
            if (sameStep(task, key) && present.run == run && !present.stopping)
                members.emplace_back(id, &present);
        }
    }
    if (static_cast<int>(members.size()) == specOf(key)->taskCount) {
        // The gang ends with its slowest member.
        auto slowest = members.front();
        for (auto& [id, member] : members) {
            member->gangComplete = true;
            member->worksSince = world_.now();
            if (durationOn(id, member->task) > durationOn(slowest.first, slowest.second->task))
                slowest = { id, member };
        }
        scheduleEnd(slowest.first, *slowest.second);
        return;
    }
    world_.after(options_.gangTimeout, [this, key, run] {
        for (auto& [id, incarnation] : workers_) {
            const auto present = incarnation.runs.find(key);
            if (present != incarnation.runs.end() && present->second.run == run && !present->second.gangComplete
                && !present->second.stopping)
                end(incarnation, key, RunEnd::GangIncomplete, present->second.checkpoint);
        }
    });
}

Milliseconds SimFleet::durationOn(const WorkerId& id, const TaskKey& task) const
{
    const auto slow = slowness.find(id);
    const double factor = slow == slowness.end() ? 1.0 : slow->second;
    return Milliseconds(static_cast<std::int64_t>(static_cast<double>(specOf(task)->estimate.count()) * factor));
}

int SimFleet::percentOf(const WorkerState& worker, const Run& run) const
{
    if ((slowness.empty() && !reportsProgress) || !run.gangComplete)
        return 0;
    const Milliseconds duration = std::max(Milliseconds(1), durationOn(worker.entry.id, run.task));
    return static_cast<int>(std::min<std::int64_t>(100, (world_.now() - run.worksSince) * 100 / duration));
}

void SimFleet::scheduleEnd(const WorkerId& id, const Run& run)
{
    const StepSpec& spec = *specOf(run.task);
    for (const WorkerId& suspect : faulty) {
        for (const auto& [task, present] : workers_.at(suspect).runs) {
            if (present.run != run.run || !(spec.gang ? sameStep(task, run.task) : suspect == id && task == run.task))
                continue;
            runAfter(suspect, Milliseconds(60), [this, suspect, task = task, number = run.run] {
                WorkerState& incarnation = workers_.at(suspect);
                const auto position = incarnation.runs.find(task);
                if (position == incarnation.runs.end() || position->second.run != number || position->second.stopping)
                    return;
                end(incarnation, task, RunEnd::Failed, "");
                endGang(task, number, RunEnd::GangBroken);
            });
            return;
        }
    }
    runAfter(id, durationOn(id, run.task), [this, id, run, gang = spec.gang] {
        WorkerState& incarnation = workers_.at(id);
        const auto present = incarnation.runs.find(run.task);
        if (present == incarnation.runs.end() || present->second.run != run.run || present->second.stopping)
            return;
        int& failures = failuresLeft[gangName(run.task)];
        const RunEnd how = failures > 0 ? RunEnd::Failed : RunEnd::Done;
        failures = std::max(0, failures - 1);
        end(incarnation, run.task, how, "");
        if (gang)
            endGang(run.task, run.run, how == RunEnd::Done ? RunEnd::Done : RunEnd::GangBroken);
    });
}

// Ends the remaining members of a gang's run.
void SimFleet::endGang(const TaskKey& key, int run, RunEnd how)
{
    const StepSpec* const spec = specOf(key);
    if (!spec || !spec->gang)
        return;
    for (auto& [id, incarnation] : workers_) {
        std::vector<TaskKey> members;
        for (const auto& [task, present] : incarnation.runs) {
            if (sameStep(task, key) && present.run == run && present.gangComplete && !present.stopping)
                members.push_back(task);
        }
        for (const TaskKey& member : members)
            end(incarnation, member, how, incarnation.runs.at(member).checkpoint);
    }
}

void SimFleet::end(WorkerState& incarnation, const TaskKey& key, RunEnd how, const std::string& checkpoint)
{
    // Copied first, because the arguments may refer to the run that is erased.
    const EndedRun ended { ++incarnation.lastEnd, key, incarnation.runs.at(key).run, how, checkpoint };
    incarnation.runs.erase(ended.task);
    incarnation.highestRefusedRuns[ended.task] = std::max(incarnation.highestRefusedRuns[ended.task], ended.run);
    incarnation.ended.push_back(ended);
    if (how == RunEnd::Done)
        doneEnds_[ended.task].emplace(incarnation.entry.id, incarnation.number, ended.number);
    const auto waiting = std::move(incarnation.waiting);
    incarnation.waiting.clear();
    for (const auto& respond : waiting)
        respond();
}

CommandResponse SimFleet::stop(WorkerState& incarnation, const TaskKey& key, int run, std::int64_t fence)
{
    CommandResponse response;
    response.workerClock = clockOf(incarnation);
    if (fence < incarnation.fence) {
        ++staleCommands;
        response.outcome = CommandOutcome::Fenced;
        return response;
    }
    incarnation.fence = fence;
    response.outcome = CommandOutcome::Accepted;
    incarnation.highestRefusedRuns[key] = std::max(incarnation.highestRefusedRuns[key], run);
    const auto present = incarnation.runs.find(key);
    if (present == incarnation.runs.end() || present->second.run > run || present->second.stopping)
        return response;
    present->second.stopping = true;
    const StepSpec& spec = *specOf(key);
    const std::string checkpoint
        = spec.checkpointing ? "saved by run " + std::to_string(present->second.run) + " of " + taskName(key) : "";
    runAfter(incarnation.entry.id, onSlowClock(options_.stopTime),
        [this, id = incarnation.entry.id, number = incarnation.number, key, stopped = present->second.run, checkpoint] {
            WorkerState& later = workers_.at(id);
            const auto still = later.runs.find(key);
            if (!later.up || later.number != number || still == later.runs.end() || still->second.run != stopped)
                return;
            end(later, key, RunEnd::Stopped, checkpoint);
            endGang(key, stopped, RunEnd::GangBroken);
        });
    return response;
}

WorkerReport SimFleet::report(const WorkerState& incarnation) const
{
    WorkerReport report;
    report.workerClock = clockOf(incarnation);
    report.startTimeMs = incarnation.entry.startTimeMs;
    for (const auto& [key, run] : incarnation.runs) {
        if (!run.stopping) // a run that is being stopped is reported only once it has ended
            report.running.push_back({ key, run.run, run.checkpoint, percentOf(incarnation, run) });
    }
    for (const EndedRun& ended : incarnation.ended) {
        if (report.ended.size() < listedEnds)
            report.ended.push_back(ended);
    }
    report.endsComplete = report.ended.size() < listedEnds;
    return report;
}

void SimFleet::acknowledge(WorkerState& incarnation, std::int64_t number)
{
    for (const EndedRun& ended : incarnation.ended) {
        const StepSpec* const spec = specOf(ended.task);
        if (spec && spec->longRunning)
            continue; // must be restarted
        if (ended.number > number || ended.end != RunEnd::Done)
            continue;
        if (ended.number <= incarnation.lapsedEnd)
            continue; // the task may have started again when the lease was over
        acknowledgedDone_.insert(ended.task);
        if (startedAfter_.count({ incarnation.entry.id, incarnation.number, ended.number }) > 0)
            addViolation(taskName(ended.task) + " had started again after run " + std::to_string(ended.run)
                + " was done on " + incarnation.entry.id.value() + ", whose end is acknowledged now");
    }
    std::vector<EndedRun>& ended = incarnation.ended;
    ended.erase(
        std::remove_if(ended.begin(), ended.end(), [number](const EndedRun& one) { return one.number <= number; }),
        ended.end());
}

bool SimFleet::hold(WorkerState& incarnation, Milliseconds leaseEnd, std::int64_t fence, std::int64_t acknowledged)
{
    if (fence < incarnation.fence) {
        ++staleCommands;
        return false;
    }
    incarnation.fence = fence;
    acknowledge(incarnation, acknowledged);
    if (leaseEnd > Milliseconds(0) && leaseEnd > clockOf(incarnation))
        extend(incarnation, leaseEnd);
    return true;
}

int SimFleet::startsOf(const JobId& job) const
{
    const auto position = starts_.find(job);
    return position == starts_.end() ? 0 : position->second;
}

int SimFleet::startsOfTask(const std::string& name) const
{
    const auto position = taskStarts_.find(name);
    return position == taskStarts_.end() ? 0 : position->second;
}

std::vector<WorkerId> SimFleet::ids() const
{
    std::vector<WorkerId> up;
    for (const auto& [id, incarnation] : workers_) {
        if (incarnation.up)
            up.push_back(id);
    }
    return up;
}

int SimFleet::running() const
{
    int count = 0;
    for (const auto& [id, incarnation] : workers_)
        count += static_cast<int>(incarnation.runs.size());
    return count;
}

std::set<JobId> SimFleet::jobsOn(const WorkerId& id) const
{
    std::set<JobId> jobs;
    for (const auto& [task, run] : workers_.at(id).runs)
        jobs.insert(task.job);
    return jobs;
}

} // namespace rosemarylink::jobs
