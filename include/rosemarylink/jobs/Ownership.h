#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/jobs/RecordStore.h"
#include "rosemarylink/jobs/Timers.h"

#include <functional>
#include <optional>
#include <string>

namespace rosemarylink::jobs {

// What an instance's machine has for it. Owning takes more than serving callers.
struct InstanceCapacity {
    double cores = 1;
    double linkMbps = 1000;
};

// How long an instance leaves a free record to instances with more capacity.
Milliseconds deferenceOf(const InstanceCapacity&);

// Makes at most one instance the owner of all pools, by a record on a store lease. The fencing token is the revision at
// which the record was created.
class Ownership {
public:
    struct Listener {
        std::function<void(FencingToken)> gained;
        std::function<void(const std::string& reason)> lost;
    };

    // The record has been free for `deference` before this instance takes it.
    Ownership(RecordStore&, Timers&, const Clock&, std::string instance, Milliseconds deference);

    // Follows the record and takes it when it is free.
    void start(Listener);

    // Gives the record up, if held, and does not take it again.
    void leave();

    // True while no other instance can hold the record, by this machine's clock.
    bool valid() const { return held_ && clock_.monotonic() < validUntil_; }
    bool held() const { return held_; }
    FencingToken token() const { return token_; }

    // The condition that every write of the owner carries.
    Precondition condition() const;

    // Tells that a write failed on that condition.
    void reportConflict();

private:
    void look();
    void follow(Revision after);
    void contendInTurn();
    void contend();
    void settle(StoreLeaseId, Milliseconds grantedAt, Milliseconds ttl);
    void gain(Revision revision, StoreLeaseId, Milliseconds grantedAt, Milliseconds ttl);
    void renew();
    void lose(const std::string& reason);

    RecordStore& store_;
    Timers& timers_;
    const Clock& clock_;
    std::string instance_;
    std::string nonce_;
    Milliseconds deference_;
    std::optional<Milliseconds> freeSince_; // of the record, as far as it is known here
    Listener listener_;
    FencingToken token_ { 0 };
    StoreLeaseId lease_ = 0;
    Milliseconds validUntil_ { 0 };
    bool held_ = false;
    bool contending_ = false;
    bool leaving_ = false;
    std::uint64_t epoch_ = 0; // of one tenure, so that late answers of an earlier one are ignored
};

} // namespace rosemarylink::jobs
