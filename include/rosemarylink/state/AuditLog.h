#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Config.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <chrono>
#include <optional>
#include <vector>

namespace rosemarylink::state {

// Which entries to read; absent conditions hold for all.
struct AuditFilter {
    std::optional<OperatorId> changedBy;
    std::optional<Timestamp> since; // inclusive
    std::optional<Timestamp> until; // inclusive
    std::optional<ConfigVersion> firstVersion; // inclusive, of the version that the change made
    std::optional<ConfigVersion> lastVersion; // inclusive
    std::size_t limit = 100; // the newest ones are kept
};

// The audit trail: the entries inside the configuration record and the pages that were moved out of it. Methods block
// on the store.
class AuditLog {
public:
    explicit AuditLog(KeyValueStore&);

    // Newest first, each version once. Reads one page of 64 entries a call, newest first, and stops when no older page
    // can match.
    Result<std::vector<config::AuditEntry>> read(const AuditFilter&);

    // Removes the pages whose entries are all older than the retention. Returns how many were removed. To be called by
    // the holder of the duty "audit-retention" once in a while.
    Result<std::size_t> removeExpired(Timestamp now, Milliseconds retention = defaultRetention);

    static constexpr Milliseconds defaultRetention = std::chrono::hours(24 * 30);

private:
    KeyValueStore& store_;
};

// Key of the page whose first entry made this version.
std::string auditPageKey(ConfigVersion first);

Result<config::AuditPage> decodeAuditPage(const std::string& bytes);

} // namespace rosemarylink::state
