#pragma once

#include "RetryBudget.h"
#include "UpstreamCall.h"

namespace rosemarylink::gateway::internal {

struct RetryOptions {
    Milliseconds hedgeDelay { 50 }; // at least; the 95th percentile of the service when that is longer
    Milliseconds progressTimeout { 5000 };
};

// Handles one idempotent request: retries it after a failure, and hedges it when it is urgent, both within the retry
// budget.
class IdempotentHandler {
public:
    // All arguments must outlive the handler.
    IdempotentHandler(
        const GatewayRequest&, ServicePool&, RetryBudget&, const RetryOptions&, const Clock&, RequestMetrics&);

    // Returns the complete response, or an error whose verdict covers all copies that were sent. Call once; blocks
    // until the response, the deadline or the caller's disconnect.
    Result<UpstreamResponse> handle();

private:
    using Calls = std::vector<std::unique_ptr<UpstreamCall>>;

    Result<UpstreamResponse> runOnce();
    Result<UpstreamResponse> awaitResponse(Calls&);
    void sendHedge(Calls&);
    // Returns true when bytes of a second copy may have been sent.
    bool sendHedgeTo(const std::optional<Slot>&, Calls&);
    // Abandons the only call when its connection made no progress within the time limit and the budget allows a retry.
    bool abandonSilentCall(Calls&);
    // Returns the error with the verdict over all copies sent so far, this one included.
    Error withOverallVerdict(Error);
    bool mayRetry(const Error&, int attempt);
    void backOff(int attempt) const;
    Milliseconds remaining() const { return request_.deadline - clock_.monotonic(); }

    const GatewayRequest& request_;
    ServicePool& pool_;
    RetryBudget& budget_;
    const RetryOptions& options_;
    const Clock& clock_;
    RequestMetrics& metrics_;
    SlotRequest slotRequest_;
    Verdict verdict_ = Verdict::NotRun;
    bool sent_ = false;
    bool hedged_ = false;
    bool retryPrepaid_ = false;
};

} // namespace rosemarylink::gateway::internal
