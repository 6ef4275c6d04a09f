#pragma once

#include "ServicePool.h"

#include <functional>
#include <memory>
#include <vector>

namespace rosemarylink::gateway::internal {

class RequestMetrics;

// A caller's request with its options.
struct GatewayRequest {
    AccountId account;
    ServiceId service;
    UpstreamRequest upstreamRequest;
    bool urgent = false;
    Milliseconds deadline { 0 }; // on the monotonic clock
    std::function<bool()> cancelled; // true once the caller has disconnected; may be empty
};

SlotRequest makeSlotRequest(const GatewayRequest&);

// One request to one upstream, which owns a slot and a connection. The slot is released when the call ends, however it
// ends. Not safe to use from several threads.
class UpstreamCall {
public:
    UpstreamCall(ServicePool&, Slot, std::unique_ptr<UpstreamConnection>, RequestMetrics&);
    // Ends the call if it has not ended, without counting a success or failure of the upstream. That closes the
    // connection, which tells the upstream that the response is no longer wanted.
    ~UpstreamCall();
    UpstreamCall(const UpstreamCall&) = delete;
    UpstreamCall& operator=(const UpstreamCall&) = delete;

    Status send(const UpstreamRequest&, Milliseconds timeout);

    // Reads the response, within the timeout and without a pause longer than stallTimeout. Fails with Unavailable and
    // NotRun when the upstream refused the request, and with MayHaveRun when the upstream failed, its response is
    // malformed, or the time is over.
    Result<UpstreamResponse> receive(Milliseconds timeout, Milliseconds stallTimeout);

    // Ends the call and counts a failure of the upstream.
    void abandon();

    // Ends the call at the request's deadline. Counts a failure of the upstream when the call took more than twice its
    // service's 95th percentile.
    void expire();

    // Time since the request was sent.
    Milliseconds elapsed() const;
    // For select() only; valid until the call ends.
    Poco::Net::Socket socket() { return connection_->socket(); }

private:
    void countCrossRegionBytes(std::size_t);
    void release(UpstreamOutcome, std::optional<std::int64_t> slotsBusy = std::nullopt,
        std::optional<double> duration = std::nullopt);

    ServicePool& pool_;
    Slot slot_;
    std::unique_ptr<UpstreamConnection> connection_;
    RequestMetrics& metrics_;
    std::chrono::steady_clock::time_point sentAt_;
    bool released_ = false;
};

// Opens a call on a pooled or new connection; see ConnectionPool::acquire for verified. On failure the slot is released
// and the error is Unavailable and NotRun.
Result<std::unique_ptr<UpstreamCall>> openCall(
    ServicePool&, const Slot&, bool verified, Milliseconds deadline, const Clock&, RequestMetrics&);

// Waits until one of the calls has data to read, and returns it, or null after the given time.
UpstreamCall* waitUntilReadable(const std::vector<std::unique_ptr<UpstreamCall>>&, Milliseconds time);

} // namespace rosemarylink::gateway::internal
