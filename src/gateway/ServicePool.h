#pragma once

#include "AdmissionQueue.h"
#include "ConnectionPool.h"
#include "DurationEstimate.h"
#include "QueueLimiter.h"
#include "UpstreamSelector.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace rosemarylink::gateway::internal {

// A request for a slot of any upstream of a service.
struct SlotRequest {
    AccountId account;
    bool urgent = false;
    Milliseconds deadline { 0 }; // on the monotonic clock
    std::size_t bytes = 0; // of the request's body
    std::set<UpstreamId> tried; // avoided while other upstreams are usable
};

// Permission to have one request in progress with an upstream, until it is released.
struct Slot {
    UpstreamId upstream;
    AccountId account;
    std::shared_ptr<ConnectionPool> connections;
    bool crossRegion = false;
};

struct ServicePoolOptions {
    RoutingOptions routing;
    ConnectionOptions connections;
};

// The upstreams of one service and the requests that wait for them. Each service has its own pool and lock, so that
// services do not contend with each other. Safe to use from several threads.
class ServicePool {
public:
    // The account usage, queue limiter and clock must outlive the pool.
    ServicePool(ServiceId, const ServicePoolOptions&, AccountUsage&, QueueLimiter&, const Clock&);
    ~ServicePool();

    void setUpstreams(const std::vector<model::UpstreamSpec>&, std::size_t gateways);

    // Waits for a slot. Fails with NotRun: with ResourceExhausted when the request cannot finish before its deadline or
    // the queue is full, with Unavailable when no upstream is usable, and with DeadlineExceeded when cancelled returns
    // true, which is polled during the wait without the pool's lock.
    Result<Slot> acquire(const SlotRequest&, const std::function<bool()>& cancelled);

    // Returns a slot if one is free and no request is queued. Does not wait.
    std::optional<Slot> tryAcquire(const SlotRequest&);

    // Releases the slot and records the outcome. slotsBusy is what the upstream reported; duration is the time in ms
    // until the response, if there was one.
    void release(const Slot&, UpstreamOutcome, std::optional<std::int64_t> slotsBusy = std::nullopt,
        std::optional<double> duration = std::nullopt);

    // Refuses one queued request; its queue entry passes to the caller. Returns false when no request can be evicted.
    bool evictOne();

    // Mean and 95th percentile of the response time, in ms.
    double meanDuration() const;
    double percentile95() const;

private:
    struct Waiter;

    Slot grant(const UpstreamId&, const AccountId&);
    // Grants free slots to queued requests, and refuses those that can no longer finish in time.
    void dispatch(Milliseconds now);
    bool dispatchOne(Milliseconds now);
    // Ends the wait of a request without a slot. Does not release its queue entry.
    void refuse(AdmissionTicket, Error);
    // Reserves a queue entry, by eviction of another request if the queue is full; the lock is released meanwhile.
    bool reserveQueueEntry(std::unique_lock<std::mutex>&, const AccountId&);
    bool evictForAccount(const AccountId&);
    ServiceRate rate(Milliseconds now) const;
    Status enqueue(std::unique_lock<std::mutex>&, const SlotRequest&, Waiter&);
    void withdraw(Waiter&);

    const ServiceId service_;
    ServicePoolOptions options_;
    AccountUsage& usage_;
    QueueLimiter& queueLimiter_;
    const Clock& clock_;
    mutable std::mutex mutex_;
    UpstreamSelector selector_;
    AdmissionQueue queue_;
    DurationEstimate durations_;
    std::map<UpstreamId, std::shared_ptr<ConnectionPool>> connections_;
    std::unordered_map<AdmissionTicket, Waiter*> waiters_;
    std::mt19937_64 random_;
    Milliseconds lastInfeasibilityCheck_ { 0 };
};

} // namespace rosemarylink::gateway::internal
