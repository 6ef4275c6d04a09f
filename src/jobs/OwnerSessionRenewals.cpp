#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/RenewalQuorum.h"

#include <algorithm>
#include <utility>

// Renewals of workers' leases around a change of the owner; RenewalQuorum.h has the rule.
namespace rosemarylink::jobs::internal {

namespace {

    // Without the store lease, all workers are polled at this interval, so that several rounds fall into a lease.
    constexpr Milliseconds roundInterval { 1500 };

    // A round takes less than this in a fleet that responds.
    constexpr Milliseconds renewalWindow { 500 };

    const Logger logger("recovery");

} // namespace

// Whether no later owner can count on the end of the leases yet.
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
        roundStartedAt_.reset();
        if (std::exchange(pollsInRounds_, false))
            resumePolls();
        return;
    }
    if (!owner_.ownership_.mayCommand())
        return;
    if (!roundStartedAt_ || now() - *roundStartedAt_ >= roundInterval) {
        startPollRound();
        return;
    }
    renewalQuorumUntil_ = renewalQuorumUntil(acceptedCalls(), knownWorkers(), renewalWindow);
    if (mayRenewLeases())
        pollForRenewal();
}

// Polls all workers that respond, also those whose last poll still waits for an end.
void OwnerSession::startPollRound()
{
    roundStartedAt_ = now();
    pollsInRounds_ = true;
    for (auto& [id, worker] : workers_) {
        if (worker.unresponsiveSince)
            continue;
        if (now() - worker.pollSentAt >= renewalWindow)
            worker.pollInFlight = false;
        poll(worker);
    }
}

// Polls the workers with runs whose leases have not been renewed in this round.
void OwnerSession::pollForRenewal()
{
    for (auto& [id, worker] : workers_) {
        if (!worker.runs.empty() && !worker.unresponsiveSince && worker.renewalSentAt < *roundStartedAt_)
            poll(worker);
    }
}

// Polls the workers that the rounds have taken over from the ordinary polls.
void OwnerSession::resumePolls()
{
    for (auto& [id, worker] : workers_) {
        if (!worker.unresponsiveSince && (!worker.runs.empty() || worker.acknowledged < worker.lastSeenEnd))
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
    logger.info("Earlier owners renew no more leases",
        { { "responded", responded }, { "workers", knownWorkers() }, { "takeoverMsAgo", (now() - startedAt_).count() },
            { "token", token_ } });
}

} // namespace rosemarylink::jobs::internal
