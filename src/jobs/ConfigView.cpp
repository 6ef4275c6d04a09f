#include "rosemarylink/jobs/ConfigView.h"

#include "rosemarylink/base/Log.h"

#include <utility>

namespace rosemarylink::jobs {

namespace {

    // Well below the time within which a version must be in force (2.5 s on the platform), so that a response given at
    // this age is still correct when it arrives.
    constexpr Milliseconds maximumConfirmationAge { 1000 };

    // The shorter it is, the fewer writes name a configuration that has just been replaced.
    constexpr Milliseconds maximumJustConfirmedAge { 100 };

    // A confirmation that is older when it arrives, because it transferred a new version, is repeated once.
    constexpr Milliseconds maximumAgeOnArrival { 2000 };

    // A call takes 30 ms across regions and 300 ms when the store is slow.
    constexpr Milliseconds callTimeout { 800 };

    // A configuration of up to this size is confirmed by reading it. The confirmation of a larger one transfers it only
    // if it has changed, but counts as a write, and the store may lose responses to writes while it serves reads.
    constexpr std::size_t largestSmallRecordBytes = 32 * 1024;

    // After this many such confirmations in a row without a result, a watch that does not wait takes their place once,
    // because the store may serve reads only. It transfers all versions since the last confirmation.
    constexpr int maximumFailedPreconditions = 2;
    constexpr Milliseconds immediateWatchWait { 1 };

    // For a precondition; it is shorter because another call follows.
    constexpr Milliseconds preconditionTimeout { 500 };

    // Requests confirm the configuration themselves; the watch keeps it current on instances without requests. A large
    // configuration is confirmed at an interval instead, because a watch transfers each version of it.
    constexpr Milliseconds watchWait { 5000 };
    constexpr Milliseconds largeConfirmationInterval { 500 };
    constexpr Milliseconds retryDelay { 250 }; // after a failed watch or confirmation

    // The store counts as out of reach this long after a call to it failed, if no read has succeeded since. Short
    // refusals of the store (rate limit, leader change) are over sooner.
    constexpr Milliseconds outOfReachAfter { 600 };

    // While the store is out of reach, the next probe is sent this long after the previous one, whether or not that has
    // ended: a call to a silent store ends only at its time-out, also when the store is back by then.
    constexpr Milliseconds probeInterval { 200 };

    const Logger logger("config");

    bool hasResult(const StoreResponse& response)
    {
        return response.outcome != StoreOutcome::Refused && response.outcome != StoreOutcome::Unknown;
    }

} // namespace

ConfigView::ConfigView(RecordStore& store, const Catalog& catalog, Timers& timers, const Clock& clock)
    : store_(store)
    , catalog_(catalog)
    , timers_(timers)
    , clock_(clock)
{
}

void ConfigView::start()
{
    whenConfirmed([this](const Configuration* configuration) {
        if (configuration)
            watchChanges();
        else
            timers_.after(retryDelay, [this] { start(); });
    });
}

void ConfigView::watchChanges()
{
    if (isLarge()) {
        refresh();
        timers_.after(largeConfirmationInterval, [this] { watchChanges(); });
        return;
    }
    store_.watch(catalog_.configurationKey(), watchedRevision_, watchWait, [this](const StoreResponse& response) {
        if (response.outcome == StoreOutcome::HistoryGone) {
            timers_.after(retryDelay, [this] { start(); });
            return;
        }
        if (!response.done()) {
            timers_.after(retryDelay, [this] { watchChanges(); });
            return;
        }
        // An event reports a change that may not be the newest, so it does not count as a confirmation. The newest
        // event comes first, so that the others are ignored.
        for (auto record = response.records.rbegin(); record != response.records.rend(); ++record)
            apply(*record, Milliseconds(0));
        watchedRevision_ = std::max({ watchedRevision_, response.revision, revision_ });
        watchChanges();
    });
}

void ConfigView::apply(const Record& record, Milliseconds requestedAt)
{
    if (record.key != catalog_.configurationKey())
        return;
    if (record.revision >= revision_ && (!confirmedAt_ || requestedAt > *confirmedAt_) && requestedAt > Milliseconds(0))
        confirmedAt_ = requestedAt;
    if (record.revision <= revision_)
        return;
    auto parsed = catalog_.parseConfiguration(record);
    if (!parsed) {
        logger.error("Configuration is malformed; keeping the previous one", { { "reason", parsed.error().message } });
        return;
    }
    revision_ = record.revision;
    recordBytes_ = record.value.size();
    configuration_ = std::move(parsed).value();
    logger.info("Configuration in force",
        { { "version", configuration_->version }, { "revision", revision_.value() },
            { "queues", configuration_->queues.size() }, { "bytes", record.value.size() } });
}

void ConfigView::whenConfirmed(std::function<void(const Configuration*)> handler)
{
    whenConfirmedWithin(maximumConfirmationAge, std::move(handler));
}

void ConfigView::whenJustConfirmed(std::function<void(const Configuration*)> handler)
{
    whenConfirmedWithin(maximumJustConfirmedAge, std::move(handler));
}

void ConfigView::whenConfirmedWithin(Milliseconds maximumAge, std::function<void(const Configuration*)> handler)
{
    if (configuration_ && confirmedAt_ && clock_.monotonic() - *confirmedAt_ <= maximumAge) {
        handler(&*configuration_);
        return;
    }
    waiting_.push_back({ std::move(handler), clock_.monotonic() - maximumAge, /*repeated=*/false });
    refresh();
}

std::optional<Milliseconds> ConfigView::age() const
{
    if (!confirmedAt_)
        return std::nullopt;
    return clock_.monotonic() - *confirmedAt_;
}

// Only one confirmation is in progress at a time, since its response may contain the configuration.
void ConfigView::refresh()
{
    if (refreshing_)
        return;
    refreshing_ = true;
    const Milliseconds requestedAt = clock_.monotonic();
    const auto handler = [this, requestedAt, number = ++lastRefresh_](const StoreResponse& response) {
        if (number == lastRefresh_)
            refreshing_ = false;
        else if (!hasResult(response))
            return; // a later confirmation is in progress
        handleConfirmation(response, requestedAt);
    };
    if (!isLarge()) {
        store_.read(catalog_.configurationKey(), callTimeout, handler);
        return;
    }
    if (failedPreconditions_ >= maximumFailedPreconditions) {
        failedPreconditions_ = 0;
        store_.watch(catalog_.configurationKey(), watchedRevision_, immediateWatchWait,
            [this, handler](const StoreResponse& response) {
                if (response.outcome == StoreOutcome::HistoryGone)
                    store_.read(catalog_.configurationKey(), callTimeout, handler);
                else
                    handler(response);
            });
        return;
    }
    // A batch without changes succeeds if the configuration is unchanged; otherwise the response contains the new one.
    Batch unchanged;
    unchanged.preconditions = { { catalog_.configurationKey(), revision_ } };
    store_.commit(unchanged, preconditionTimeout, [this, handler](const StoreResponse& response) {
        failedPreconditions_ = hasResult(response) ? 0 : failedPreconditions_ + 1;
        handler(response);
    });
}

void ConfigView::handleConfirmation(const StoreResponse& response, Milliseconds requestedAt)
{
    recordReach(response, requestedAt);
    // The newest version comes first, so that the others are ignored.
    for (auto record = response.records.rbegin(); record != response.records.rend(); ++record)
        apply(*record, requestedAt);
    const bool unchanged = response.done() && response.records.empty();
    if (unchanged)
        confirmedAt_ = std::max(confirmedAt_.value_or(requestedAt), requestedAt);
    watchedRevision_ = std::max({ watchedRevision_, revision_, response.done() ? response.revision : Revision(0) });
    notifyWaiting(configuration_ && confirmedAt_ && *confirmedAt_ >= requestedAt);
}

bool ConfigView::isLarge() const { return recordBytes_ > largestSmallRecordBytes; }

bool ConfigView::storeOutOfReach() const
{
    return failingSince_ && clock_.monotonic() - *failingSince_ >= outOfReachAfter;
}

void ConfigView::recordReach(const StoreResponse& response, Milliseconds requestedAt)
{
    if (!hasResult(response)) {
        recordFailedCall();
        return;
    }
    if (!failingSince_ || requestedAt < *failingSince_)
        return;
    const bool wasOutOfReach = storeOutOfReach();
    if (wasOutOfReach)
        logger.info("Store is in reach again", { { "unreachableMs", (clock_.monotonic() - *failingSince_).count() } });
    failingSince_.reset();
    if (!wasOutOfReach)
        return;
    // A confirmation that was sent before may stay without a response until its timeout, so another one replaces it.
    refreshing_ = false;
    if (onReachable_)
        timers_.after(Milliseconds(0), onReachable_);
}

void ConfigView::recordFailedCall()
{
    if (failingSince_)
        return;
    failingSince_ = clock_.monotonic();
    if (!std::exchange(probing_, true))
        probe();
}

// Reads a small record, because several probes may be on their way. As a list it is not attempted again, which the next
// probe makes needless, so that probes do not use up the budget for further attempts.
void ConfigView::probe()
{
    timers_.after(probeInterval, [this] {
        probing_ = failingSince_.has_value();
        if (!probing_)
            return;
        const Milliseconds requestedAt = clock_.monotonic();
        store_.list(keys::ownership, callTimeout, [this, requestedAt](const StoreResponse& response) {
            const bool failing = failingSince_.has_value();
            recordReach(response, requestedAt);
            if (failing && !failingSince_ && !refreshing_)
                refresh();
        });
        probe();
    });
}

// Keeps the handlers for which the confirmation is too old and repeats it for them, once for each handler.
void ConfigView::notifyWaiting(bool confirmed)
{
    std::vector<Waiting> waiting = std::move(waiting_);
    waiting_.clear();
    for (Waiting& one : waiting) {
        const bool inTime = confirmed && *confirmedAt_ >= one.confirmedSince
            && clock_.monotonic() - *confirmedAt_ <= maximumAgeOnArrival;
        if (!inTime && confirmed && !std::exchange(one.repeated, true))
            waiting_.push_back(std::move(one));
        else
            one.handler(inTime ? &*configuration_ : nullptr);
    }
    if (!waiting_.empty())
        refresh();
}

} // namespace rosemarylink::jobs
