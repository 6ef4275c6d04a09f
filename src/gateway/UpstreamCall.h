#pragma once

#include "ServicePool.h"

#include <functional>
#include <memory>
#include <vector>

namespace rosemarylink::gateway::internal {

class RequestMetrics;

// A request of a caller on its way through the gateway.
struct GatewayRequest {
    AccountId account;
    ServiceId service;
    UpstreamRequest upstreamRequest;
    bool urgent = false;
    Milliseconds deadline { 0 }; // monotonic
    std::function<bool()> cancelled; // true once the caller has left
};

SlotRequest slotRequest(const GatewayRequest&);

// A request that was sent to one upstream. The slot is given back when the call ends in whatever way.
class UpstreamCall {
public:
    UpstreamCall(ServicePool&, Slot, std::unique_ptr<UpstreamConnection>, RequestMetrics&);
    // Gives the slot back without a statement about the upstream, and closes the connection, which tells the upstream
    // that nobody waits for the answer.
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall&) = delete;
    UpstreamCall& operator=(const UpstreamCall&) = delete;

    Status send(const UpstreamRequest&, Milliseconds timeout);

    // Reads the answer and judges it: Unavailable and NotRun when the upstream refused, Unavailable and MayHaveRun when
    // it failed or its answer is broken.
    Result<UpstreamAnswer> receive(Milliseconds timeout, Milliseconds stallTimeout);

    // Gives up on the upstream: it counts as failed.
    void abandon();

    // Gives up at the request's deadline: the upstream counts as failed when it took much longer than usual.
    void expire();

    Milliseconds elapsed() const;
    Poco::Net::Socket socket() { return connection_->socket(); }

private:
    void countBytes(std::size_t);
    void release(UpstreamOutcome, std::optional<std::int64_t> slotsBusy = std::nullopt,
        std::optional<double> duration = std::nullopt);

    ServicePool& pool_;
    Slot slot_;
    std::unique_ptr<UpstreamConnection> connection_;
    RequestMetrics& metrics_;
    std::chrono::steady_clock::time_point sentAt_;
    bool released_ = false;
};

// Connects for a slot; the slot is given back on failure. Fails with Unavailable and NotRun.
Result<std::unique_ptr<UpstreamCall>> openCall(
    ServicePool&, const Slot&, bool verified, Milliseconds deadline, const Clock&, RequestMetrics&);

// Waits until one of the calls has something to read. Null after the time.
UpstreamCall* waitForAnswer(const std::vector<std::unique_ptr<UpstreamCall>>&, Milliseconds time);

} // namespace rosemarylink::gateway::internal
