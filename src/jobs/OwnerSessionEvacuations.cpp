#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>
#include <exception>

namespace rosemarylink::jobs::internal {

namespace {

    // Interval of the lists while they are answered. A shorter timeout of evacuations shortens it, so that the newest
    // list does not become too old in between.
    constexpr Milliseconds longestListInterval { 1000 };
    constexpr int listsPerMaximumAge = 3;

    // While a response is missing, further lists are requested in parallel after this fraction (1/N) of the interval,
    // since a lost response is noticed only at the timeout. At most 3 requests are then open at once.
    constexpr int retryDivisor = 2;
    constexpr Milliseconds listTimeout { 1200 };

    constexpr Milliseconds staleLogInterval { 1000 };
    constexpr Milliseconds guaranteeLogInterval { 5000 };

    // Limits on what a log line quotes.
    constexpr std::size_t maximumNames = 8;
    constexpr std::size_t maximumKeyBytes = 200;

    const Logger logger("evacuation");

    // Returns the beginning of a key of another writer with everything replaced that is not printable ASCII.
    std::string loggableKey(const std::string& key)
    {
        std::string text = key.substr(0, maximumKeyBytes);
        std::replace_if(
            text.begin(), text.end(), [](char character) { return character < ' ' || character > '~'; }, '?');
        return text;
    }

} // namespace

// Requests the next list of the evacuations when it is time for it. Does nothing if the deployment has no evacuations.
void OwnerSession::followEvacuations()
{
    if (!owner_.limits_.evacuationTimeout) {
        if (evacuationsFollowedSince_)
            stopFollowingEvacuations();
        return;
    }
    if (!evacuationsFollowedSince_)
        evacuationsFollowedSince_ = now();
    const Milliseconds interval = std::min(
        longestListInterval, EvacuationView::maximumAge(*owner_.limits_.evacuationTimeout) / listsPerMaximumAge);
    const bool answered = evacuations_.requestedAt() == evacuationListSentAt_;
    if (!evacuationListSentAt_ || now() - *evacuationListSentAt_ >= (answered ? interval : interval / retryDivisor))
        listEvacuations();
    logEvacuations();
    logStaleEvacuations();
    updateEvacuationMetrics();
}

// Clears what other parts of the session and the metrics show of evacuations, after they were disabled by new settings
// or at the end of the session.
void OwnerSession::stopFollowingEvacuations()
{
    evacuations_ = {};
    evacuationListSentAt_.reset();
    evacuationsFollowedSince_.reset();
    for (const auto& [domain, revision] : loggedEvacuations_)
        owner_.metrics_.setEvacuation(domain, 0, Milliseconds(0));
    loggedEvacuations_.clear();
    oddEvacuations_.clear();
    owner_.metrics_.setEvacuatedDomains(0);
    owner_.metrics_.setUnplaceableGuarantee(0);
}

void OwnerSession::listEvacuations()
{
    const Milliseconds requestedAt = now();
    evacuationListSentAt_ = requestedAt;
    try {
        owner_.store_.list(owner_.catalog_.evacuationPrefix(), listTimeout,
            guarded([this, requestedAt](const StoreResponse& response) { handleEvacuations(requestedAt, response); }));
    } catch (const std::exception& problem) {
        logger.error(
            "List of evacuations ended with an exception; it is requested again", { { "reason", problem.what() } });
    }
}

// Handles a list as a whole or not at all: without one of its records an evacuation would be missing.
void OwnerSession::handleEvacuations(Milliseconds requestedAt, const StoreResponse& response)
{
    // The response may arrive after new settings have disabled evacuations. A failed call is logged by the store's
    // client, and is repeated because the newest request has no list.
    if (!response.done() || !evacuationsFollowedSince_)
        return;
    try {
        std::map<FailureDomainId, Revision> list;
        std::map<std::string, Revision> odd;
        for (const Record& record : response.records) {
            if (const auto domain = owner_.catalog_.parseEvacuation(record))
                list[domain.value()] = record.revision;
            else
                odd[record.key] = record.revision;
        }
        const bool couldStart = knowsEvacuations();
        const EvacuationView::Evacuations before = evacuations_.evacuations();
        if (!evacuations_.update(list, requestedAt, now()))
            return;
        noteOddEvacuations(std::move(odd));
        withdrawEvacuatedStarts();
        logEvacuations();
        const bool revoked = std::any_of(before.begin(), before.end(),
            [this](const auto& evacuation) { return !evacuations_.isEvacuated(evacuation.first); });
        if (!couldStart || revoked)
            schedulePlan(/*urgentArrival=*/true);
    } catch (const std::exception& problem) {
        logger.error("List of evacuations was not handled", { { "reason", problem.what() } });
    }
}

// Whether all evacuations are known that may forbid a start which is sent now.
bool OwnerSession::knowsEvacuations() const
{
    return !owner_.limits_.evacuationTimeout || evacuations_.mayStart(now(), *owner_.limits_.evacuationTimeout);
}

// For how long no list of the evacuations could be read.
Milliseconds OwnerSession::evacuationsUnfollowedFor() const
{
    if (!evacuationsFollowedSince_)
        return Milliseconds(0);
    return now() - std::max(*evacuationsFollowedSince_, evacuations_.requestedAt().value_or(Milliseconds(0)));
}

// Withdraws the starts in evacuated domains that are queued or whose command got no response. Such a command may be
// executed up to 12 s after it was sent, which is later than evacuations allow, and the stop rules that out. A command
// that awaits its response is left alone: it is withdrawn when its response is missing.
void OwnerSession::withdrawEvacuatedStarts()
{
    if (evacuations_.evacuations().empty())
        return;
    for (auto& [id, worker] : workers_) {
        if (!evacuations_.isEvacuated(worker.entry.failureDomain))
            continue;
        std::vector<RunKey> keys;
        for (const auto& [key, run] : worker.runs) {
            if (run.phase == TaskPhase::Starting && !run.confirmedAt && (run.isQueued() || run.strayStartUntil))
                keys.push_back(key);
        }
        for (const RunKey& key : keys) {
            // An earlier one may have been of the same gang.
            const auto run = worker.runs.find(key);
            if (run != worker.runs.end() && run->second.phase == TaskPhase::Starting)
                withdrawStart(key, worker);
        }
    }
}

// Logs and counts each key that names no domain when it appears and when it is written again.
void OwnerSession::noteOddEvacuations(std::map<std::string, Revision> odd)
{
    for (const auto& [key, revision] : odd) {
        const auto known = oddEvacuations_.find(key);
        if (known != oddEvacuations_.end() && known->second == revision)
            continue;
        owner_.metrics_.countOddEvacuation();
        logger.warning("Key of an evacuation names no failure domain; it is ignored",
            { { "key", loggableKey(key) }, { "revision", revision }, { "token", token_ } });
    }
    oddEvacuations_ = std::move(odd);
}

OwnerSession::DomainUse OwnerSession::useOf(const FailureDomainId& domain) const
{
    DomainUse use;
    for (const auto& [id, worker] : workers_) {
        if (worker.entry.failureDomain != domain)
            continue;
        use.workers += worker.listed ? 1 : 0;
        use.runs += worker.runs.size();
    }
    return use;
}

// Logs evacuations that were requested or revoked since the last call. A new owner waits until it has read the list of
// workers, because the lines name their number.
void OwnerSession::logEvacuations()
{
    if (!workersListed_)
        return;
    const EvacuationView::Evacuations& evacuations = evacuations_.evacuations();
    for (auto logged = loggedEvacuations_.begin(); logged != loggedEvacuations_.end();) {
        const auto& [domain, revision] = *logged;
        if (evacuations.count(domain) > 0) {
            ++logged;
            continue;
        }
        const DomainUse use = useOf(domain);
        logger.info("Evacuation is taken back",
            { { "domain", loggableKey(domain.value()) }, { "revision", revision }, { "workers", use.workers },
                { "runs", use.runs }, { "token", token_ } });
        owner_.metrics_.setEvacuation(domain, 0, Milliseconds(0));
        logged = loggedEvacuations_.erase(logged);
    }
    for (const auto& [domain, evacuation] : evacuations) {
        const auto logged = loggedEvacuations_.find(domain);
        if (logged != loggedEvacuations_.end() && logged->second == evacuation.revision)
            continue;
        loggedEvacuations_[domain] = evacuation.revision;
        const DomainUse use = useOf(domain);
        logger.info("Failure domain is evacuated",
            { { "domain", loggableKey(domain.value()) }, { "revision", evacuation.revision },
                { "workers", use.workers }, { "runs", use.runs }, { "token", token_ } });
        if (use.workers == 0)
            logger.warning("No worker is registered in an evacuated failure domain",
                { { "domain", loggableKey(domain.value()) }, { "revision", evacuation.revision },
                    { "token", token_ } });
    }
}

void OwnerSession::logStaleEvacuations()
{
    const Milliseconds age = evacuationsUnfollowedFor();
    if (knowsEvacuations() || age <= EvacuationView::maximumAge(*owner_.limits_.evacuationTimeout)
        || now() - staleEvacuationsLoggedAt_ < staleLogInterval)
        return;
    staleEvacuationsLoggedAt_ = now();
    logger.warning("No task is started because the list of evacuations is too old",
        { { "listAgeMs", age.count() }, { "timeoutMs", owner_.limits_.evacuationTimeout->count() },
            { "token", token_ } });
}

// Domains without workers have no metrics of their own, because their names may be anything an operator has mistyped.
void OwnerSession::updateEvacuationMetrics()
{
    owner_.metrics_.setEvacuatedDomains(evacuations_.evacuations().size());
    for (const auto& [domain, evacuation] : evacuations_.evacuations()) {
        const DomainUse use = useOf(domain);
        if (use.workers > 0 || use.runs > 0)
            owner_.metrics_.setEvacuation(domain, use.runs, now() - evacuation.since);
    }
    checkGuarantees();
}

// Compares the accounts' guarantees with the capacity that may get work while domains are evacuated. The capacity is
// given to the accounts in the order of the configuration, to show which of them may miss their guarantee.
void OwnerSession::checkGuarantees()
{
    const Configuration* const configuration = owner_.config_.current();
    if (evacuations_.evacuations().empty() || !configuration || !workersListed_) {
        owner_.metrics_.setUnplaceableGuarantee(0);
        return;
    }
    std::int64_t capacity = 0;
    for (const auto& [id, worker] : workers_) {
        if (worker.listed && !worker.entry.draining && !evacuations_.isEvacuated(worker.entry.failureDomain))
            capacity += worker.entry.capacity.accelerators;
    }
    std::int64_t guaranteed = 0;
    std::int64_t left = capacity;
    std::string names;
    std::size_t unplaceable = 0;
    for (const ClientAccount& account : configuration->accounts) {
        guaranteed += account.guaranteedAccelerators;
        if (account.guaranteedAccelerators <= left)
            left -= account.guaranteedAccelerators;
        else if (++unplaceable <= maximumNames)
            names += (names.empty() ? "" : ",") + account.id.value();
    }
    owner_.metrics_.setUnplaceableGuarantee(std::max<std::int64_t>(0, guaranteed - capacity));
    if (unplaceable == 0 || (guaranteesLoggedAt_ && now() - *guaranteesLoggedAt_ < guaranteeLogInterval))
        return;
    guaranteesLoggedAt_ = now();
    logger.warning("Guarantees do not fit into the capacity that is not evacuated",
        { { "accounts", unplaceable }, { "names", names }, { "guaranteedAccelerators", guaranteed },
            { "remainingAccelerators", capacity }, { "token", token_ } });
}

} // namespace rosemarylink::jobs::internal
