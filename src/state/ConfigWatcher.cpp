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
    acquireOrRenew();
    agent_.setWatching(holdsDuty());
}

void ConfigWatcher::acquireOrRenew()
{
    for (DutyLease& duty : duties_) {
        if (duty.held()) {
            duty.tick();
            return;
        }
    }
    for (DutyLease& duty : duties_) {
        duty.tick();
        // One instance must not hold both duties, because its crash would leave the record unwatched.
        if (duty.held())
            return;
    }
}

bool ConfigWatcher::holdsDuty() const
{
    return std::any_of(duties_.begin(), duties_.end(), [](const DutyLease& duty) { return duty.held(); });
}

void ConfigWatcher::releaseDuty()
{
    for (DutyLease& duty : duties_)
        duty.release();
    agent_.setWatching(false);
}

// Covers a partition that separates this instance from both watchers, and a crash of both.
Status ConfigWatcher::pollWithoutWatcher()
{
    const Milliseconds now = clock_.monotonic();
    if (now < nextPoll_ || agent_.hasLiveWatcher())
        return okStatus();
    nextPoll_ = now + readInterval;
    return refresh();
}

Status ConfigWatcher::refresh()
{
    BOOST_OUTCOME_TRY(value, store_.read(configKey));
    if (!value)
        return okStatus();
    BOOST_OUTCOME_TRY(record, decodeConfigRecord(value->bytes));
    lastRevision_ = value->revision;
    agent_.adoptAndAnnounce(configInForce(record));
    return okStatus();
}

Status ConfigWatcher::watch(Milliseconds timeout)
{
    const bool dutyHeld = holdsDuty();
    if (!dutyHeld || !heldDuty_)
        readRequired_ = true;
    heldDuty_ = dutyHeld;
    if (!dutyHeld)
        return pollWithoutWatcher();
    if (readRequired_) {
        BOOST_OUTCOME_TRYV(refresh());
        readRequired_ = false;
    }
    const auto events = store_.watch(configKey, lastRevision_, timeout);
    if (!events) {
        readRequired_ = true;
        return events.error();
    }
    for (const WatchEvent& event : events.value()) {
        lastRevision_ = std::max(lastRevision_, event.revision);
        if (event.key != configKey || !event.bytes)
            continue;
        BOOST_OUTCOME_TRY(record, decodeConfigRecord(*event.bytes));
        agent_.adoptAndAnnounce(configInForce(record));
    }
    return okStatus();
}

} // namespace rosemarylink::state
