#pragma once

#include "rosemarylink/state/ConfigStore.h"
#include "rosemarylink/state/DutyLease.h"
#include "rosemarylink/state/MembershipAgent.h"

#include <array>

namespace rosemarylink::state {

// Brings stored versions into force that no gateway has announced, because it died or lost the reply to its write. Two
// instances watch the store at a time, each under one of two duties; the others only try to take a duty.
class ConfigWatcher {
public:
    ConfigWatcher(KeyValueStore&, const Clock&, const InstanceId& self, MembershipAgent&, const DutyOptions& = {});

    // Takes or renews a watch duty when that is due. Blocks on the store; runs on another thread than watch.
    void tickDuty();
    bool onDuty() const;
    void releaseDuty();

    // Reads the record once and puts it into force. Each instance does so at its start, on the thread of watch.
    Status refresh();

    // Waits for one change of the record, at most for the time-out, and puts it into force. Does nothing off duty.
    // Reads the record first after a failure and after taking the duty, since changes may have been missed.
    Status watch(Milliseconds timeout);

private:
    KeyValueStore& store_;
    MembershipAgent& agent_;
    std::array<DutyLease, 2> duties_;
    bool wasOnDuty_ = false;
    bool mustRead_ = true;
    Revision seen_;
};

} // namespace rosemarylink::state
