#include "OwnerSession.h"
#include "RenewalQuorum.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>
#include <utility>

// Renewals of workers' leases around a change of the owner; RenewalQuorum.h has the rule.
namespace rosemarylink::jobs::internal {

namespace {

    // Without the store lease, all workers are polled at this interval, so that several rounds fall into a lease.
    constexpr Milliseconds roundInterval { 1500 };

    const Logger logger("workers");
    const Logger recoveryLogger("recovery");

} // namespace

// Whether leases may be renewed: no later owner counts on their end yet.
bool OwnerSession::mayRenewLeases() const
{
    return owner_.ownership_.valid() || now() < std::min(renewalQuorumUntil_, unsafeRenewalsEnd());
}

Milliseconds OwnerSession::unsafeRenewalsEnd() const { return owner_.ownership_.validUntil() + longestUnsafeRenewal; }

// Polls the workers in rounds while the store lease has ended: all of them, which shows whether a later owner has
// called them, and those with runs once more when a quorum has responded, which renews their leases.
void OwnerSession::followWorkersWithoutStore()
{
    if (owner_.ownership_.valid()) {
        if (std::exchange(roundStartedAt_, std::nullopt))
            pollNow(WorkersToPoll::WithRuns);
        return;
    }
    if (!owner_.ownership_.mayCommand())
        return;
    if (!roundStartedAt_ || now() - *roundStartedAt_ >= roundInterval) {
        roundStartedAt_ = now();
        renewedInRound_ = false;
        pollNow(WorkersToPoll::All);
        return;
    }
    renewalQuorumUntil_ = renewalQuorumUntil(acceptedCalls(), knownWorkers());
    if (!renewedInRound_ && mayRenewLeases()) {
        renewedInRound_ = true;
        pollNow(WorkersToPoll::WithRuns);
    }
}

// Polls workers that respond, also those whose last poll still waits for an end.
void OwnerSession::pollNow(WorkersToPoll selection)
{
    for (auto& [id, worker] : workers_) {
        if (worker.unresponsiveSince || (selection == WorkersToPoll::WithRuns && worker.runs.empty()))
            continue;
        if (now() - worker.pollSentAt >= renewalWindow)
            worker.pollInFlight = false;
        poll(worker);
    }
}

// When the newest accepted call to each worker that counts for a renewal quorum was sent.
std::vector<Milliseconds> OwnerSession::acceptedCalls() const
{
    std::vector<Milliseconds> acceptedAt;
    for (const auto& [id, worker] : workers_) {
        // A process that was first seen later may have been called by the next owner before it restarted.
        if (worker.firstReportAt && *worker.firstReportAt <= owner_.ownership_.validUntil())
            acceptedAt.push_back(worker.aliveAt);
    }
    return acceptedAt;
}

// The number of workers that are registered or on which runs may exist.
std::size_t OwnerSession::knownWorkers() const
{
    const auto isUnknown = [this](const auto& entry) { return !find(entry.first); };
    return workers_.size()
        + static_cast<std::size_t>(std::count_if(unconfirmedWorkers_.begin(), unconfirmedWorkers_.end(), isUnknown));
}

// Limits the wait for workers that do not respond once no earlier owner can renew their leases any more.
void OwnerSession::noteTakeoverQuorum()
{
    if (takeoverQuorum_ || unconfirmedWorkers_.empty())
        return;
    const auto responded = static_cast<std::size_t>(std::count_if(
        workers_.begin(), workers_.end(), [](const auto& entry) { return entry.second.firstReportAt.has_value(); }));
    if (responded == 0 || !isTakeoverQuorum(responded, knownWorkers()))
        return;
    takeoverQuorum_ = true;
    for (auto& [id, unconfirmed] : unconfirmedWorkers_) {
        const Milliseconds lastRenewal = std::max(now() + renewalWindow, unconfirmed.lateCallsUntil);
        unconfirmed.runsEndBy = std::min(unconfirmed.runsEndBy, lastRenewal + longestLease());
    }
    recoveryLogger.info("Earlier owners renew no more leases",
        { { "responded", responded }, { "workers", knownWorkers() }, { "takeoverMsAgo", (now() - startedAt_).count() },
            { "token", token_ } });
}

} // namespace rosemarylink::jobs::internal
