#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/jobs/HedgePolicy.h"
#include "rosemarylink/jobs/RecordStore.h"
#include "rosemarylink/jobs/Timers.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace rosemarylink::jobs {

// A store whose calls are attempted again while they have no response (hedged calls). The first conclusive response is
// that of the call: a refusal or a missing response is not conclusive while another attempt may still respond. All
// attempts together keep to the timeout of the call.
//
// Attempted again are reads, grants and renewals of leases, batches without changes, and batches whose second execution
// is harmless: those that change the record of one of their preconditions, so that the second one fails, and those with
// Batch::mayRepeat. Lists, watches and records that were large when they were last seen are not, since a second
// transfer would slow down the first.
//
// A batch that fails on a further attempt because an earlier one has taken effect counts as Done if the records show
// it. Otherwise the response has StoreResponse::unresolvedAttempt.
//
// Must be used on the event loop's thread.
class HedgedStore final : public RecordStore {
public:
    // First attempts are sent to `first`, and further ones to `further`: the same store, but over other connections.
    HedgedStore(RecordStore& first, RecordStore& further, Timers&, const Clock&, MetricsRegistry&);

    std::size_t maximumValueBytes() const override { return first_.maximumValueBytes(); }
    bool losesResponses() const override { return policy_.losesResponses(clock_.monotonic()); }
    void commit(const Batch&, Milliseconds timeout, StoreHandler) override;
    void read(const std::string& key, Milliseconds timeout, StoreHandler) override;
    void list(const std::string& prefix, Milliseconds timeout, StoreHandler) override;
    void watch(const std::string& prefix, Revision after, Milliseconds wait, StoreHandler) override;
    void grantLease(Milliseconds ttl, Milliseconds timeout, StoreHandler) override;
    void keepLease(StoreLeaseId, Milliseconds timeout, StoreHandler) override;
    void endLease(StoreLeaseId, Milliseconds timeout, StoreHandler) override;

private:
    using Attempt = std::function<void(RecordStore&, Milliseconds timeout, StoreHandler)>;
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    CallPointer makeCall(const char* kind, Milliseconds timeout, Attempt, StoreHandler);
    void start(const CallPointer&);
    void sendAttempt(const CallPointer&);
    void awaitResponse(const CallPointer&);
    void handleOverdue(const CallPointer&);
    void handleResponse(const CallPointer&, int attempt, Milliseconds sentAt, const StoreResponse&);
    void finish(const CallPointer&, int attempt, StoreResponse);
    void countAttempt(const char* outcome, int attempts = 1);
    void noteSizes(const StoreResponse&);
    void logOverdue(const Call&, bool attempted);

    RecordStore& first_;
    RecordStore& further_;
    Timers& timers_;
    const Clock& clock_;
    MetricsRegistry& metrics_;
    HedgePolicy policy_;
    std::set<std::string> largeKeys_;
    std::optional<Milliseconds> loggedAt_; // time of the last log line about a missing response
};

} // namespace rosemarylink::jobs
