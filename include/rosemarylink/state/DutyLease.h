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
    // Between attempts to acquire a duty that another instance holds; reduced by a random jitter of up to a quarter.
    Milliseconds retryInterval { 2500 };
};

// A duty, such as watching the configuration, that one instance at a time performs under a store lease. Correctness
// must not depend on a duty having one holder: two concurrent holders only cause additional store calls.
class DutyLease {
public:
    DutyLease(KeyValueStore&, const Clock&, const InstanceId& self, const std::string& duty, const DutyOptions& = {});

    // Acquires or renews the duty when that is due. Blocks on the store. Call from one thread only.
    void tick();

    // True while the lease cannot have expired according to the local clock. The TTL is counted from before the last
    // renewal was sent.
    bool held() const;

    // Releases the duty, so that another instance need not wait for the lease to expire. Blocks on the store. Must not
    // be called concurrently with tick.
    void release();

    const std::string& duty() const { return duty_; }

private:
    void renew(const LeaseId&, Milliseconds now);
    void tryAcquire(Milliseconds now);
    bool writeHolder(const LeaseId&);
    void setHeld(const LeaseId&, Milliseconds since);
    void setLost(Milliseconds now);

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
