#pragma once

#include "rosemarylink/base/StrongId.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace rosemarylink::gateway::internal {

// Limits the number of queued requests over all services of a gateway. Safe to use from several threads.
class QueueLimiter {
public:
    // Refuses a queued request of a service with a lower worth than the given one, without releasing its queue entry,
    // which passes to the caller. Returns false when no such request is queued.
    using Eviction = std::function<bool(const ServiceId&)>;

    QueueLimiter(std::size_t limit, Eviction evictLowerWorth)
        : limit_(limit)
        , evictLowerWorth_(std::move(evictLowerWorth))
    {
    }

    // Reserves a queue entry. Returns false when the limit is reached.
    bool tryReserve()
    {
        std::size_t waiting = waiting_;
        while (waiting < limit_) {
            if (waiting_.compare_exchange_weak(waiting, waiting + 1))
                return true;
        }
        return false;
    }

    // Reserves a queue entry even when the limit is reached.
    void reserveBeyondLimit() { ++waiting_; }

    // Takes over the queue entry of a request of a service with a lower worth. Returns false when there is none. The
    // calling thread must not hold the lock of a ServicePool.
    bool tryEvictLowerWorth(const ServiceId& service) const { return evictLowerWorth_(service); }

    void release() { --waiting_; }

private:
    const std::size_t limit_;
    const Eviction evictLowerWorth_;
    std::atomic<std::size_t> waiting_ { 0 };
};

} // namespace rosemarylink::gateway::internal
