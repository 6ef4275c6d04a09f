#pragma once

#include "UpstreamConnection.h"

#include "rosemarylink/base/Clock.h"

#include <memory>
#include <mutex>
#include <vector>

namespace rosemarylink::gateway::internal {

struct ConnectionOptions {
    Milliseconds connectTimeout { 500 };
    Milliseconds probeAfter { 1000 }; // idle time
    Milliseconds probeTimeout { 250 };
    std::size_t maximumAnswer = 8 << 20; // bytes
};

// The connections of this gateway to one upstream that are idle. Safe to use from several threads; the lock is not held
// while a connection is opened or probed.
class ConnectionPool {
public:
    ConnectionPool(UpstreamAddress, const ConnectionOptions&, std::size_t maximumIdle, const Clock&);

    struct Taken {
        std::unique_ptr<UpstreamConnection> connection;
        int silent = 0; // idle connections that did not answer their probe and were dropped
    };

    // An idle connection or a new one. A verified one was just opened or has answered a probe, so that a connection
    // that went silent is not used for a request that cannot be repeated. Fails with Unavailable and NotRun.
    Result<Taken> take(bool verified, Milliseconds timeout);

    // Keeps the connection for the next request if it is in a known state.
    void giveBack(std::unique_ptr<UpstreamConnection>);

private:
    struct Idle {
        std::unique_ptr<UpstreamConnection> connection;
        Milliseconds since { 0 };
    };

    std::optional<Idle> takeIdle();

    UpstreamAddress address_;
    ConnectionOptions options_;
    std::size_t maximumIdle_;
    const Clock& clock_;
    std::mutex mutex_;
    std::vector<Idle> idle_; // the one used last at the end
};

} // namespace rosemarylink::gateway::internal
