#pragma once

#include "rosemarylink/base/Units.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

struct Record {
    std::string key;
    std::string value;
    Revision revision { 0 }; // of the last change; 0 in the response to a failed precondition if the key is absent
};

struct Precondition {
    std::string key;
    Revision revision { 0 }; // 0 if the key must be absent
};

using StoreLeaseId = std::int64_t;

struct Put {
    std::string key;
    std::string value;
    StoreLeaseId lease = 0; // 0 if the record does not expire
};

// A set of changes that is applied atomically, and only if all preconditions hold. A batch without changes tells
// whether they hold.
struct Batch {
    std::vector<Precondition> preconditions;
    std::vector<Put> puts;
    std::vector<std::string> removals;

    // Set where a second execution is harmless, at any time within which the store may execute a call late, although
    // the first does not make a precondition fail.
    bool mayRepeat = false;

    bool hasChanges() const { return !puts.empty() || !removals.empty(); }
    std::size_t entries() const { return preconditions.size() + puts.size() + removals.size(); }
};

enum class StoreOutcome {
    Done,
    Conflict, // a precondition did not hold; the call had no effect
    NotFound, // the key or lease does not exist
    HistoryGone, // the store no longer keeps the changes since that revision; list the records again
    Refused, // the store is overloaded, down or unreachable; the call has had no effect and never will
    Unknown, // no response; the call may have taken effect or may still do so
};

struct StoreResponse {
    StoreOutcome outcome = StoreOutcome::Unknown;
    Revision revision { 0 }; // of the committed change, or of the store at the time of a read
    std::vector<Record> records; // records read; after a conflict, the current records of the preconditions' keys
    std::vector<std::string> removedKeys; // set by watch() only
    StoreLeaseId lease = 0;
    Milliseconds leaseTtl { 0 };

    // Another attempt of the same call got no response and may have taken effect, or may still do so, although this
    // attempt had no effect. Set by HedgedStore, for batches with changes only.
    bool unresolvedAttempt = false;

    bool done() const { return outcome == StoreOutcome::Done; }
};

using StoreHandler = std::function<void(const StoreResponse&)>;

// Interface to the platform's key-value store. Calls do not block; each calls its handler exactly once, after the call
// has returned, on the event loop's thread. A timeout or failed connection is reported as an outcome. The timeout of a
// batch with changes limits the whole call, so that the records of a failed precondition do not occupy the link for a
// call that has been given up. The timeouts of all other calls limit the time without progress: until the response
// begins to arrive, and between its parts.
class RecordStore {
public:
    // Limit on Batch::entries().
    static constexpr std::size_t maximumBatchEntries = 32;

    virtual ~RecordStore() = default;

    // Limit on the size of a record's value. The store rejects a whole batch for one value that exceeds it, and the
    // outcome is then Unknown.
    virtual std::size_t maximumValueBytes() const = 0;

    // True while calls have recently got no response within several times the usual time. A caller that waits for an
    // event then asks at short intervals.
    virtual bool losesResponses() const { return false; }

    virtual void commit(const Batch&, Milliseconds timeout, StoreHandler) = 0;
    virtual void read(const std::string& key, Milliseconds timeout, StoreHandler) = 0;

    // Reads all records whose keys start with the prefix. The store returns them in pages that are not one snapshot;
    // the response has the revision of the first page, so that a watch from that revision misses no change.
    virtual void list(const std::string& prefix, Milliseconds timeout, StoreHandler) = 0;

    // Waits for changes after `after` to keys that start with the prefix. If there are none within `wait`, the outcome
    // is Done, without records.
    virtual void watch(const std::string& prefix, Revision after, Milliseconds wait, StoreHandler) = 0;

    virtual void grantLease(Milliseconds ttl, Milliseconds timeout, StoreHandler) = 0;
    virtual void keepLease(StoreLeaseId, Milliseconds timeout, StoreHandler) = 0;
    virtual void endLease(StoreLeaseId, Milliseconds timeout, StoreHandler) = 0;
};

} // namespace rosemarylink::jobs
