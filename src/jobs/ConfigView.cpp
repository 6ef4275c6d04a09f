#include "rosemarylink/jobs/ConfigView.h"

#include "rosemarylink/base/Log.h"

#include <utility>

namespace rosemarylink::jobs {

namespace {

    // Well below the time within which a version must be in force (2.5 s on the platform), so that a response given at
    // this age is still correct when it arrives.
    constexpr Milliseconds maximumConfirmationAge { 1000 };

    // A read takes 30 ms across regions and 300 ms when the store is slow.
    constexpr Milliseconds readTimeout { 800 };

    // Requests confirm the configuration themselves; the watch keeps it current on instances without requests.
    constexpr Milliseconds watchWait { 5000 };
    constexpr Milliseconds retryDelay { 250 }; // after a failed watch or read

    // The store counts as out of reach this long after a call to it failed, if no read has succeeded since. Short
    // refusals of the store (rate limit, leader change) are over sooner.
    constexpr Milliseconds outOfReachAfter { 600 };

    // While reads fail, the next one is sent this long after the previous one, whether or not that has ended: a read
    // sent to a silent store ends only at its time-out, also when the store is back by then.
    constexpr Milliseconds probeInterval { 200 };

    const Logger logger("config");

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
    const Milliseconds requestedAt = clock_.monotonic();
    store_.read(catalog_.configurationKey(), readTimeout, [this, requestedAt](const StoreResponse& response) {
        recordReach(response, requestedAt);
        if (response.done() && !response.records.empty()) {
            apply(response.records.front(), requestedAt);
            watchChanges(response.records.front().revision);
            return;
        }
        timers_.after(retryDelay, [this] { start(); });
    });
}

void ConfigView::watchChanges(Revision after)
{
    store_.watch(catalog_.configurationKey(), after, watchWait, [this, after](const StoreResponse& response) {
        if (!response.done()) {
            timers_.after(retryDelay, [this] { start(); });
            return;
        }
        // An event reports a change that may not be the newest, so it does not count as a confirmation.
        for (const Record& record : response.records)
            apply(record, Milliseconds(0));
        watchChanges(std::max(after, response.revision));
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
    configuration_ = std::move(parsed).value();
    logger.info("Configuration in force",
        { { "version", configuration_->version }, { "revision", revision_.value() },
            { "queues", configuration_->queues.size() }, { "bytes", record.value.size() } });
}

void ConfigView::whenConfirmed(std::function<void(const Configuration*)> handler)
{
    if (configuration_ && confirmedAt_ && clock_.monotonic() - *confirmedAt_ <= maximumConfirmationAge) {
        handler(&*configuration_);
        return;
    }
    waitingHandlers_.push_back(std::move(handler));
    refresh();
}

std::optional<Milliseconds> ConfigView::age() const
{
    if (!confirmedAt_)
        return std::nullopt;
    return clock_.monotonic() - *confirmedAt_;
}

void ConfigView::refresh()
{
    if (refreshing_)
        return;
    refreshing_ = true;
    const Milliseconds requestedAt = clock_.monotonic();
    store_.read(catalog_.configurationKey(), readTimeout, [this, requestedAt](const StoreResponse& response) {
        refreshing_ = false;
        recordReach(response, requestedAt);
        if (response.done() && !response.records.empty())
            apply(response.records.front(), requestedAt);
        const bool confirmed = response.done() && configuration_;
        notifyWaiting(confirmed ? &*configuration_ : nullptr);
    });
}

bool ConfigView::storeOutOfReach() const
{
    return failingSince_ && clock_.monotonic() - *failingSince_ >= outOfReachAfter;
}

void ConfigView::recordReach(const StoreResponse& response, Milliseconds requestedAt)
{
    if (!response.done() && response.outcome != StoreOutcome::NotFound) {
        recordFailedCall();
        return;
    }
    if (!failingSince_ || requestedAt < *failingSince_)
        return;
    if (storeOutOfReach())
        logger.info("Store is in reach again", { { "unreachableMs", (clock_.monotonic() - *failingSince_).count() } });
    failingSince_.reset();
}

void ConfigView::recordFailedCall()
{
    if (failingSince_)
        return;
    failingSince_ = clock_.monotonic();
    if (!std::exchange(probing_, true))
        probe();
}

void ConfigView::probe()
{
    timers_.after(probeInterval, [this] {
        probing_ = failingSince_.has_value();
        if (!probing_)
            return;
        const Milliseconds requestedAt = clock_.monotonic();
        store_.read(catalog_.configurationKey(), readTimeout, [this, requestedAt](const StoreResponse& response) {
            recordReach(response, requestedAt);
            if (response.done() && !response.records.empty())
                apply(response.records.front(), requestedAt);
        });
        probe();
    });
}

void ConfigView::notifyWaiting(const Configuration* configuration)
{
    const auto waiting = std::move(waitingHandlers_);
    waitingHandlers_.clear();
    for (const auto& handler : waiting)
        handler(configuration);
}

} // namespace rosemarylink::jobs
