#include "ConnectionPool.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::gateway::internal {

namespace {

    // Below the usual idle time-outs of HTTP servers, so that an upstream seldom closes a connection at the moment at
    // which a request is sent on it.
    constexpr Milliseconds maximumIdleTime { 10000 };

} // namespace

ConnectionPool::ConnectionPool(
    UpstreamAddress address, const ConnectionOptions& options, std::size_t maximumIdle, const Clock& clock)
    : address_(std::move(address))
    , options_(options)
    , maximumIdle_(maximumIdle)
    , clock_(clock)
{
}

std::optional<ConnectionPool::Idle> ConnectionPool::popIdle()
{
    const std::lock_guard lock(mutex_);
    const Milliseconds now = clock_.monotonic();
    while (!idle_.empty()) {
        Idle idle = std::move(idle_.back());
        idle_.pop_back();
        if (now - idle.since < maximumIdleTime && idle.connection->isReusable())
            return idle;
    }
    return std::nullopt;
}

Result<ConnectionPool::Acquired> ConnectionPool::acquire(bool verified, Milliseconds timeout)
{
    Acquired acquired;
    while (auto idle = popIdle()) {
        const bool mustProbe = verified || clock_.monotonic() - idle->since >= options_.probeAfter;
        if (!mustProbe || idle->connection->probe(std::min(timeout, options_.probeTimeout))) {
            acquired.connection = std::move(idle->connection);
            return acquired;
        }
        ++acquired.silent;
    }
    acquired.connection = std::make_unique<UpstreamConnection>(address_, options_.maximumResponseBytes);
    BOOST_OUTCOME_TRYV(acquired.connection->connect(std::min(timeout, options_.connectTimeout)));
    return acquired;
}

void ConnectionPool::release(std::unique_ptr<UpstreamConnection> connection)
{
    if (!connection->isReusable())
        return;
    const std::lock_guard lock(mutex_);
    if (idle_.size() < maximumIdle_)
        idle_.push_back({ std::move(connection), clock_.monotonic() });
}

} // namespace rosemarylink::gateway::internal
