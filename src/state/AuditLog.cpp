#include "rosemarylink/state/AuditLog.h"

#include "rosemarylink/state/ConfigStore.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace rosemarylink::state {

namespace {

    constexpr const char* auditPrefix = "audit/";

    // Entries are ordered by version but dated by the gateways' clocks, which may differ by this much at most. Reading
    // continues past the start of a time range by as much.
    constexpr Milliseconds clockTolerance = std::chrono::hours(1);

    bool matches(const AuditFilter& filter, const config::AuditEntry& entry)
    {
        return (!filter.changedBy || entry.changedBy == *filter.changedBy)
            && (!filter.since || entry.at >= *filter.since) && (!filter.until || entry.at <= *filter.until)
            && (!filter.firstVersion || entry.toVersion >= *filter.firstVersion)
            && (!filter.lastVersion || entry.toVersion <= *filter.lastVersion);
    }

    // Collects entries from the newest to the oldest.
    class Collector {
    public:
        explicit Collector(const AuditFilter& filter)
            : filter_(filter)
        {
        }

        void add(const std::vector<config::AuditEntry>& oldestFirst)
        {
            for (auto entry = oldestFirst.rbegin(); entry != oldestFirst.rend(); ++entry) {
                // Skips duplicates: a page is written before its entries are removed from the record.
                if (oldest_ && entry->toVersion >= *oldest_)
                    continue;
                oldest_ = entry->toVersion;
                oldestAt_ = entry->at;
                if (found_.size() < filter_.limit && matches(filter_, *entry))
                    found_.push_back(*entry);
            }
        }

        // True when a version older than all added ones may match.
        bool olderMayMatch() const
        {
            return found_.size() < filter_.limit && oldest_ && *oldest_ > ConfigVersion(1)
                && (!filter_.firstVersion || *oldest_ > *filter_.firstVersion)
                && (!filter_.since || oldestAt_ + clockTolerance >= *filter_.since);
        }

        ConfigVersion oldest() const { return *oldest_; }
        std::vector<config::AuditEntry> take() { return std::move(found_); }

    private:
        const AuditFilter& filter_;
        std::vector<config::AuditEntry> found_;
        std::optional<ConfigVersion> oldest_;
        Timestamp oldestAt_ {};
    };

} // namespace

std::string auditPageKey(ConfigVersion first)
{
    // Leading zeros make the lexical order of the keys that of the versions.
    std::ostringstream key;
    key << auditPrefix << std::setw(12) << std::setfill('0') << first.value();
    return key.str();
}

Result<config::AuditPage> decodeAuditPage(const std::string& bytes)
{
    const auto json = nlohmann::json::from_cbor(bytes, true, false);
    if (!json.is_object())
        return makeError(ErrorCode::Internal, "an audit page is not a CBOR object");
    if (json.value("schemaVersion", 0) != 1)
        return makeError(ErrorCode::Unsupported, "an audit page has an unsupported schema version");
    return config::parseAuditPage(json, "audit page");
}

AuditLog::AuditLog(KeyValueStore& store)
    : store_(store)
{
}

Result<std::vector<config::AuditEntry>> AuditLog::read(const AuditFilter& filter)
{
    Collector collector(filter);
    // Reads the record before the pages: entries move from the record to a page, so the reverse order could miss them.
    BOOST_OUTCOME_TRY(value, store_.read(configKey));
    if (!value)
        return collector.take();
    BOOST_OUTCOME_TRY(record, decodeConfigRecord(value->bytes));
    collector.add(record.audit);
    while (collector.olderMayMatch()) {
        const ConfigVersion first = collector.oldest() - ConfigVersion(ConfigStore::entriesInPage);
        BOOST_OUTCOME_TRY(page, store_.read(auditPageKey(first)));
        if (!page)
            break; // older pages have expired
        BOOST_OUTCOME_TRY(decoded, decodeAuditPage(page->bytes));
        collector.add(decoded.entries);
    }
    return collector.take();
}

Result<std::size_t> AuditLog::removeExpired(Timestamp now, Milliseconds retention)
{
    BOOST_OUTCOME_TRY(pages, store_.list(auditPrefix));
    // Removes the oldest page first: read stops at the first missing page, so an interruption must leave no gap.
    std::sort(pages.begin(), pages.end(), [](const KeyedValue& a, const KeyedValue& b) { return a.key < b.key; });
    std::size_t removed = 0;
    for (const KeyedValue& page : pages) {
        BOOST_OUTCOME_TRY(decoded, decodeAuditPage(page.value.bytes));
        const bool expired = std::all_of(decoded.entries.begin(), decoded.entries.end(),
            [&](const config::AuditEntry& entry) { return entry.at < now - retention; });
        if (!expired)
            break;
        const Status status = store_.remove(page.key, page.value.revision);
        if (!status && status.error().code != ErrorCode::NotFound)
            return status.error();
        ++removed;
    }
    return removed;
}

} // namespace rosemarylink::state
