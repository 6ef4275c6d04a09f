#include "OwnerSession.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    // Lists of workers beside the regular ones are this far apart at least, since many starts on several lost workers
    // may be in question at once.
    constexpr Milliseconds extraListInterval { 400 };

} // namespace

// Notes from the response to a start command whether one for the run may still be executed.
void OwnerSession::noteStrayStart(Worker& worker, const RunKey& key, CommandOutcome outcome)
{
    const auto run = worker.runs.find(key);
    if (outcome == CommandOutcome::Unknown) {
        const Milliseconds until = now() + longestCommandDelay;
        worker.strayStarts[key] = until;
        if (run != worker.runs.end())
            run->second.strayStartUntil = until;
    } else if (run != worker.runs.end() && !run->second.strayStartUntil) {
        worker.strayStarts.erase(key);
    }
}

// Notes what the response to any command tells about the worker's process.
void OwnerSession::noteResponse(Worker& worker, const CommandResponse& response)
{
    if (response.outcome != CommandOutcome::Unknown && response.outcome != CommandOutcome::Unreachable)
        worker.heardAt = now();
    if (response.workerClock.count() > 0)
        updateClock(worker, response.workerClock);
}

// What shows that no process has started again under the worker's id; nullopt while one may have.
std::optional<WorkerSilence> OwnerSession::silenceOf(const Worker& worker) const
{
    const Milliseconds checkedAt = std::min(worker.pollFailedAt, workersListedAt_);
    if (!worker.unlistedSince || checkedAt - worker.heardAt < longestCommandDelay)
        return std::nullopt;
    return WorkerSilence { *worker.unlistedSince, checkedAt };
}

// Polls the worker and lists the registrations as soon as no start command for one of its runs can be executed any
// more. The regular ones would hold the run's task for up to 2 s longer.
void OwnerSession::checkReturn(Worker& worker)
{
    if (!worker.unlistedSince)
        return;
    Milliseconds wanted { 0 }; // when the newest of the starts in question was over
    for (const auto& [key, run] : worker.runs) {
        if (run.strayStartUntil && *run.strayStartUntil <= now())
            wanted = std::max(wanted, *run.strayStartUntil);
    }
    if (worker.pollSentAt < wanted) {
        worker.pollInFlight = false;
        poll(worker);
    }
    if (workersRequestedAt_ < wanted && now() - workersRequestedAt_ >= extraListInterval) {
        requestWorkers(guarded([this, requestedAt = now()](const StoreResponse& response) {
            if (response.done())
                handleWorkers(response.records, requestedAt);
        }));
    }
}

void OwnerSession::forgetStrayCalls()
{
    const auto forgetIn = [time = now()](auto& calls) {
        for (auto call = calls.begin(); call != calls.end();)
            call = time < call->second ? std::next(call) : calls.erase(call);
    };
    for (auto& [id, worker] : workers_) {
        forgetIn(worker.strayStarts);
        forgetIn(worker.strayAcknowledgments);
        forgetIn(worker.strayRenewals);
    }
}

// The new process does not know that a run has ended, so it would execute a late start for it.
void OwnerSession::addStrayRuns(Worker& worker)
{
    for (const auto& [key, until] : worker.strayStarts) {
        if (now() >= until)
            continue;
        const Job* const job = find(key.first.job);
        WorkerRun run;
        if (job && job->contains(key.first))
            run.resources = job->stepSpec(key.first).perTask;
        run.phase = TaskPhase::Stopping;
        run.strayStartUntil = until;
        run.startSentAt = until - longestCommandDelay;
        run.startedAt = now();
        worker.runs.emplace(key, run);
    }
}

Milliseconds OwnerSession::runsOverBy(const Worker& worker) const
{
    Milliseconds latest = worker.lease.end();
    for (const auto& [key, run] : worker.runs) {
        if (run.strayStartUntil)
            latest = std::max(latest, *run.strayStartUntil + longestLease());
    }
    return latest;
}

} // namespace rosemarylink::jobs::internal
