#include "OwnerSession.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

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
