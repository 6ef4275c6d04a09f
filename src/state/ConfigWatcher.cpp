#include "rosemarylink/state/ConfigWatcher.h"

#include <algorithm>

namespace rosemarylink::state {

ConfigWatcher::ConfigWatcher(KeyValueStore& store, const Clock& clock, const InstanceId& self, MembershipAgent& agent,
    const DutyOptions& options)
    : store_(store)
    , clock_(clock)
    , agent_(agent)
    , duties_ { DutyLease(store, clock, self, "config-watch-0", options),
        DutyLease(store, clock, self, "config-watch-1", options) }
{
}

void ConfigWatcher::tickDuty()
{
    takeOrRenew();
    agent_.setWatching(onDuty());
}

void ConfigWatcher::takeOrRenew()
{
    for (DutyLease& duty : duties_) {
        if (duty.held()) {
            duty.tick();
            return;
        }
    }
    for (DutyLease& duty : duties_) {
        duty.tick();
        // An instance does not take both: its death would stop all watching.
        if (duty.held())
            return;
    }
}

bool ConfigWatcher::onDuty() const
{
    return std::any_of(duties_.begin(), duties_.end(), [](const DutyLease& duty) { return duty.held(); });
}

void ConfigWatcher::releaseDuty()
{
    for (DutyLease& duty : duties_)
        duty.release();
    agent_.setWatching(false);
}

// During a partition both watchers may be on the other side, and both may die at once.
Status ConfigWatcher::readUnwatched()
{
    const Milliseconds now = clock_.monotonic();
    if (now < nextRead_ || agent_.watcherHeard())
        return okStatus();
    nextRead_ = now + readInterval;
    return refresh();
}

Status ConfigWatcher::refresh()
{
    BOOST_OUTCOME_TRY(value, store_.read(configKey));
    if (!value)
        return okStatus();
    BOOST_OUTCOME_TRY(record, decodeConfigRecord(value->bytes));
    seen_ = value->revision;
    agent_.adoptAndAnnounce(configInForce(record));
    return okStatus();
}

Status ConfigWatcher::watch(Milliseconds timeout)
{
    const bool onDutyNow = onDuty();
    if (!onDutyNow || !wasOnDuty_)
        mustRead_ = true;
    wasOnDuty_ = onDutyNow;
    if (!onDutyNow)
        return readUnwatched();
    if (mustRead_) {
        BOOST_OUTCOME_TRYV(refresh());
        mustRead_ = false;
    }
    const auto events = store_.watch(configKey, seen_, timeout);
    if (!events) {
        mustRead_ = true;
        return events.error();
    }
    for (const WatchEvent& event : events.value()) {
        seen_ = std::max(seen_, event.revision);
        if (event.key != configKey || !event.bytes)
            continue;
        BOOST_OUTCOME_TRY(record, decodeConfigRecord(*event.bytes));
        agent_.adoptAndAnnounce(configInForce(record));
    }
    return okStatus();
}

} // namespace rosemarylink::state
