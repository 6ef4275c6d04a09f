#include "rosemarylink/state/ResilientStore.h"

#include "CallLimits.h"

#include "rosemarylink/state/RecordCodec.h"

#include <thread>

namespace rosemarylink::state {

using internal::CircuitBreaker;

namespace {

    constexpr const char* probeKey
        = "probe"; // never written; a read of the absent key succeeds when the store is reachable

    bool isUnreachable(const Error& error)
    {
        return error.code == ErrorCode::Unavailable || error.code == ErrorCode::DeadlineExceeded;
    }

} // namespace

class ResilientStore::Impl {
public:
    Impl(KeyValueStore& innerStore, const Clock& processClock, MetricsRegistry& registry, std::string roleName,
        StoreLimits storeLimits, std::uint64_t seed, Sleep sleepFunction)
        : inner(innerStore)
        , clock(processClock)
        , metrics(registry)
        , role(std::move(roleName))
        , limits(storeLimits)
        , sleep(std::move(sleepFunction))
        , rateLimiter(limits.callsPerSecond, limits.callBurst, processClock.monotonic())
        , budget(limits.retryRatio, limits.retryReserve)
        , breaker(limits, seed)
        , random(seed)
    {
        if (!sleep)
            sleep = [](Milliseconds delay) { std::this_thread::sleep_for(delay); };
    }

    // One call of the public interface; its attempts share a deadline.
    struct Operation {
        const char* kind;
        Milliseconds deadline;
        std::int64_t attempts = 0;
        bool limited = true;
    };

    Operation begin(const char* kind, bool limited = true)
    {
        budget.deposit();
        return { kind, clock.monotonic() + limits.operationDeadline, 0, limited };
    }

    Status admit(const Operation&);
    bool waitForRetry(Operation&);
    void count(const char* kind, const char* outcome);
    void recordCall(const char* kind, const Error* error, Milliseconds elapsed);
    void countResolution(const char* outcome);

    template <typename T, typename Call> Result<T> tryOnce(const Operation& operation, Call call)
    {
        const Status admission = admit(operation);
        if (!admission)
            return admission.error();
        const Milliseconds startedAt = clock.monotonic();
        Result<T> result = call();
        recordCall(operation.kind, result ? nullptr : &result.error(), clock.monotonic() - startedAt);
        return result;
    }

    // Retries an idempotent call while the store is unreachable and the limits allow it.
    template <typename T, typename Call> Result<T> callWithRetries(const char* kind, Call call, bool limited = true)
    {
        Operation operation = begin(kind, limited);
        while (true) {
            Result<T> result = tryOnce<T>(operation, call);
            if (result || !isUnreachable(result.error()) || !waitForRetry(operation))
                return result;
        }
    }

    // The effect of a write whose reply was lost, as determined by reading the key.
    enum class WriteOutcome { Applied, NotApplied, Conflicting, Unknown };
    std::pair<WriteOutcome, Revision> resolveLostReply(
        const std::string& key, Revision expected, const std::string* bytes);

    KeyValueStore& inner;
    const Clock& clock;
    MetricsRegistry& metrics;
    std::string role;
    StoreLimits limits;
    Sleep sleep;
    internal::TokenBucket rateLimiter;
    internal::RetryBudget budget;
    CircuitBreaker breaker;
    std::mutex randomMutex;
    std::mt19937_64 random;
};

Status ResilientStore::Impl::admit(const Operation& operation)
{
    const CircuitBreaker::Gate gate = breaker.tryEnter(clock.monotonic());
    if (gate == CircuitBreaker::Gate::Open) {
        Error error = unavailable("calls to the store are suspended after failures", Verdict::NotRun);
        error.retryAfter = breaker.retryAfter(clock.monotonic());
        return error;
    }
    if (gate == CircuitBreaker::Gate::Probe) {
        const Milliseconds startedAt = clock.monotonic();
        const auto probe = inner.read(probeKey);
        recordCall("probe", probe ? nullptr : &probe.error(), clock.monotonic() - startedAt);
        if (breaker.isOpen())
            return unavailable("the store does not answer", Verdict::NotRun);
    }
    if (!operation.limited)
        return okStatus();
    auto wait = rateLimiter.take(clock.monotonic());
    if (wait && *wait <= limits.maximumRateLimitWait) {
        sleep(*wait);
        wait = rateLimiter.take(clock.monotonic());
    }
    if (!wait)
        return okStatus();
    count(operation.kind, "limited");
    Error error = makeError(ErrorCode::ResourceExhausted, "the limit on store calls a second is reached");
    error.retryAfter = *wait;
    return error;
}

bool ResilientStore::Impl::waitForRetry(Operation& operation)
{
    if (++operation.attempts >= limits.maximumAttempts || breaker.isOpen() || !budget.tryWithdraw())
        return false;
    const std::int64_t maximumDelay = limits.firstRetryDelay.count() << (operation.attempts - 1);
    Milliseconds delay;
    {
        const std::lock_guard lock(randomMutex);
        delay = Milliseconds(std::uniform_int_distribution<std::int64_t>(maximumDelay / 2, maximumDelay)(random));
    }
    if (clock.monotonic() + delay >= operation.deadline)
        return false;
    metrics.counter("rosemarylink_store_retries_total", "Repeated calls to the store.", { { "role", role } }).add();
    sleep(delay);
    return true;
}

void ResilientStore::Impl::count(const char* kind, const char* outcome)
{
    metrics
        .counter("rosemarylink_store_calls_total", "Calls to the store by kind and outcome.",
            { { "role", role }, { "kind", kind }, { "outcome", outcome } })
        .add();
}

void ResilientStore::Impl::recordCall(const char* kind, const Error* error, Milliseconds elapsed)
{
    const bool unreachable = error != nullptr && isUnreachable(*error);
    count(kind, unreachable ? "unreachable" : error != nullptr ? "refused" : "ok");
    if (unreachable || elapsed > limits.callDeadline)
        breaker.recordFailure(clock.monotonic());
    else
        breaker.recordSuccess();
    metrics.gauge("rosemarylink_store_suspended", "1 while calls to the store are suspended.", { { "role", role } })
        .set(breaker.isOpen() ? 1 : 0);
}

void ResilientStore::Impl::countResolution(const char* outcome)
{
    metrics
        .counter("rosemarylink_store_settled_total", "Writes with a lost reply by what a read has shown.",
            { { "role", role }, { "outcome", outcome } })
        .add();
}

std::pair<ResilientStore::Impl::WriteOutcome, Revision> ResilientStore::Impl::resolveLostReply(
    const std::string& key, Revision expected, const std::string* bytes)
{
    const auto own = bytes != nullptr ? operationOf(*bytes) : std::nullopt;
    if (bytes != nullptr && !own)
        return { WriteOutcome::Unknown, {} };
    const auto stored = callWithRetries<std::optional<StoredValue>>("settle", [&] { return inner.read(key); });
    if (!stored) {
        countResolution("unknown");
        return { WriteOutcome::Unknown, {} };
    }
    const Revision present = stored.value() ? stored.value()->revision : Revision(0);
    const bool written = own && stored.value() && operationOf(stored.value()->bytes) == own;
    const bool removed = bytes == nullptr && !stored.value();
    if (written || removed) {
        countResolution("effective");
        return { WriteOutcome::Applied, present };
    }
    countResolution(present == expected ? "ineffective" : "conflict");
    return { present == expected ? WriteOutcome::NotApplied : WriteOutcome::Conflicting, present };
}

ResilientStore::ResilientStore(KeyValueStore& inner, const Clock& clock, MetricsRegistry& metrics,
    const std::string& role, StoreLimits limits, std::uint64_t seed, Sleep sleep)
    : impl_(std::make_unique<Impl>(inner, clock, metrics, role, limits, seed, std::move(sleep)))
{
}

ResilientStore::~ResilientStore() = default;

Result<std::optional<StoredValue>> ResilientStore::read(const std::string& key)
{
    return impl_->callWithRetries<std::optional<StoredValue>>("read", [&] { return impl_->inner.read(key); });
}

Result<std::vector<KeyedValue>> ResilientStore::list(const std::string& prefix)
{
    return impl_->callWithRetries<std::vector<KeyedValue>>("list", [&] { return impl_->inner.list(prefix); });
}

Result<Revision> ResilientStore::compareAndSwap(
    const std::string& key, Revision expected, const std::string& bytes, const std::optional<LeaseId>& lease)
{
    Impl::Operation operation = impl_->begin("cas");
    bool replyLost = false;
    while (true) {
        Result<Revision> result = impl_->tryOnce<Revision>(
            operation, [&] { return impl_->inner.compareAndSwap(key, expected, bytes, lease); });
        if (result)
            return result;
        const bool conflict = result.error().code == ErrorCode::Conflict;
        if (!isUnreachable(result.error()) && !(conflict && replyLost)) {
            // The outcome of an earlier attempt without a reply is still unknown.
            if (replyLost)
                result.error().verdict = Verdict::MayHaveRun;
            return result;
        }
        // A delayed attempt may take effect after its reply was given up and make its own retry conflict.
        replyLost = replyLost || result.error().verdict != Verdict::NotRun;
        if (replyLost) {
            const auto [outcome, revision] = impl_->resolveLostReply(key, expected, &bytes);
            if (outcome == Impl::WriteOutcome::Applied)
                return revision;
            if (outcome == Impl::WriteOutcome::Conflicting)
                return makeError(ErrorCode::Conflict, key + " was written by another");
            if (outcome == Impl::WriteOutcome::Unknown)
                return unavailable("the outcome of a write to " + key + " is unknown", Verdict::MayHaveRun);
        }
        if (!impl_->waitForRetry(operation)) {
            if (replyLost)
                result.error().verdict = Verdict::MayHaveRun;
            return result;
        }
    }
}

Status ResilientStore::remove(const std::string& key, Revision expected)
{
    Impl::Operation operation = impl_->begin("remove");
    bool replyLost = false;
    while (true) {
        Status result = impl_->tryOnce<void>(operation, [&] { return impl_->inner.remove(key, expected); });
        if (result)
            return result;
        const bool conflict = result.error().code == ErrorCode::Conflict;
        if (!isUnreachable(result.error()) && !(conflict && replyLost)) {
            if (replyLost)
                result.error().verdict = Verdict::MayHaveRun;
            return result;
        }
        replyLost = replyLost || result.error().verdict != Verdict::NotRun;
        if (replyLost) {
            const auto outcome = impl_->resolveLostReply(key, expected, nullptr).first;
            if (outcome == Impl::WriteOutcome::Applied)
                return okStatus();
            if (outcome == Impl::WriteOutcome::Conflicting)
                return makeError(ErrorCode::Conflict, key + " was written by another");
        }
        if (!impl_->waitForRetry(operation)) {
            if (replyLost)
                result.error().verdict = Verdict::MayHaveRun;
            return result;
        }
    }
}

Result<LeaseId> ResilientStore::grantLease(Milliseconds ttl)
{
    // A lease whose grant reply was lost is never used and expires.
    return impl_->callWithRetries<LeaseId>("grant", [&] { return impl_->inner.grantLease(ttl); });
}

Status ResilientStore::renewLease(const LeaseId& lease)
{
    return impl_->callWithRetries<void>(
        "renew", [&] { return impl_->inner.renewLease(lease); }, false);
}

Status ResilientStore::revokeLease(const LeaseId& lease)
{
    Status status = impl_->callWithRetries<void>("revoke", [&] { return impl_->inner.revokeLease(lease); });
    if (!status && status.error().code == ErrorCode::NotFound)
        return okStatus();
    return status;
}

Result<std::vector<WatchEvent>> ResilientStore::watch(const std::string& prefix, Revision after, Milliseconds timeout)
{
    const CircuitBreaker::Gate gate = impl_->breaker.tryEnter(impl_->clock.monotonic());
    if (gate != CircuitBreaker::Gate::Closed) {
        if (gate == CircuitBreaker::Gate::Probe) {
            const auto probe = impl_->inner.read(probeKey);
            impl_->recordCall("probe", probe ? nullptr : &probe.error(), Milliseconds(0));
        }
        if (isOpen())
            return unavailable("calls to the store are suspended after failures", Verdict::NotRun);
    }
    Result<std::vector<WatchEvent>> result = impl_->inner.watch(prefix, after, timeout);
    impl_->recordCall("watch", result ? nullptr : &result.error(), Milliseconds(0));
    return result;
}

bool ResilientStore::isOpen() const { return impl_->breaker.isOpen(); }

} // namespace rosemarylink::state
