#include "ConnectionPool.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::gateway::internal {

namespace {

    // Below the usual idle time-outs of HTTP servers, so that the upstream seldom closes a connection just when a
    // request is sent on it.
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

std::optional<ConnectionPool::Idle> ConnectionPool::takeIdle()
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

Result<ConnectionPool::Taken> ConnectionPool::take(bool verified, Milliseconds timeout)
{
    Taken taken;
    while (auto idle = takeIdle()) {
        const bool mustProbe = verified || clock_.monotonic() - idle->since >= options_.probeAfter;
        if (!mustProbe || idle->connection->probe(std::min(timeout, options_.probeTimeout))) {
            taken.connection = std::move(idle->connection);
            return taken;
        }
        ++taken.silent;
    }
    taken.connection = std::make_unique<UpstreamConnection>(address_, options_.maximumAnswer);
    BOOST_OUTCOME_TRYV(taken.connection->connect(std::min(timeout, options_.connectTimeout)));
    return taken;
}

void ConnectionPool::giveBack(std::unique_ptr<UpstreamConnection> connection)
{
    if (!connection->isReusable())
        return;
    const std::lock_guard lock(mutex_);
    if (idle_.size() < maximumIdle_)
        idle_.push_back({ std::move(connection), clock_.monotonic() });
}

} // namespace rosemarylink::gateway::internal
