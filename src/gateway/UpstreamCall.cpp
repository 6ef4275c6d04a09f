#include "UpstreamCall.h"

#include "RequestMetrics.h"

#include <Poco/Net/NetException.h>

#include <algorithm>
#include <utility>

namespace rosemarylink::gateway::internal {

SlotRequest makeSlotRequest(const GatewayRequest& request)
{
    return { request.account, request.urgent, request.deadline, request.upstreamRequest.body.size(), {} };
}

UpstreamCall::UpstreamCall(
    ServicePool& pool, Slot slot, std::unique_ptr<UpstreamConnection> connection, RequestMetrics& metrics)
    : pool_(pool)
    , slot_(std::move(slot))
    , connection_(std::move(connection))
    , metrics_(metrics)
    , sentAt_(std::chrono::steady_clock::now())
{
}

UpstreamCall::~UpstreamCall() { release(UpstreamOutcome::Unused); }

void UpstreamCall::release(
    UpstreamOutcome outcome, std::optional<std::int64_t> slotsBusy, std::optional<double> duration)
{
    if (std::exchange(released_, true))
        return;
    // The connection is closed first, so that the upstream can stop the request before the slot is used again.
    if (outcome != UpstreamOutcome::Responded && outcome != UpstreamOutcome::Refused)
        connection_.reset();
    else
        slot_.connections->release(std::move(connection_));
    pool_.release(slot_, outcome, slotsBusy, duration);
}

Status UpstreamCall::send(const UpstreamRequest& request, Milliseconds timeout)
{
    sentAt_ = std::chrono::steady_clock::now();
    countCrossRegionBytes(request.body.size());
    auto sent = connection_->send(request, timeout);
    if (!sent)
        release(UpstreamOutcome::Failed);
    return sent;
}

Result<UpstreamResponse> UpstreamCall::receive(Milliseconds timeout, Milliseconds stallTimeout)
{
    auto response = connection_->receive(timeout, stallTimeout);
    if (!response) {
        release(UpstreamOutcome::Failed);
        return response;
    }
    const UpstreamResponse& received = response.value();
    countCrossRegionBytes(received.body.size());
    if (received.refused) {
        release(UpstreamOutcome::Refused, received.slotsBusy);
        return unavailable("the upstream refused the request", Verdict::NotRun);
    }
    if (received.status >= 500) {
        release(UpstreamOutcome::Failed, received.slotsBusy);
        return unavailable("the upstream failed with status " + std::to_string(received.status), Verdict::MayHaveRun);
    }
    release(UpstreamOutcome::Responded, received.slotsBusy,
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - sentAt_).count());
    return response;
}

void UpstreamCall::countCrossRegionBytes(std::size_t bytes)
{
    if (slot_.crossRegion)
        metrics_.crossRegionBytes.add(static_cast<std::int64_t>(bytes));
}

void UpstreamCall::abandon() { release(UpstreamOutcome::Failed); }

void UpstreamCall::expire()
{
    const bool slow = static_cast<double>(elapsed().count()) > 2 * pool_.percentile95();
    release(slow ? UpstreamOutcome::Failed : UpstreamOutcome::Unused);
}

Milliseconds UpstreamCall::elapsed() const
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - sentAt_);
}

Result<std::unique_ptr<UpstreamCall>> openCall(ServicePool& pool, const Slot& slot, bool verified,
    Milliseconds deadline, const Clock& clock, RequestMetrics& metrics)
{
    auto acquired = slot.connections->acquire(verified, deadline - clock.monotonic());
    if (!acquired) {
        pool.release(slot, UpstreamOutcome::NoConnection);
        return std::move(acquired).error();
    }
    metrics.silentConnections.add(acquired.value().silent);
    return std::make_unique<UpstreamCall>(pool, slot, std::move(acquired.value().connection), metrics);
}

UpstreamCall* waitUntilReadable(const std::vector<std::unique_ptr<UpstreamCall>>& calls, Milliseconds time)
{
    Poco::Net::Socket::SocketList readable;
    Poco::Net::Socket::SocketList none;
    Poco::Net::Socket::SocketList failed;
    for (const auto& call : calls)
        readable.push_back(call->socket());
    const Poco::Timespan timeout(std::max<std::int64_t>(0, time.count()) * 1000);
    if (Poco::Net::Socket::select(readable, none, failed, timeout) <= 0 || readable.empty())
        return nullptr;
    for (const auto& call : calls) {
        if (call->socket() == readable.front())
            return call.get();
    }
    return nullptr;
}

} // namespace rosemarylink::gateway::internal
