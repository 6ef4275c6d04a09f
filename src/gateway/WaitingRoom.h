#pragma once

#include "rosemarylink/base/StrongId.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

namespace rosemarylink::gateway::internal {

// Places for requests that wait, over all services of a gateway. Safe to use from several threads.
class WaitingRoom {
public:
    // Ends the wait of a request of a service with a lower worth than the given one and leaves its place taken, for
    // the caller. False when no such request waits.
    using Eviction = std::function<bool(const ServiceId&)>;

    WaitingRoom(std::size_t limit, Eviction evictCheaper)
        : limit_(limit)
        , evictCheaper_(std::move(evictCheaper))
    {
    }

    // Takes a place unless all are taken.
    bool tryEnter()
    {
        std::size_t waiting = waiting_;
        while (waiting < limit_) {
            if (waiting_.compare_exchange_weak(waiting, waiting + 1))
                return true;
        }
        return false;
    }

    // Takes a place beyond the limit.
    void enterBeyondLimit() { ++waiting_; }

    // Takes over the place of a request of a cheaper service. Callers hold no lock of a ServicePool.
    bool tryReplaceCheaper(const ServiceId& service) const { return evictCheaper_(service); }

    void leave() { --waiting_; }

private:
    const std::size_t limit_;
    const Eviction evictCheaper_;
    std::atomic<std::size_t> waiting_ { 0 };
};

} // namespace rosemarylink::gateway::internal
