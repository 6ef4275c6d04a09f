#include "rosemarylink/jobs/HedgedStore.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/jobs/Catalog.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs {

namespace {

    // A record of this size occupies a link of 10 Mbit/s for 35 ms.
    constexpr std::size_t largestSmallRecordBytes = 32 * 1024;

    // Interval of log lines about missing responses, which come in hundreds a second in an outage.
    constexpr Milliseconds logInterval { 2000 };

    // Records of other writers, above all the configuration, may have become large since they were last seen. A read of
    // one is attempted less often, because all attempts transfer it: with four attempts, an instance on a link of
    // 10 Mbit/s accepted no submissions for 2.5 s after the configuration had grown (LargeConfigurationTest).
    constexpr int maximumAttemptsIfLarge = 3;

    const Logger logger("store");

    bool isOwnRecord(const std::string& key)
    {
        const auto hasPrefix = [&key](const std::string& prefix) { return key.compare(0, prefix.size(), prefix) == 0; };
        return key == keys::ownership || key == keys::fleet || hasPrefix(keys::progressPrefix)
            || hasPrefix(keys::incoming) || hasPrefix(keys::withdrawals);
    }

    bool isConclusive(const StoreResponse& response)
    {
        return response.outcome != StoreOutcome::Refused && response.outcome != StoreOutcome::Unknown;
    }

    const Precondition* findPrecondition(const Batch& batch, const std::string& key)
    {
        const auto position = std::find_if(batch.preconditions.begin(), batch.preconditions.end(),
            [&key](const Precondition& condition) { return condition.key == key; });
        return position == batch.preconditions.end() ? nullptr : &*position;
    }

    // Whether the batch changes the record of one of its own preconditions, so that it can be executed only once.
    bool excludesRepetition(const Batch& batch)
    {
        const auto conditional = [&batch](const std::string& key) { return findPrecondition(batch, key) != nullptr; };
        return std::any_of(batch.puts.begin(), batch.puts.end(), [&](const Put& put) { return conditional(put.key); })
            || std::any_of(batch.removals.begin(), batch.removals.end(), [&](const std::string& key) {
                   const Precondition* const condition = findPrecondition(batch, key);
                   return condition && condition->revision != Revision(0);
               });
    }

    // Returns the revision at which an earlier attempt of the batch has taken effect, if the records of a failed
    // precondition show it: they have the values and one revision of the batch where it changes them, and otherwise
    // satisfy the preconditions.
    std::optional<Revision> storedRevision(const Batch& batch, const std::vector<Record>& records)
    {
        std::optional<Revision> stored;
        std::size_t found = 0;
        for (const Record& record : records) {
            const Precondition* const condition = findPrecondition(batch, record.key);
            if (!condition)
                continue;
            ++found;
            const auto put = std::find_if(batch.puts.begin(), batch.puts.end(),
                [&record](const Put& candidate) { return candidate.key == record.key; });
            if (put == batch.puts.end()) {
                if (record.revision != condition->revision)
                    return std::nullopt;
                continue;
            }
            if (record.revision == Revision(0) || record.value != put->value
                || stored.value_or(record.revision) != record.revision)
                return std::nullopt;
            stored = record.revision;
        }
        return found == batch.preconditions.size() ? stored : std::nullopt;
    }

} // namespace

struct HedgedStore::Call {
    const char* kind = "";
    Attempt attempt;
    StoreHandler handler;
    Milliseconds startedAt { 0 };
    Milliseconds timeout { 0 };
    std::shared_ptr<const Batch> batch; // null for other calls
    bool finished = false;
    bool unanswered = false; // an attempt has failed without a response
    bool renewsLease = false;
    bool mayBeLarge = false; // the response contains a record of another writer
    int attempts = 0;
    int pending = 0; // number of attempts whose handler has not been called
    std::optional<Timers::Id> timer;
};

HedgedStore::HedgedStore(
    RecordStore& first, RecordStore& further, Timers& timers, const Clock& clock, MetricsRegistry& metrics)
    : first_(first)
    , further_(further)
    , timers_(timers)
    , clock_(clock)
    , metrics_(metrics)
{
}

void HedgedStore::countAttempt(const char* outcome, int attempts)
{
    if (attempts > 0)
        metrics_
            .counter("rosemarylink_store_second_attempts_total",
                "Further attempts of calls to the store that had no response yet.", { { "outcome", outcome } })
            .add(attempts);
}

void HedgedStore::noteSizes(const StoreResponse& response)
{
    for (const Record& record : response.records) {
        if (record.value.size() > largestSmallRecordBytes)
            largeKeys_.insert(record.key);
        else if (!largeKeys_.empty())
            largeKeys_.erase(record.key);
    }
}

HedgedStore::CallPointer HedgedStore::makeCall(
    const char* kind, Milliseconds timeout, Attempt attempt, StoreHandler handler)
{
    auto call = std::make_shared<Call>();
    call->kind = kind;
    call->attempt = std::move(attempt);
    call->handler = std::move(handler);
    call->startedAt = clock_.monotonic();
    call->timeout = timeout;
    return call;
}

void HedgedStore::start(const CallPointer& call)
{
    policy_.recordCall();
    sendAttempt(call);
    awaitResponse(call);
}

void HedgedStore::sendAttempt(const CallPointer& call)
{
    const int attempt = ++call->attempts;
    ++call->pending;
    const Milliseconds sentAt = clock_.monotonic();
    call->attempt(attempt == 1 ? first_ : further_, call->timeout - (sentAt - call->startedAt),
        [this, call, attempt, sentAt](
            const StoreResponse& response) { handleResponse(call, attempt, sentAt, response); });
}

// Sets the timer for the next attempt, unless the call would end before it could get a response.
void HedgedStore::awaitResponse(const CallPointer& call)
{
    const Milliseconds delay = policy_.delay();
    if (clock_.monotonic() - call->startedAt + delay < call->timeout)
        call->timer = timers_.after(delay, [this, call] {
            call->timer.reset();
            if (!call->finished)
                handleOverdue(call);
        });
}

void HedgedStore::handleOverdue(const CallPointer& call)
{
    policy_.recordOverdue(clock_.monotonic());
    if (call->attempts >= (call->mayBeLarge ? maximumAttemptsIfLarge : HedgePolicy::maximumAttempts))
        return;
    // Without its lease the owner starts nothing, whatever else the budget was used for. Only the owner renews one,
    // twice a second, so that the attempts stay few.
    const bool attempted = policy_.takeAttempt() || call->renewsLease;
    logOverdue(*call, attempted);
    if (attempted)
        sendAttempt(call);
    else
        countAttempt("withheld");
    awaitResponse(call);
}

void HedgedStore::logOverdue(const Call& call, bool attempted)
{
    const Milliseconds now = clock_.monotonic();
    if (loggedAt_ && now - *loggedAt_ < logInterval)
        return;
    loggedAt_ = now;
    logger.warning("Calls get no response in time",
        { { "call", call.kind }, { "waitedMs", (now - call.startedAt).count() }, { "delayMs", policy_.delay().count() },
            { "attemptedAgain", attempted } });
}

void HedgedStore::handleResponse(
    const CallPointer& call, int attempt, Milliseconds sentAt, const StoreResponse& response)
{
    --call->pending;
    const bool conclusive = isConclusive(response);
    if (conclusive) {
        policy_.recordResponse(clock_.monotonic() - sentAt);
        noteSizes(response);
    }
    if (call->finished)
        return;
    call->unanswered = call->unanswered || response.outcome == StoreOutcome::Unknown;
    if (conclusive || call->pending == 0)
        finish(call, attempt, response);
}

void HedgedStore::finish(const CallPointer& call, int attempt, StoreResponse response)
{
    call->finished = true;
    if (call->timer)
        timers_.cancel(*call->timer);
    const bool conclusive = isConclusive(response);
    if (conclusive && attempt > 1) {
        countAttempt("won");
        countAttempt("superseded", call->attempts - 2);
    } else {
        countAttempt(conclusive ? "superseded" : "no-response", call->attempts - 1);
    }
    if (!conclusive && call->unanswered)
        response.outcome = StoreOutcome::Unknown;
    if (call->batch && call->batch->hasChanges() && conclusive && !response.done()
        && (call->pending > 0 || call->unanswered)) {
        const auto stored = response.outcome == StoreOutcome::Conflict ? storedRevision(*call->batch, response.records)
                                                                       : std::nullopt;
        if (stored) {
            response = {};
            response.outcome = StoreOutcome::Done;
            response.revision = *stored;
        } else {
            response.unresolvedAttempt = true;
        }
    }
    const StoreHandler handler = std::exchange(call->handler, nullptr);
    handler(response);
}

void HedgedStore::commit(const Batch& batch, Milliseconds timeout, StoreHandler handler)
{
    const bool repeatable = batch.hasChanges()
        ? batch.mayRepeat || excludesRepetition(batch)
        : std::none_of(batch.preconditions.begin(), batch.preconditions.end(),
            [this](const Precondition& condition) { return largeKeys_.count(condition.key) > 0; });
    const auto shared = std::make_shared<const Batch>(batch);
    const CallPointer call = makeCall(
        "commit", timeout,
        [shared](RecordStore& store, Milliseconds remaining, StoreHandler handle) {
            store.commit(*shared, remaining, std::move(handle));
        },
        std::move(handler));
    call->batch = shared;
    if (repeatable)
        start(call);
    else
        sendAttempt(call);
}

void HedgedStore::read(const std::string& key, Milliseconds timeout, StoreHandler handler)
{
    const CallPointer call = makeCall(
        "read", timeout,
        [key](RecordStore& store, Milliseconds remaining, StoreHandler handle) {
            store.read(key, remaining, std::move(handle));
        },
        std::move(handler));
    call->mayBeLarge = !isOwnRecord(key);
    if (largeKeys_.count(key) == 0)
        start(call);
    else
        sendAttempt(call);
}

void HedgedStore::list(const std::string& prefix, Milliseconds timeout, StoreHandler handler)
{
    first_.list(prefix, timeout, std::move(handler));
}

void HedgedStore::watch(const std::string& prefix, Revision after, Milliseconds wait, StoreHandler handler)
{
    first_.watch(prefix, after, wait, [this, handler = std::move(handler)](const StoreResponse& response) {
        noteSizes(response);
        handler(response);
    });
}

// A lease that a superseded attempt is granted holds no records and expires by itself.
void HedgedStore::grantLease(Milliseconds ttl, Milliseconds timeout, StoreHandler handler)
{
    start(makeCall(
        "grant-lease", timeout,
        [ttl](RecordStore& store, Milliseconds remaining, StoreHandler handle) {
            store.grantLease(ttl, remaining, std::move(handle));
        },
        std::move(handler)));
}

void HedgedStore::keepLease(StoreLeaseId lease, Milliseconds timeout, StoreHandler handler)
{
    const CallPointer call = makeCall(
        "keep-lease", timeout,
        [lease](RecordStore& store, Milliseconds remaining, StoreHandler handle) {
            store.keepLease(lease, remaining, std::move(handle));
        },
        std::move(handler));
    call->renewsLease = true;
    start(call);
}

void HedgedStore::endLease(StoreLeaseId lease, Milliseconds timeout, StoreHandler handler)
{
    first_.endLease(lease, timeout, std::move(handler));
}

} // namespace rosemarylink::jobs
