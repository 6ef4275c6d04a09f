#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"

#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::state {

struct StoredValue {
    std::string bytes; // CBOR of a schema-defined record
    Revision revision;
};

struct KeyedValue {
    std::string key;
    StoredValue value;
};

// One change seen by a watch; a removed key has no value.
struct WatchEvent {
    std::string key;
    Revision revision;
    std::optional<std::string> bytes;
};

// The platform's key-value store. Calls block up to the implementation's deadline. Thread-safe. Every method fails with
// Unavailable when the store cannot be reached; the error of a write then has the verdict NotRun when the write had no
// effect, and MayHaveRun when its reply was lost.
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;

    // Returns the value, or nullopt when the key is absent.
    virtual Result<std::optional<StoredValue>> read(const std::string& key) = 0;

    virtual Result<std::vector<KeyedValue>> list(const std::string& prefix) = 0;

    // Writes the value if the key has the expected revision, where 0 means that the key is absent, and returns the new
    // revision. A value bound to a lease is removed when the lease ends. Fails with Conflict when the revision differs.
    virtual Result<Revision> compareAndSwap(const std::string& key, Revision expected, const std::string& bytes,
        const std::optional<LeaseId>& lease = std::nullopt)
        = 0;

    // Removes the key if it has the expected revision. Fails with Conflict when the revision differs.
    virtual Status remove(const std::string& key, Revision expected) = 0;

    virtual Result<LeaseId> grantLease(Milliseconds ttl) = 0;
    virtual Status renewLease(const LeaseId&) = 0; // fails with NotFound when the lease has ended
    virtual Status revokeLease(const LeaseId&) = 0;

    // Waits for changes of keys with the prefix after the given revision of the whole store. Returns no events at the
    // time-out.
    virtual Result<std::vector<WatchEvent>> watch(const std::string& prefix, Revision after, Milliseconds timeout) = 0;
};

} // namespace rosemarylink::state
