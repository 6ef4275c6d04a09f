#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/Metrics.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace rosemarylink::state {

// The limits of one process's use of the store in one role.
struct StoreLimits {
    Milliseconds callDeadline { 1000 }; // a reply later than this counts as a failure for the breaker
    Milliseconds operationDeadline { 3000 }; // for a call with its repetitions
    std::int64_t tries = 3; // of one call
    Milliseconds firstDelay { 50 }; // before the first repetition; doubled for each further one, with jitter
    double retryRatio = 0.1; // repetitions earned by each call
    double retryReserve = 10; // repetitions that may be saved up
    std::int64_t failuresToOpen = 5; // in a row
    Milliseconds openTime { 1000 }; // until the first probe; doubled after each that fails, with jitter
    Milliseconds openTimeMaximum { 8000 };
    double callsPerSecond = 40; // 4 owners in 2 roles stay below half of what the store serves
    double callBurst = 40;
    Milliseconds limitWait { 250 }; // longest wait for the call limit
};

// A KeyValueStore in front of another that adds deadlines, repetitions under a budget, a circuit breaker with probing
// and a limit on calls a second, and that counts calls by kind in the metrics.
//
// A write whose reply was lost is settled by reading the key: the write's own operation id is there (success), the
// revision is unchanged (the same compare-and-swap may be repeated), or another writer was first (Conflict). Only when
// that read fails too, or the bytes carry no operation id, does the write fail with MayHaveRun. While the breaker is
// open, calls fail at once with Unavailable, NotRun and the time to wait; a probe reads a key before any write is
// tried. Calls over the limit fail with ResourceExhausted; renewals of leases are exempt, because a lapsed lease costs
// far more calls. Watches are counted, but neither limited nor repeated.
class ResilientStore final : public KeyValueStore {
public:
    using Sleep = std::function<void(Milliseconds)>;

    // Sleep waits between tries; tests give one that moves their clock. The role is a metric label.
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
