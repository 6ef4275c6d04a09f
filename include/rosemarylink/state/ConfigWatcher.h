#pragma once

#include "rosemarylink/state/ConfigStore.h"
#include "rosemarylink/state/DutyLease.h"
#include "rosemarylink/state/MembershipAgent.h"

#include <array>

namespace rosemarylink::state {

// Brings stored versions into force that no gateway has announced, because it died, lost the reply to its write or is
// cut off. Two instances watch the store at a time, each under one of two duties. The others try to take a duty, and
// read the record at intervals only while they hear no watcher.
class ConfigWatcher {
public:
    ConfigWatcher(KeyValueStore&, const Clock&, const InstanceId& self, MembershipAgent&, const DutyOptions& = {});

    // Takes or renews a watch duty when that is due. Blocks on the store; runs on another thread than watch.
    void tickDuty();
    bool onDuty() const;
    void releaseDuty();

    // Reads the record once and puts it into force. Each instance does so at its start, on the thread of watch.
    Status refresh();

    // On duty: waits for one change of the record, at most for the time-out, and puts it into force. Reads the record
    // first after a failure and after taking the duty, since changes may have been missed. Off duty: reads the record
    // when no watcher is heard and the last reading is readInterval ago.
    Status watch(Milliseconds timeout);

    static constexpr Milliseconds readInterval { 2000 };

private:
    void takeOrRenew();
    Status readUnwatched();

    KeyValueStore& store_;
    const Clock& clock_;
    MembershipAgent& agent_;
    std::array<DutyLease, 2> duties_;
    bool wasOnDuty_ = false;
    bool mustRead_ = true;
    Milliseconds nextRead_ { 0 };
    Revision seen_;
};

} // namespace rosemarylink::state
