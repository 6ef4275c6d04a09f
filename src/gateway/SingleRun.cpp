#include "SingleRun.h"

#include "AccountDirectory.h"
#include "RequestMetrics.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::gateway::internal {

namespace {

    constexpr int maximumConnects = 3;
    constexpr Milliseconds storeRetryAfter { 1000 };

    // Without a confirmed record the request is not sent, whatever became of the record.
    Error notRecorded(const Error& cause)
    {
        return Error { ErrorCode::Unavailable,
            "the attempt of the non-idempotent request could not be recorded: " + cause.message, Verdict::NotRun,
            cause.retryAfter.value_or(storeRetryAfter) };
    }

} // namespace

SingleRun::SingleRun(const GatewayRequest& request, const IdempotencyKey& key, ServicePool& pool, AttemptLog& log,
    const SingleOptions& options, const Clock& clock, RequestMetrics& metrics)
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

Result<attempts::AttemptRecord> SingleRun::run()
{
    // Read first: a repeated key gets its outcome, and a store that is down refuses at once, without a wait for a slot.
    auto first = log_.read(request_.account, key_);
    if (!first)
        return notRecorded(first.error());
    if (first.value())
        return describe(first.value()->record);
    BOOST_OUTCOME_TRY(call, connect());
    auto started = log_.start(request_.account, key_, newRecord());
    if (!started) {
        call.reset();
        return started.error().code == ErrorCode::Conflict ? outcomeOfFirst() : notRecorded(started.error());
    }
    attempts::AttemptRecord outcome = execute(*call, started.value());
    call.reset();
    recordOutcome(started.value(), outcome);
    return outcome;
}

Result<std::unique_ptr<UpstreamCall>> SingleRun::connect()
{
    SlotRequest wanted = slotRequest(request_);
    for (int attempt = 1;; ++attempt) {
        BOOST_OUTCOME_TRY(slot, pool_.acquire(wanted, request_.cancelled));
        wanted.tried.insert(slot.upstream);
        auto call = openCall(pool_, slot, true, request_.deadline, clock_, metrics_);
        // Nothing has been sent or recorded yet, so another upstream may be tried.
        if (call || attempt == maximumConnects)
            return call;
    }
}

void SingleRun::recordOutcome(const StoredAttempt& started, attempts::AttemptRecord outcome)
{
    if (outcome.answer.size() > options_.storedAnswer) {
        outcome.answer.clear();
        outcome.answerOmitted = true;
    }
    // The caller gets its answer even when the store does not take the outcome; others then see MayHaveRun.
    if (!log_.finish(request_.account, key_, started, std::move(outcome)))
        metrics_.storeFailures.add();
}

Result<attempts::AttemptRecord> SingleRun::outcomeOfFirst()
{
    auto first = log_.read(request_.account, key_);
    // Another gateway was first, so that this call knows nothing about the request's run.
    if (!first || !first.value()) {
        return Error { ErrorCode::Conflict, "the request with this key is in progress", Verdict::MayHaveRun,
            storeRetryAfter };
    }
    return describe(first.value()->record);
}

Result<attempts::AttemptRecord> SingleRun::describe(const attempts::AttemptRecord& record) const
{
    if (record.service != request_.service || !equalInConstantTime(record.bodySha256, bodySha256_))
        return invalidArgument("the idempotency key was used for another request");
    if (record.phase == attempts::AttemptPhase::Started)
        return unfinishedAttemptError(record, clock_.now());
    return record;
}

attempts::AttemptRecord SingleRun::newRecord() const
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

attempts::AttemptRecord SingleRun::execute(UpstreamCall& call, const StoredAttempt& started)
{
    attempts::AttemptRecord outcome = started.record;
    auto answer = exchange(call);
    if (!answer) {
        outcome.verdict = std::string(verdictName(answer.error().verdict));
        outcome.code = std::string(errorCodeName(answer.error().code));
        outcome.message = answer.error().message;
        return outcome;
    }
    outcome.verdict = std::string(verdictName(Verdict::Ran));
    outcome.status = answer.value().status;
    outcome.contentType = answer.value().contentType.substr(0, 256);
    outcome.answer = std::move(answer.value().body);
    return outcome;
}

Result<UpstreamAnswer> SingleRun::exchange(UpstreamCall& call)
{
    const auto remaining = [this] { return request_.deadline - clock_.monotonic(); };
    // The record may have taken long; others read it as MayHaveRun after its deadline, so nothing is sent from then on.
    if (remaining() <= Milliseconds(0))
        return Error { ErrorCode::DeadlineExceeded, "the deadline passed before the request was sent", Verdict::NotRun,
            std::nullopt };
    BOOST_OUTCOME_TRYV(call.send(request_.upstreamRequest, remaining()));
    // A caller that leaves does not end the request: its outcome can still be asked for by the key.
    const Milliseconds left = std::max(Milliseconds(1), remaining());
    return call.receive(left, left);
}

} // namespace rosemarylink::gateway::internal
