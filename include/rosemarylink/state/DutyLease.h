#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <mutex>
#include <optional>
#include <string>

namespace rosemarylink::state {

struct DutyOptions {
    Milliseconds ttl { 6000 };
    Milliseconds renewInterval { 2000 };
    // Between attempts to take a duty that another instance holds; up to a quarter less by chance.
    Milliseconds retryInterval { 2500 };
};

// One shared duty, such as watching the configuration, that one instance at a time does under a store lease. A duty is
// never needed for safety: two holders for a moment only cost calls.
class DutyLease {
public:
    DutyLease(KeyValueStore&, const Clock&, const InstanceId& self, const std::string& duty, const DutyOptions& = {});

    // Takes or renews the duty when that is due; blocks on the store. To be called from one thread.
    void tick();

    // True while the lease is certain to last by the local clock, counted from before the last renewal was sent.
    bool held() const;

    // Gives the duty up, so that another instance need not wait for the lease to end. Blocks on the store; not to be
    // called during a tick.
    void release();

    const std::string& duty() const { return duty_; }

private:
    void renew(const LeaseId&, Milliseconds now);
    void tryToTake(Milliseconds now);
    bool writeHolder(const LeaseId&);
    void hold(const LeaseId&, Milliseconds since);
    void drop(Milliseconds now);

    KeyValueStore& store_;
    const Clock& clock_;
    InstanceId self_;
    std::string duty_;
    DutyOptions options_;

    mutable std::mutex mutex_; // protects the members below; not held during calls
    std::optional<LeaseId> lease_;
    Milliseconds heldUntil_ { 0 };
    Milliseconds nextAction_ { 0 };
};

} // namespace rosemarylink::state
