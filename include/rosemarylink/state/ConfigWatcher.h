#pragma once

#include "rosemarylink/state/ConfigStore.h"
#include "rosemarylink/state/DutyLease.h"
#include "rosemarylink/state/MembershipAgent.h"

#include <array>

namespace rosemarylink::state {

// Puts stored versions into force that the accepting gateway has not announced, because it crashed, lost the reply to
// its write or is partitioned. Two instances watch the store at a time, each holding one of two duties. The others try
// to acquire a duty, and poll the record only while they receive no heartbeat of a watcher.
class ConfigWatcher {
public:
    ConfigWatcher(KeyValueStore&, const Clock&, const InstanceId& self, MembershipAgent&, const DutyOptions& = {});

    // Acquires or renews a watch duty when that is due. Blocks on the store. Call from a thread other than that of
    // watch.
    void tickDuty();
    bool holdsDuty() const;
    void releaseDuty();

    // Reads the record once and puts it into force. Blocks on the store. Call once at start, on the thread of watch.
    Status refresh();

    // With a duty: waits up to the time-out for a change of the record and puts it into force. After a failure, and
    // after the duty was acquired, reads the record first, since changes may have been missed. Without a duty: reads
    // the record when no live peer is a watcher and the last read was at least readInterval ago.
    Status watch(Milliseconds timeout);

    static constexpr Milliseconds readInterval { 2000 };

private:
    void acquireOrRenew();
    Status pollWithoutWatcher();

    KeyValueStore& store_;
    const Clock& clock_;
    MembershipAgent& agent_;
    std::array<DutyLease, 2> duties_;
    bool heldDuty_ = false;
    bool readRequired_ = true;
    Milliseconds nextPoll_ { 0 };
    Revision lastRevision_;
};

} // namespace rosemarylink::state
