#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Config.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <chrono>
#include <optional>
#include <vector>

namespace rosemarylink::state {

// Selects audit entries; an absent condition matches every entry.
struct AuditFilter {
    std::optional<OperatorId> changedBy;
    std::optional<Timestamp> since; // inclusive
    std::optional<Timestamp> until; // inclusive
    std::optional<ConfigVersion> firstVersion; // inclusive, of the version that the change made
    std::optional<ConfigVersion> lastVersion; // inclusive
    std::size_t limit = 100; // maximum number of entries; the newest matching ones are returned
};

// The audit trail: the entries in the configuration record and in the pages that older entries were moved to. Methods
// block on the store.
class AuditLog {
public:
    explicit AuditLog(KeyValueStore&);

    // Returns the matching entries, newest first, each version once. Reads pages of 64 entries, one store call each,
    // from the newest on and stops when no older page can match.
    Result<std::vector<config::AuditEntry>> read(const AuditFilter&);

    // Removes the pages whose entries are all older than the retention. Returns the number of removed pages. To be
    // called periodically by the holder of the duty "audit-retention".
    Result<std::size_t> removeExpired(Timestamp now, Milliseconds retention = defaultRetention);

    static constexpr Milliseconds defaultRetention = std::chrono::hours(24 * 30);

private:
    KeyValueStore& store_;
};

// Returns the store key of the page whose first entry is that of this version.
std::string auditPageKey(ConfigVersion first);

Result<config::AuditPage> decodeAuditPage(const std::string& bytes);

} // namespace rosemarylink::state
