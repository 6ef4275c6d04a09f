#include "rosemarylink/jobs/ConfigView.h"

#include "rosemarylink/base/Log.h"

namespace rosemarylink::jobs {

namespace {

    // Well below the time in which a version must be in force (2.5 s on the platform), so that an answer given at this
    // age is still right when it arrives.
    constexpr Milliseconds freshFor { 1000 };

    // A read takes 30 ms across regions and 300 ms when the store is slow.
    constexpr Milliseconds readTimeout { 800 };

    // Requests confirm the configuration themselves; the watch keeps those without requests current.
    constexpr Milliseconds watchWait { 5000 };
    constexpr Milliseconds retryDelay { 250 }; // after a failed watch or read

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
    const Milliseconds askedAt = clock_.monotonic();
    store_.read(catalog_.configurationKey(), readTimeout, [this, askedAt](const StoreAnswer& answer) {
        if (answer.done() && !answer.records.empty()) {
            apply(answer.records.front(), askedAt);
            follow(answer.records.front().revision);
            return;
        }
        timers_.after(retryDelay, [this] { start(); });
    });
}

void ConfigView::follow(Revision after)
{
    store_.watch(catalog_.configurationKey(), after, watchWait, [this, after](const StoreAnswer& answer) {
        if (!answer.done()) {
            timers_.after(retryDelay, [this] { start(); });
            return;
        }
        // An event tells of a change but not that it is the newest, so it does not count as a confirmation.
        for (const Record& record : answer.records)
            apply(record, Milliseconds(0));
        follow(std::max(after, answer.revision));
    });
}

void ConfigView::apply(const Record& record, Milliseconds askedAt)
{
    if (record.key != catalog_.configurationKey())
        return;
    if (record.revision >= revision_ && (!confirmedAt_ || askedAt > *confirmedAt_) && askedAt > Milliseconds(0))
        confirmedAt_ = askedAt;
    if (record.revision <= revision_)
        return;
    auto parsed = catalog_.parseConfiguration(record);
    if (!parsed) {
        logger.error("Configuration is unreadable; the previous one stays", { { "reason", parsed.error().message } });
        return;
    }
    revision_ = record.revision;
    configuration_ = std::move(parsed).value();
    logger.info("Configuration in force",
        { { "version", configuration_->version }, { "revision", revision_.value() },
            { "queues", configuration_->queues.size() } });
}

void ConfigView::whenFresh(std::function<void(const Configuration*)> handler)
{
    if (configuration_ && confirmedAt_ && clock_.monotonic() - *confirmedAt_ <= freshFor) {
        handler(&*configuration_);
        return;
    }
    waiting_.push_back(std::move(handler));
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
    const Milliseconds askedAt = clock_.monotonic();
    store_.read(catalog_.configurationKey(), readTimeout, [this, askedAt](const StoreAnswer& answer) {
        refreshing_ = false;
        if (answer.done() && !answer.records.empty())
            apply(answer.records.front(), askedAt);
        const bool confirmed = answer.done() && configuration_;
        answerWaiting(confirmed ? &*configuration_ : nullptr);
    });
}

void ConfigView::answerWaiting(const Configuration* configuration)
{
    const auto waiting = std::move(waiting_);
    waiting_.clear();
    for (const auto& handler : waiting)
        handler(configuration);
}

} // namespace rosemarylink::jobs
