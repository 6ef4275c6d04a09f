#include "NonIdempotentHandler.h"

#include "AccountDirectory.h"
#include "RequestMetrics.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::gateway::internal {

namespace {

    constexpr int maximumConnectAttempts = 3;
    constexpr Milliseconds storeRetryAfter { 1000 };

    // The request is not sent without a confirmed record, so it has not run even if the record was written.
    Error notRecordedError(const Error& cause)
    {
        return Error { ErrorCode::Unavailable,
            "the attempt of the non-idempotent request could not be recorded: " + cause.message, Verdict::NotRun,
            cause.retryAfter.value_or(storeRetryAfter) };
    }

} // namespace

NonIdempotentHandler::NonIdempotentHandler(const GatewayRequest& request, const IdempotencyKey& key, ServicePool& pool,
    AttemptLog& log, const NonIdempotentOptions& options, const Clock& clock, RequestMetrics& metrics)
    : request_(request)
    , key_(key)
    , pool_(pool)
    , log_(log)
    , options_(options)
    , clock_(clock)
    , metrics_(metrics)
    , bodySha256_(sha256Hex(request.upstreamRequest.body))
{
}

Result<attempts::AttemptRecord> NonIdempotentHandler::handle()
{
    // Read before waiting for a slot: a repeated key returns its outcome, and a failed store is reported at once.
    auto existing = log_.read(request_.account, key_);
    if (!existing)
        return notRecordedError(existing.error());
    if (existing.value())
        return outcomeFromRecord(existing.value()->record);
    BOOST_OUTCOME_TRY(call, connect());
    auto started = log_.start(request_.account, key_, makeRecord());
    if (!started) {
        call.reset();
        return started.error().code == ErrorCode::Conflict ? readExistingOutcome() : notRecordedError(started.error());
    }
    attempts::AttemptRecord outcome = execute(*call, started.value());
    call.reset();
    recordOutcome(started.value(), outcome);
    return outcome;
}

Result<std::unique_ptr<UpstreamCall>> NonIdempotentHandler::connect()
{
    SlotRequest slotRequest = makeSlotRequest(request_);
    for (int attempt = 1;; ++attempt) {
        BOOST_OUTCOME_TRY(slot, pool_.acquire(slotRequest, request_.cancelled));
        slotRequest.tried.insert(slot.upstream);
        auto call = openCall(pool_, slot, true, request_.deadline, clock_, metrics_);
        // Nothing has been sent or recorded yet, so it is safe to try another upstream.
        if (call || attempt == maximumConnectAttempts)
            return call;
    }
}

void NonIdempotentHandler::recordOutcome(const StoredAttempt& started, attempts::AttemptRecord outcome)
{
    if (outcome.answer.size() > options_.maximumStoredResponseBytes) {
        outcome.answer.clear();
        outcome.answerOmitted = true;
    }
    // The caller gets its response even if the outcome cannot be stored; later requests for it then see MayHaveRun.
    if (!log_.finish(request_.account, key_, started, std::move(outcome)))
        metrics_.attemptWriteFailures.add();
}

Result<attempts::AttemptRecord> NonIdempotentHandler::readExistingOutcome()
{
    auto existing = log_.read(request_.account, key_);
    // Another gateway recorded the attempt first, so it is unknown here whether the request ran.
    if (!existing || !existing.value()) {
        return Error { ErrorCode::Conflict, "the request with this key is in progress", Verdict::MayHaveRun,
            storeRetryAfter };
    }
    return outcomeFromRecord(existing.value()->record);
}

Result<attempts::AttemptRecord> NonIdempotentHandler::outcomeFromRecord(const attempts::AttemptRecord& record) const
{
    if (record.service != request_.service || !equalInConstantTime(record.bodySha256, bodySha256_))
        return invalidArgument("the idempotency key was used for another request");
    if (record.phase == attempts::AttemptPhase::Started)
        return unfinishedAttemptError(record, clock_.now());
    return record;
}

attempts::AttemptRecord NonIdempotentHandler::makeRecord() const
{
    attempts::AttemptRecord record;
    record.request = request_.upstreamRequest.id;
    record.service = request_.service;
    record.bodySha256 = bodySha256_;
    record.gateway = options_.gateway;
    record.startedAt = clock_.now();
    record.deadline = record.startedAt + std::max(Milliseconds(0), request_.deadline - clock_.monotonic());
    return record;
}

attempts::AttemptRecord NonIdempotentHandler::execute(UpstreamCall& call, const StoredAttempt& started)
{
    attempts::AttemptRecord outcome = started.record;
    auto response = exchange(call);
    if (!response) {
        outcome.verdict = std::string(verdictName(response.error().verdict));
        outcome.code = std::string(errorCodeName(response.error().code));
        outcome.message = response.error().message;
        return outcome;
    }
    outcome.verdict = std::string(verdictName(Verdict::Ran));
    outcome.status = response.value().status;
    outcome.contentType = response.value().contentType.substr(0, 256);
    outcome.answer = std::move(response.value().body);
    return outcome;
}

Result<UpstreamResponse> NonIdempotentHandler::exchange(UpstreamCall& call)
{
    const auto remaining = [this] { return request_.deadline - clock_.monotonic(); };
    // Writing the record may have taken long. Other gateways treat it as MayHaveRun after its deadline, so nothing may
    // be sent after that.
    if (remaining() <= Milliseconds(0))
        return Error { ErrorCode::DeadlineExceeded, "the deadline passed before the request was sent", Verdict::NotRun,
            std::nullopt };
    BOOST_OUTCOME_TRYV(call.send(request_.upstreamRequest, remaining()));
    // The request continues when the caller disconnects, since its outcome can still be fetched by the key.
    const Milliseconds left = std::max(Milliseconds(1), remaining());
    return call.receive(left, left);
}

} // namespace rosemarylink::gateway::internal
