#pragma once

#include "AdmissionQueue.h"
#include "ConnectionPool.h"
#include "DurationEstimate.h"
#include "UpstreamSelector.h"
#include "WaitingRoom.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace rosemarylink::gateway::internal {

// A request that wants a slot.
struct SlotRequest {
    AccountId account;
    bool urgent = false;
    Milliseconds deadline { 0 }; // monotonic
    std::size_t bytes = 0;
    std::set<UpstreamId> tried; // avoided while there are others
};

// One request's place at an upstream, until it is released.
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

// The upstreams of one service and the requests that wait for them. This is one shard of the gateway's state, with its
// own lock. Safe to use from several threads.
class ServicePool {
public:
    // Usage, room and clock must outlive the pool.
    ServicePool(ServiceId, const ServicePoolOptions&, AccountUsage&, WaitingRoom&, const Clock&);
    ~ServicePool();

    void setUpstreams(const std::vector<model::UpstreamSpec>&, std::size_t gateways);

    // Waits for a slot. Fails with NotRun: ResourceExhausted when the request cannot finish in time or the room is
    // full, Unavailable when no upstream takes requests, and DeadlineExceeded. The wait ends early when cancelled
    // returns true.
    Result<Slot> acquire(const SlotRequest&, const std::function<bool()>& cancelled);

    // A slot if one is free now.
    std::optional<Slot> tryAcquire(const SlotRequest&);

    // Gives the slot back, with the time that the answer took in ms if there was one.
    void release(const Slot&, UpstreamOutcome, std::optional<std::int64_t> slotsBusy = std::nullopt,
        std::optional<double> duration = std::nullopt);

    // Refuses one waiting request and leaves its place in the waiting room to the caller. False when nothing can go.
    bool evictOne();

    double meanDuration() const;
    double percentile95() const;

private:
    struct Waiter;

    Slot grant(const UpstreamId&, const AccountId&);
    // Hands free slots to waiting requests.
    void dispatch(Milliseconds now);
    bool dispatchOne(Milliseconds now);
    // Ends a wait without a slot. Its place in the waiting room stays taken.
    void refuse(AdmissionTicket, Error);
    // Takes a place in the waiting room, if need be from another request; the lock is released meanwhile.
    bool takePlace(std::unique_lock<std::mutex>&, const AccountId&);
    bool evictFor(const AccountId&);
    ServiceRate rate(Milliseconds now) const;
    Status enqueue(std::unique_lock<std::mutex>&, const SlotRequest&, Waiter&);
    void leave(Waiter&);

    const ServiceId service_;
    ServicePoolOptions options_;
    AccountUsage& usage_;
    WaitingRoom& room_;
    const Clock& clock_;
    mutable std::mutex mutex_;
    UpstreamSelector selector_;
    AdmissionQueue queue_;
    DurationEstimate durations_;
    std::map<UpstreamId, std::shared_ptr<ConnectionPool>> connections_;
    std::unordered_map<AdmissionTicket, Waiter*> waiters_;
    std::mt19937_64 random_;
    Milliseconds shedAt_ { 0 };
};

} // namespace rosemarylink::gateway::internal
