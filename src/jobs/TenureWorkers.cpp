#include "Tenure.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // A call that waits for an end also renews the lease. The longest wait that the platform allows is 2 s, a third of
    // the lease, so that two calls may be lost before the lease is over.
    constexpr Milliseconds holdWait { 1900 };

    // While the store cannot take ends, workers are still held, without waiting for ends that are listed already.
    constexpr Milliseconds unstoredHoldInterval { 1000 };

    constexpr Milliseconds retryDelay { 250 };

    // The platform's workers may carry out an order up to this much later.
    constexpr Milliseconds longestOrderDelay { 12000 };

    // A worker takes longer than this to start again.
    constexpr Milliseconds sameLifeFor { 250 };

    // Added to the end of a lease for an order that is on its way.
    constexpr Milliseconds leaseSlack { 250 };

    // Added to the longest time that a stop takes before a run that is not listed counts as gone.
    constexpr Milliseconds stopSlack { 60 };

    // A worker's clock may be this much slower than ours.
    constexpr double slowClock = 0.98;

    const Logger logger("workers");

    Milliseconds scaled(Milliseconds time, double factor)
    {
        return Milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
    }

} // namespace

Resources Worker::taken(bool stoppingOnly) const
{
    Resources sum;
    for (const auto& [key, run] : runs) {
        if (!stoppingOnly || run.phase == TaskPhase::Stopping)
            sum += run.room;
    }
    return sum;
}

Milliseconds Tenure::leaseEndFor(const Worker& worker) const
{
    return *worker.clock + (now() - worker.clockAt) + owner_.limits_.workerLease;
}

// Notes that a lease may have been extended to that time on the worker's clock.
void Tenure::extendLease(Worker& worker, Milliseconds leaseEnd)
{
    const Milliseconds remaining = leaseEnd - *worker.clock;
    worker.leaseOverAt
        = std::max(worker.leaseOverAt, worker.clockAt + scaled(remaining, 1.0 / slowClock) + Milliseconds(1));
}

void Tenure::takeClock(Worker& worker, Milliseconds clock)
{
    if (clock.count() == 0 || (worker.clock && clock < *worker.clock))
        return;
    worker.clock = clock;
    worker.clockAt = now();
}

void Tenure::holdSoon(const WorkerId& id, Milliseconds delay)
{
    later(delay, [this, id] {
        Worker* const worker = find(id);
        if (worker && !worker->holding)
            hold(*worker);
    });
}

// Asks for the list after the delay even if an earlier call still waits for an end.
void Tenure::holdAgain(const WorkerId& id, Milliseconds delay)
{
    later(delay, [this, id] {
        Worker* const worker = find(id);
        if (!worker)
            return;
        worker->holding = false;
        worker->listNow = true;
        hold(*worker);
    });
}

void Tenure::hold(Worker& worker)
{
    if (worker.holding || !owner_.ownership_.held())
        return;
    const std::uint64_t number = ++worker.lastHold;
    worker.holding = true;
    const WorkerId id = worker.entry.id;
    const std::uint64_t life = worker.life;
    const Milliseconds sentAt = now();
    // The cursor is sent only until the worker has taken it: a worker that has started again counts its ends anew, and
    // an old cursor would make it forget ends that nobody has seen.
    // For the same reason the worker must have answered a moment ago; otherwise its list is asked for first.
    const bool pending = acknowledgeable(worker) > worker.acknowledged;
    const bool surelySameLife = now() - worker.heardAt <= sameLifeFor;
    const std::int64_t cursor = pending && surelySameLife ? acknowledgeable(worker) : 0;
    worker.listNow = worker.listNow || (pending && !surelySameLife);
    const bool renews = worker.clock && !worker.runs.empty();
    const Milliseconds leaseEnd = renews ? leaseEndFor(worker) : Milliseconds(0);
    if (renews)
        extendLease(worker, leaseEnd);
    const bool waits = renews && worker.unstored.empty() && !std::exchange(worker.listNow, false);
    const Milliseconds wait = waits ? holdWait : Milliseconds(0);
    owner_.workers_.hold(worker.entry, leaseEnd, token_, cursor, wait,
        guarded([this, id, life, sentAt, leaseEnd, number, cursor](const Result<WorkerReport>& report) {
            Worker* const asked = find(id);
            if (!asked || asked->life != life)
                return;
            const bool newest = number == asked->lastHold;
            if (newest)
                asked->holding = false;
            if (report && (report.value().bornMs == 0 || report.value().bornMs == asked->entry.bornMs))
                asked->acknowledged = std::max(asked->acknowledged, cursor);
            if (report)
                takeReport(id, sentAt, leaseEnd, report.value(), newest);
            else if (newest)
                takeHoldFailure(id, report.error());
        }));
}

void Tenure::takeHoldFailure(const WorkerId& id, const Error& error)
{
    Worker& worker = *find(id);
    if (error.code == ErrorCode::Fenced) {
        owner_.ownership_.reportConflict();
        return;
    }
    if (!worker.unansweredSince) {
        worker.unansweredSince = now();
        owner_.metrics_.silentWorkers.add();
        logger.warning("Worker does not answer",
            { { "worker", id }, { "runs", worker.runs.size() }, { "listed", worker.listed },
                { "leaseOverInMs", (worker.leaseOverAt - now()).count() }, { "reason", error.message } });
    }
    // A closed port and no entry: the process has gone, and what ran there with it.
    if (error.verdict == Verdict::NotRun && error.code == ErrorCode::NotFound)
        loseRuns(worker, "it runs under another identity");
    else if (error.verdict == Verdict::NotRun && !worker.listed)
        loseRuns(worker, "it has left");
    if (worker.listed || !worker.runs.empty())
        holdSoon(id, retryDelay);
}

void Tenure::takeReport(
    const WorkerId& id, Milliseconds sentAt, Milliseconds leaseEnd, const WorkerReport& report, bool newest)
{
    Worker& worker = *find(id);
    if (report.bornMs != 0 && worker.entry.bornMs != 0 && report.bornMs != worker.entry.bornMs) {
        beginNewLife(worker);
        worker.entry.bornMs = report.bornMs;
    }
    if (report.bornMs != 0)
        worker.entry.bornMs = report.bornMs;
    if (worker.unansweredSince) {
        logger.info(
            "Worker answers again", { { "worker", id }, { "silentMs", (now() - *worker.unansweredSince).count() } });
        worker.unansweredSince.reset();
    }
    worker.heardAt = now();
    takeClock(worker, report.workerClock);
    // What runs there may have a lease of an earlier owner, as long as the worker grants.
    if (!worker.firstAnswerAt)
        extendLease(worker, *worker.clock + owner_.limits_.workerLease);
    if (leaseEnd > Milliseconds(0))
        extendLease(worker, leaseEnd);
    for (const EndedRun& ended : report.ended)
        takeEnd(worker, ended);
    for (const RunningRun& running : report.running)
        takeRunning(worker, running, sentAt);
    settleAbsent(worker, report, sentAt);
    if (!worker.known)
        takeFirstAnswers(worker, sentAt);
    planSoon();
    if (!newest)
        return;
    if (!worker.unstored.empty()) {
        flushSoon(Milliseconds(2));
        holdSoon(id, unstoredHoldInterval); // sooner when the ends are stored
    } else if (!worker.runs.empty() || worker.acknowledged < worker.seenEnd) {
        hold(worker);
    }
}

// A list shows neither the run nor its end while a run is being stopped. A worker that an earlier owner may have used
// is therefore known only by a list that was asked for when every stop of that owner has ended.
void Tenure::takeFirstAnswers(Worker& worker, Milliseconds sentAt)
{
    const Milliseconds stopsOver = owner_.limits_.stopTime + stopSlack;
    if (!worker.firstAnswerAt) {
        worker.firstAnswerAt = now();
        if (unheardFleet_.count(worker.entry.id) > 0) {
            holdAgain(worker.entry.id, stopsOver);
            return;
        }
    } else if (sentAt < *worker.firstAnswerAt + stopsOver) {
        return;
    }
    worker.known = true;
    unheardFleet_.erase(worker.entry.id);
    checkRecovered();
}

void Tenure::takeRunning(Worker& worker, const RunningRun& running, Milliseconds sentAt)
{
    const RunKey key { running.task, running.run };
    const auto position = worker.runs.find(key);
    Job* const job = find(running.task.job);
    if (position != worker.runs.end()) {
        RunOnWorker& run = position->second;
        if (!run.confirmedAt)
            run.confirmedAt = sentAt;
        run.unsettled = false;
        if (run.phase == TaskPhase::Starting)
            run.phase = TaskPhase::Running;
        if (!job || !job->contains(running.task))
            return;
        TaskProgress& task = job->task(running.task);
        if (task.run != running.run || task.worker != worker.entry.id)
            return;
        if (task.phase == TaskPhase::Starting)
            task.phase = TaskPhase::Running;
        else if (task.phase == TaskPhase::Stopping && run.phase != TaskPhase::Stopping)
            stopRun(worker, key);
        task.percent = running.percent;
        if (!running.checkpoint.empty())
            job->checkpoint(running.task) = running.checkpoint;
        return;
    }
    if (job && job->mayRunElsewhere && !isFinal(job->state) && job->contains(running.task)) {
        adopt(worker, *job, running);
        return;
    }
    // Nobody here asked for it, or not any more: an order of an earlier time that arrived late.
    logger.warning("Worker runs what is not wanted there",
        { { "worker", worker.entry.id }, { "task", taskName(running.task) }, { "run", running.run } });
    RunOnWorker run;
    if (job && job->contains(running.task))
        run.room = job->stepSpec(running.task).each;
    run.phase = TaskPhase::Stopping;
    run.confirmedAt = sentAt;
    worker.runs.emplace(key, run);
    stopRun(worker, key);
}

void Tenure::adopt(Worker& worker, Job& job, const RunningRun& running)
{
    TaskProgress& task = job.task(running.task);
    RunOnWorker run;
    run.room = job.stepSpec(running.task).each;
    run.phase = TaskPhase::Running;
    run.confirmedAt = now();
    const RunKey key { running.task, running.run };
    worker.runs.emplace(key, run);
    const bool wanted = task.phase == TaskPhase::Waiting && running.run >= task.run;
    if (!wanted) {
        stopRun(worker, key);
        return;
    }
    task.phase = TaskPhase::Running;
    task.run = running.run;
    task.worker = worker.entry.id;
    task.startedAt = now();
    task.percent = running.percent;
    if (!running.checkpoint.empty())
        job.checkpoint(running.task) = running.checkpoint;
    if (job.state == JobState::Queued) {
        job.state = JobState::Active;
        touch(job, /*urgent=*/false);
    }
}

// Settles the runs that a whole list does not show: they are not there if they should have been when it was asked for.
void Tenure::settleAbsent(Worker& worker, const WorkerReport& report, Milliseconds sentAt)
{
    std::set<RunKey> present;
    for (const RunningRun& running : report.running)
        present.insert({ running.task, running.run });
    std::vector<std::pair<RunKey, RunEnd>> absent;
    for (const auto& [key, run] : worker.runs) {
        if (present.count(key) > 0)
            continue;
        if (run.stopTakenAt && *run.stopTakenAt + owner_.limits_.stopTime + stopSlack <= sentAt)
            absent.emplace_back(key, RunEnd::Stopped);
        else if (run.confirmedAt && *run.confirmedAt < sentAt && run.phase != TaskPhase::Stopping)
            absent.emplace_back(key, RunEnd::Lapsed);
    }
    for (const auto& [key, end] : absent) {
        logger.info("Run is not on its worker any more",
            { { "worker", worker.entry.id }, { "task", taskName(key.first) }, { "run", key.second } });
        worker.runs.erase(key);
        if (Job* const job = find(key.first.job))
            endRun(*job, key.first, key.second, end, "", worker.entry.id);
    }
}

// The worker has started again: it has seen no token, its counts begin anew, and what ran there is gone. An order that
// was on its way may have reached the new life, though, so that only its list tells what is there.
void Tenure::beginNewLife(Worker& worker)
{
    logger.info("Worker has started again", { { "worker", worker.entry.id }, { "runs", worker.runs.size() } });
    ++worker.life;
    worker.holding = false;
    worker.known = false;
    worker.firstAnswerAt.reset();
    worker.clock.reset();
    worker.seenEnd = 0;
    worker.acknowledged = 0;
    worker.unstored.clear();
    worker.recentFailures.clear();
    std::vector<RunKey> unconfirmed;
    for (auto& [key, run] : worker.runs) {
        run.stopTakenAt.reset(); // by the earlier life
        if (run.confirmedAt)
            run.phase = TaskPhase::Running;
        else
            unconfirmed.push_back(key);
    }
    // The lease time of such an order is on the clock of the earlier life and does not make it late in this one.
    const Milliseconds lateness = unconfirmed.empty() ? Milliseconds(0) : longestOrderDelay;
    worker.leaseOverAt = now() + lateness + scaled(owner_.limits_.workerLease, 1.0 / slowClock) + leaseSlack;
    for (const RunKey& key : unconfirmed) {
        Job* const job = find(key.first.job);
        if (job && job->contains(key.first) && job->task(key.first).run == key.second
            && job->task(key.first).worker == worker.entry.id)
            stopTask(*job, key.first);
        stopRun(worker, key);
    }
    holdSoon(worker.entry.id, Milliseconds(0));
}

void Tenure::loseRuns(Worker& worker, const std::string& reason)
{
    if (worker.runs.empty())
        return;
    logger.warning("Runs of a worker are lost",
        { { "worker", worker.entry.id }, { "runs", worker.runs.size() }, { "reason", reason } });
    owner_.metrics_.lostRuns.add(static_cast<std::int64_t>(worker.runs.size()));
    const auto runs = std::move(worker.runs);
    worker.runs.clear();
    for (const auto& [key, run] : runs) {
        if (Job* const job = find(key.first.job))
            endRun(*job, key.first, key.second, RunEnd::Lapsed, "", worker.entry.id);
    }
    planSoon();
}

// The highest end up to which all are stored.
std::int64_t Tenure::acknowledgeable(Worker& worker)
{
    while (!worker.unstored.empty()) {
        const UnstoredEnd& end = worker.unstored.front();
        const Job* const job = find(end.job);
        if (job && job->storedChanges < end.change)
            return end.number - 1;
        worker.unstored.pop_front();
    }
    return worker.seenEnd;
}

} // namespace rosemarylink::jobs::internal
