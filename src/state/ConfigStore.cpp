#include "rosemarylink/state/ConfigStore.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/state/AuditLog.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <algorithm>

namespace rosemarylink::state {

namespace {

    const Logger logger("config");

    // Attempts of a write whose reply was lost, in addition to the retries of the store client.
    constexpr int writeAttempts = 3;

    std::string formatTime(Timestamp time)
    {
        const Poco::Timestamp poco(toMilliseconds(time) * 1000);
        return Poco::DateTimeFormatter::format(poco, Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
    }

    template <typename Record> std::string encode(const Record& record)
    {
        std::string bytes;
        nlohmann::json::to_cbor(toJson(record), bytes);
        return bytes;
    }

    Error conflictWith(const config::AuditEntry& latest, ConfigVersion expected)
    {
        return makeError(ErrorCode::Conflict,
            "version " + std::to_string(latest.toVersion.value()) + " was made by " + latest.changedBy.value() + " at "
                + formatTime(latest.at) + "; the change was based on version " + std::to_string(expected.value()));
    }

    ConfigVersion currentVersion(const std::optional<config::ConfigRecord>& record)
    {
        return record ? record->version : ConfigVersion(0);
    }

    Error notRun(Error error)
    {
        error.verdict = Verdict::NotRun;
        return error;
    }

    Error mayHaveRun(Error error, const OperationId& operation)
    {
        error.verdict = Verdict::MayHaveRun;
        error.message
            += "; whether the change was stored is unknown until it is repeated with operation id " + operation.value();
        return error;
    }

} // namespace

config::ConfigInForce configInForce(const config::ConfigRecord& record)
{
    return { record.version, record.operation, record.audit.back().at, record.declarations };
}

Result<config::ConfigRecord> decodeConfigRecord(const std::string& bytes)
{
    const auto json = nlohmann::json::from_cbor(bytes, true, false);
    if (!json.is_object())
        return makeError(ErrorCode::Internal, std::string(configKey) + " does not hold a record");
    if (json.value("schemaVersion", 0) != 1)
        return makeError(ErrorCode::Unsupported,
            std::string(configKey) + " has schema version " + json.value("schemaVersion", nlohmann::json()).dump()
                + "; this process knows 1");
    return config::parseConfigRecord(json, configKey);
}

ConfigStore::ConfigStore(KeyValueStore& store, const Clock& clock)
    : store_(store)
    , clock_(clock)
{
}

Result<ConfigStore::Stored> ConfigStore::readStored()
{
    BOOST_OUTCOME_TRY(value, store_.read(configKey));
    if (!value)
        return Stored {};
    BOOST_OUTCOME_TRY(record, decodeConfigRecord(value->bytes));
    return Stored { std::move(record), value->revision };
}

Result<std::optional<config::ConfigRecord>> ConfigStore::read()
{
    BOOST_OUTCOME_TRY(stored, readStored());
    return std::move(stored.record);
}

Result<std::optional<ConfigAcceptance>> ConfigStore::existingOutcome(
    const ConfigProposal& proposal, const Stored& stored) const
{
    if (!stored.record)
        return std::optional<ConfigAcceptance>();
    const config::ConfigRecord& record = *stored.record;
    const auto own = std::find_if(record.audit.begin(), record.audit.end(),
        [&](const config::AuditEntry& entry) { return entry.operation == proposal.operation; });
    if (own != record.audit.end())
        return std::make_optional(ConfigAcceptance { own->toVersion, true, configInForce(record) });
    if (toJson(record.declarations) == toJson(proposal.declarations))
        return std::make_optional(ConfigAcceptance { record.version, false, configInForce(record) });
    if (record.version != proposal.expected)
        return conflictWith(record.audit.back(), proposal.expected);
    return std::optional<ConfigAcceptance>();
}

Result<config::ConfigRecord> ConfigStore::nextRecord(const ConfigProposal& proposal, const Stored& stored) const
{
    config::ConfigRecord next;
    next.schemaVersion = 1;
    next.version = currentVersion(stored.record) + ConfigVersion(1);
    next.declarations = proposal.declarations;
    next.operation = proposal.operation;
    if (stored.record) {
        const auto& entries = stored.record->audit;
        const auto moved = entries.size() >= maximumEmbeddedEntries ? entriesInPage : 0;
        next.audit.assign(entries.begin() + static_cast<std::ptrdiff_t>(moved), entries.end());
    }
    next.audit.push_back({ currentVersion(stored.record), next.version, proposal.changedBy, clock_.now(),
        proposal.operation, proposal.summary });
    // Parsing the encoded record validates every range, so that no record is stored that other instances would reject.
    return config::parseConfigRecord(toJson(next), "configuration");
}

Status ConfigStore::moveOldestToPage(const config::ConfigRecord& current)
{
    if (current.audit.size() < maximumEmbeddedEntries)
        return okStatus();
    config::AuditPage page;
    page.schemaVersion = 1;
    page.entries.assign(current.audit.begin(), current.audit.begin() + entriesInPage);
    const std::string key = auditPageKey(page.entries.front().toVersion);
    const std::string bytes = encode(page);
    Result<Revision> created = store_.compareAndSwap(key, Revision(0), bytes);
    for (int attempt = 1; attempt < writeAttempts && !created && created.error().verdict == Verdict::MayHaveRun;
         ++attempt)
        created = store_.compareAndSwap(key, Revision(0), bytes);
    if (created)
        return okStatus();
    if (created.error().code != ErrorCode::Conflict)
        return notRun(created.error());
    // An earlier change was interrupted after it had written the page. That page holds the same entries, because
    // versions increase by one and entries leave the record only after their page has been written.
    BOOST_OUTCOME_TRY(existing, store_.read(key));
    if (existing && existing->bytes != bytes)
        return makeError(ErrorCode::Internal, key + " holds other entries than the configuration record");
    return okStatus();
}

Result<ConfigAcceptance> ConfigStore::write(
    const ConfigProposal& proposal, const Stored& stored, const config::ConfigRecord& next)
{
    const std::string bytes = encode(next);
    if (bytes.size() > maximumRecordSize)
        return invalidArgument("the configuration takes " + std::to_string(bytes.size())
            + " bytes in the store; at most " + std::to_string(maximumRecordSize) + " are allowed");
    // True when an earlier attempt may have been stored; a later attempt that fails with NotRun must not hide that.
    bool mayBeStored = false;
    for (int attempt = 0; attempt < writeAttempts; ++attempt) {
        const Result<Revision> written = store_.compareAndSwap(configKey, stored.revision, bytes);
        if (written)
            return ConfigAcceptance { next.version, true, configInForce(next) };
        const bool conflict = written.error().code == ErrorCode::Conflict;
        if (!conflict && written.error().verdict == Verdict::NotRun && !mayBeStored)
            return written.error();
        mayBeStored = mayBeStored || !conflict;
        const Result<Stored> now = readStored();
        if (!now)
            return mayBeStored ? mayHaveRun(now.error(), proposal.operation) : notRun(now.error());
        // The revision is unchanged after a lost reply: the write has not taken effect, so a retry is safe.
        if (now.value().revision == stored.revision)
            continue;
        BOOST_OUTCOME_TRY(settled, existingOutcome(proposal, now.value()));
        if (settled)
            return *settled;
        return makeError(ErrorCode::Conflict, "the configuration was removed during the change");
    }
    return mayHaveRun(unavailable("the store does not answer to writes", Verdict::MayHaveRun), proposal.operation);
}

Result<ConfigAcceptance> ConfigStore::propose(const ConfigProposal& proposal)
{
    const Result<Stored> stored = readStored();
    if (!stored)
        return notRun(stored.error());
    BOOST_OUTCOME_TRY(settled, existingOutcome(proposal, stored.value()));
    if (settled)
        return *settled;
    if (!stored.value().record && proposal.expected != ConfigVersion(0))
        return makeError(ErrorCode::Conflict,
            "there is no configuration yet; the change was based on version "
                + std::to_string(proposal.expected.value()));
    BOOST_OUTCOME_TRY(next, nextRecord(proposal, stored.value()));
    if (stored.value().record) {
        BOOST_OUTCOME_TRYV(moveOldestToPage(*stored.value().record));
    }
    BOOST_OUTCOME_TRY(accepted, write(proposal, stored.value(), next));
    if (accepted.changed)
        logger.info("version accepted",
            { { "version", accepted.version }, { "changed-by", proposal.changedBy },
                { "operation", proposal.operation } });
    return accepted;
}

} // namespace rosemarylink::state
