#pragma once

#include "UpstreamConnection.h"

#include "rosemarylink/base/Clock.h"

#include <memory>
#include <mutex>
#include <vector>

namespace rosemarylink::gateway::internal {

struct ConnectionOptions {
    Milliseconds connectTimeout { 500 };
    Milliseconds probeAfter { 1000 }; // idle time after which a connection is probed before use
    Milliseconds probeTimeout { 250 };
    std::size_t maximumResponseBytes = 8 << 20;
};

// The idle connections of this gateway to one upstream. Safe to use from several threads; the lock is not held while a
// connection is opened or probed.
class ConnectionPool {
public:
    ConnectionPool(UpstreamAddress, const ConnectionOptions&, std::size_t maximumIdle, const Clock&);

    struct Acquired {
        std::unique_ptr<UpstreamConnection> connection;
        int silent = 0; // idle connections that did not respond to a probe and were closed
    };

    // Returns an idle connection or opens a new one, within the timeout. With verified set, an idle connection is
    // always probed first, so that a request that must not be repeated is not sent on a silent connection. Fails with
    // Unavailable and NotRun.
    Result<Acquired> acquire(bool verified, Milliseconds timeout);

    // Returns the connection to the pool, or closes it when it cannot be reused or enough connections are idle.
    void release(std::unique_ptr<UpstreamConnection>);

private:
    struct Idle {
        std::unique_ptr<UpstreamConnection> connection;
        Milliseconds since { 0 };
    };

    std::optional<Idle> popIdle();

    UpstreamAddress address_;
    ConnectionOptions options_;
    std::size_t maximumIdle_;
    const Clock& clock_;
    std::mutex mutex_;
    std::vector<Idle> idle_; // the most recently used one is last
};

} // namespace rosemarylink::gateway::internal
