#pragma once

#include "rosemarylink/base/Units.h"

#include <condition_variable>
#include <mutex>

namespace rosemarylink::gateway::internal {

// Counts the requests in progress of a gateway and refuses new ones once it drains. Safe to use from several threads.
class RequestTracker {
public:
    // Counts a new request. Returns false, without counting it, when the gateway drains. Each success must be followed
    // by one end().
    bool tryBegin()
    {
        const std::lock_guard lock(mutex_);
        if (draining_)
            return false;
        ++count_;
        return true;
    }

    void end()
    {
        const std::lock_guard lock(mutex_);
        if (--count_ == 0)
            idle_.notify_all();
    }

    void beginDrain()
    {
        const std::lock_guard lock(mutex_);
        draining_ = true;
    }

    std::size_t count() const
    {
        const std::lock_guard lock(mutex_);
        return count_;
    }

    bool waitUntilIdle(Milliseconds limit)
    {
        std::unique_lock lock(mutex_);
        return idle_.wait_for(lock, limit, [this] { return count_ == 0; });
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable idle_;
    std::size_t count_ = 0;
    bool draining_ = false;
};

} // namespace rosemarylink::gateway::internal
