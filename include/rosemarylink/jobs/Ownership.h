#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/jobs/Duty.h"
#include "rosemarylink/jobs/JobMetrics.h"
#include "rosemarylink/jobs/RecordStore.h"
#include "rosemarylink/jobs/Timers.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rosemarylink::jobs {

// Resources available to an instance. An owner needs more of them than an instance that only serves callers.
struct InstanceCapacity {
    double cores = 1;
    double linkMbps = 1000;
    std::size_t memoryMb = 0; // 0 if not known
    std::size_t fileDescriptors = 0; // 0 if not known
};

// Returns how long an instance with this capacity waits before it acquires a free ownership record, so that instances
// with more capacity can acquire it first.
Milliseconds acquisitionDelayFor(const InstanceCapacity&);

// Elects at most one instance as the owner of all pools. The owner holds a record that is bound to a store lease; the
// fencing token is the revision at which that record was created. Must be used on the event loop's thread.
class Ownership {
public:
    struct Listener {
        std::function<void(FencingToken)> gained;
        std::function<void(const std::string& reason)> lost;
    };

    // Acquires the record only after it has been free for `acquisitionDelay`, and a little later where the last owner
    // acquired it after this instance was started.
    Ownership(RecordStore&, Timers&, const Clock&, JobMetrics&, std::string instance, Milliseconds acquisitionDelay);

    // Watches the record and acquires it whenever it is free. Must be called once.
    void start(Listener);

    // Releases the record, if held, and does not acquire it again. The listener is not called.
    void resign();

    // True while this instance holds the record and its lease cannot have expired, judged by the local monotonic clock.
    bool valid() const { return held_ && clock_.monotonic() < validUntil_; }
    bool held() const { return held_; }

    // When valid() ends, or has ended, on the local monotonic clock.
    Milliseconds validUntil() const { return validUntil_; }

    // True while runs that this owner has started may be kept alive or stopped: the lease is valid, or a renewal that
    // was sent after its end failed because the store did not respond. Without the latter, a process that resumes after
    // a pause would command workers that another owner may command by now.
    bool mayCommand() const { return held_ && (valid() || (failedRenewalAt_ && *failedRenewalAt_ >= validUntil_)); }
    FencingToken token() const { return token_; }

    // Sets the metric for the time since the lease was last renewed.
    void updateMetrics() const;

    // Precondition that every write of the owner must include. It fails once another instance is the owner.
    Precondition condition() const;

    // Must be called when the precondition fails or a worker rejects the fencing token; drops the ownership.
    void reportConflict();

    // Drops the ownership, which the store would still renew, so that an instance that can do an owner's work acquires
    // it. This instance leaves the record to the others for a while.
    void giveUp(const std::string& reason);

private:
    void checkRecord();
    void watchRecord(Revision after);
    void acquireAfterDelay();
    void acquire();
    void resolveUnknownAcquisition(const std::string& value, StoreLeaseId, Milliseconds grantedAt, Milliseconds ttl);
    void becomeOwner(Revision revision, StoreLeaseId, Milliseconds grantedAt, Milliseconds ttl);
    void renew();
    void loseOwnership(const std::string& reason);

    RecordStore& store_;
    Timers& timers_;
    const Clock& clock_;
    JobMetrics& metrics_;
    std::string instance_;
    Milliseconds acquisitionDelay_;
    Revision startRevision_ { 0 }; // of the store when this instance first read the record
    Revision lastOwner_ { 0 }; // of the record when it was last seen
    std::optional<Milliseconds> unownedSince_; // since when the record has been seen free
    Listener listener_;
    FencingToken token_ { 0 };
    StoreLeaseId lease_ = 0;
    Milliseconds validUntil_ { 0 };
    std::optional<Milliseconds> failedRenewalAt_; // when the last renewal that got no response was sent
    bool held_ = false;
    bool acquiring_ = false;
    bool resigning_ = false;
    bool gaveUp_ = false; // the last ownership
    std::shared_ptr<Duty> renewal_; // of the lease; null unless the record is held
};

} // namespace rosemarylink::jobs
