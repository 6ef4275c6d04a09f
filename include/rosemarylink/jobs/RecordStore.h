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
    Revision revision { 0 }; // of its last change; 0 in an answer to a condition means that the key is absent
};

struct Precondition {
    std::string key;
    Revision revision { 0 }; // 0: the key must be absent
};

using StoreLeaseId = std::int64_t;

struct Put {
    std::string key;
    std::string value;
    StoreLeaseId lease = 0; // 0: the record lasts until it is removed
};

// A change that takes effect as a whole, or not at all when a precondition does not hold.
struct Batch {
    std::vector<Precondition> preconditions;
    std::vector<Put> puts;
    std::vector<std::string> removals;

    std::size_t entries() const { return preconditions.size() + puts.size() + removals.size(); }
};

enum class StoreOutcome {
    Done,
    Conflict, // a precondition did not hold; nothing was done
    NotFound, // the key or lease does not exist
    HistoryGone, // changes since that revision are no longer known; list again
    Refused, // certain: nothing was done; the store is busy, down or out of reach
    Unknown, // no answer: it may have been done, or may still be done
};

struct StoreAnswer {
    StoreOutcome outcome = StoreOutcome::Unknown;
    Revision revision { 0 }; // of the change, or of the store when it answered a read
    std::vector<Record> records; // what was read; for a conflict, the state of the keys of the preconditions
    std::vector<std::string> removedKeys; // a watch only
    StoreLeaseId lease = 0;
    Milliseconds leaseTtl { 0 };

    bool done() const { return outcome == StoreOutcome::Done; }
};

using StoreHandler = std::function<void(const StoreAnswer&)>;

// The platform's store, as the product needs it. All calls return at once and call the handler later, exactly once.
class RecordStore {
public:
    // Most entries of one batch.
    static constexpr std::size_t maximumBatchEntries = 32;

    virtual ~RecordStore() = default;

    virtual void commit(const Batch&, Milliseconds timeout, StoreHandler) = 0;
    virtual void read(const std::string& key, Milliseconds timeout, StoreHandler) = 0;

    // All records below the prefix, in pages that are not a snapshot. The answer's revision is that of the first page,
    // so that a watch from there misses nothing.
    virtual void list(const std::string& prefix, Milliseconds timeout, StoreHandler) = 0;

    // Waits for changes below the prefix after the revision; answers Done without changes after the wait.
    virtual void watch(const std::string& prefix, Revision after, Milliseconds wait, StoreHandler) = 0;

    virtual void grantLease(Milliseconds ttl, Milliseconds timeout, StoreHandler) = 0;
    virtual void keepLease(StoreLeaseId, Milliseconds timeout, StoreHandler) = 0;
    virtual void endLease(StoreLeaseId, Milliseconds timeout, StoreHandler) = 0;
};

} // namespace rosemarylink::jobs
