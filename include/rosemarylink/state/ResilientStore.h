#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylink::state {

// Limits for the store calls of one process in one role.
struct StoreLimits {
    Milliseconds callDeadline { 1000 }; // the breaker counts a later reply as a failure
    Milliseconds operationDeadline { 3000 }; // for a call including its retries
    std::int64_t maximumAttempts = 3; // attempts of one call, the first included
    Milliseconds firstRetryDelay { 50 }; // before the first retry; doubled for each further one, with jitter
    double retryRatio = 0.1; // added to the retry budget by each call; a retry costs 1
    double retryReserve = 10; // maximum of the retry budget
    std::int64_t failuresToOpen = 5; // consecutive failures until the breaker opens
    Milliseconds openTime { 1000 }; // until the first probe; doubled after each failed probe, with jitter
    Milliseconds maximumOpenTime { 8000 };
    double callsPerSecond = 40; // 4 owners in 2 roles stay below half of what the store serves
    double callBurst = 40;
    Milliseconds maximumRateLimitWait { 250 }; // a call that would wait longer for the rate limit fails
};

// Decorates a KeyValueStore with deadlines, budgeted retries, a circuit breaker and a rate limit, and counts calls by
// kind in the metrics. Thread-safe when the inner store is.
//
// When the reply to a write is lost, the key is read to determine the outcome: the value has the write's own operation
// id (success), the revision is unchanged (the same compare-and-swap may be retried), or another writer came first
// (Conflict). The write fails with MayHaveRun only when that read fails too or the bytes contain no operation id.
//
// While the breaker is open, calls fail immediately with Unavailable, NotRun and a retry time; a probe reads a key
// before any write is attempted. Calls over the rate limit fail with ResourceExhausted. Lease renewals are exempt from
// it, because an expired lease causes far more calls. Watches are counted, but neither rate-limited nor retried.
class ResilientStore final : public KeyValueStore {
public:
    using Sleep = std::function<void(Milliseconds)>;

    // `sleep` waits between attempts and defaults to a real sleep; tests pass one that advances their clock. `role` is
    // a metric label.
    ResilientStore(KeyValueStore& inner, const Clock&, MetricsRegistry&, const std::string& role, StoreLimits = {},
        std::uint64_t seed = 0, Sleep = {});
    ~ResilientStore() override;

    Result<std::optional<StoredValue>> read(const std::string& key) override;
    Result<std::vector<KeyedValue>> list(const std::string& prefix) override;
    Result<Revision> compareAndSwap(const std::string& key, Revision expected, const std::string& bytes,
        const std::optional<LeaseId>& lease = std::nullopt) override;
    Status remove(const std::string& key, Revision expected) override;
    Result<LeaseId> grantLease(Milliseconds ttl) override;
    Status renewLease(const LeaseId&) override;
    Status revokeLease(const LeaseId&) override;
    Result<std::vector<WatchEvent>> watch(const std::string& prefix, Revision after, Milliseconds timeout) override;

    // True while the circuit breaker is open.
    bool isOpen() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace rosemarylink::state
