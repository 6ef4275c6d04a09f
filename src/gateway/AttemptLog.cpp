#include "AttemptLog.h"

#include "rosemarylink/base/RandomId.h"

#include <algorithm>

namespace rosemarylink::gateway::internal {

namespace {

    // The time after a request's deadline within which its gateway records the outcome, even with a slow store.
    constexpr Milliseconds outcomeGracePeriod { 5000 };

    // How often a write is sent when its replies are lost and the key is unchanged.
    constexpr int maximumWriteTries = 3;

    std::string attemptKey(const AccountId& account, const IdempotencyKey& key)
    {
        return "attempts/" + account.value() + "/" + key.value();
    }

    std::string encode(const attempts::AttemptRecord& record)
    {
        const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(toJson(record));
        return { bytes.begin(), bytes.end() };
    }

    Result<attempts::AttemptRecord> decode(const std::string& bytes)
    {
        const auto json = nlohmann::json::from_cbor(bytes, true, false);
        if (json.is_discarded())
            return makeError(ErrorCode::Unsupported, "an attempt record is not CBOR");
        auto record = attempts::parseAttemptRecord(json);
        if (!record)
            return makeError(ErrorCode::Unsupported, "unknown attempt record: " + record.error().message);
        return record;
    }

} // namespace

AttemptLog::AttemptLog(state::KeyValueStore& store)
    : store_(store)
{
}

Result<std::optional<StoredAttempt>> AttemptLog::read(const AccountId& account, const IdempotencyKey& key)
{
    BOOST_OUTCOME_TRY(value, store_.read(attemptKey(account, key)));
    if (!value)
        return std::optional<StoredAttempt>();
    BOOST_OUTCOME_TRY(record, decode(value->bytes));
    return std::optional<StoredAttempt>(StoredAttempt { std::move(record), value->revision });
}

Result<StoredAttempt> AttemptLog::start(
    const AccountId& account, const IdempotencyKey& key, attempts::AttemptRecord record)
{
    record.schemaVersion = 1;
    record.operation = makeRandomId<OperationId>();
    record.phase = attempts::AttemptPhase::Started;
    BOOST_OUTCOME_TRY(revision, write(attemptKey(account, key), Revision(0), record));
    return StoredAttempt { std::move(record), revision };
}

Status AttemptLog::finish(
    const AccountId& account, const IdempotencyKey& key, const StoredAttempt& started, attempts::AttemptRecord outcome)
{
    outcome.schemaVersion = 1;
    outcome.operation = makeRandomId<OperationId>();
    outcome.phase = attempts::AttemptPhase::Done;
    BOOST_OUTCOME_TRYV(write(attemptKey(account, key), started.revision, outcome));
    return okStatus();
}

Result<Revision> AttemptLog::write(const std::string& key, Revision expected, const attempts::AttemptRecord& record)
{
    const std::string bytes = encode(record);
    Error error;
    for (int round = 0; round < maximumWriteTries; ++round) {
        auto written = store_.compareAndSwap(key, expected, bytes);
        if (written)
            return written;
        error = written.error();
        // A conflict may be caused by this gateway's own earlier write whose reply was lost.
        if (error.code != ErrorCode::Conflict && error.verdict != Verdict::MayHaveRun)
            return error;
        BOOST_OUTCOME_TRY(own, findOwnWrite(key, expected, record.operation));
        if (own)
            return *own;
    }
    return error;
}

Result<std::optional<Revision>> AttemptLog::findOwnWrite(
    const std::string& key, Revision expected, const OperationId& operation)
{
    BOOST_OUTCOME_TRY(value, store_.read(key));
    if ((value ? value->revision : Revision(0)) == expected)
        return std::optional<Revision>();
    if (value) {
        const auto present = decode(value->bytes);
        if (present && present.value().operation == operation)
            return std::optional<Revision>(value->revision);
    }
    return makeError(ErrorCode::Conflict, "another attempt with this idempotency key is recorded");
}

Error unfinishedAttemptError(const attempts::AttemptRecord& record, Timestamp now)
{
    if (now < record.deadline + outcomeGracePeriod) {
        const Milliseconds remaining = std::max(Milliseconds(100), (record.deadline - now) / 4);
        return Error { ErrorCode::Conflict, "the request with this key is in progress", Verdict::MayHaveRun,
            std::min(remaining, Milliseconds(5000)) };
    }
    return Error { ErrorCode::DeadlineExceeded,
        "the gateway that handled this request recorded no outcome; the request may have run", Verdict::MayHaveRun,
        std::nullopt };
}

} // namespace rosemarylink::gateway::internal
