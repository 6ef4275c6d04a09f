#pragma once

#include "RetryBudget.h"
#include "UpstreamCall.h"

namespace rosemarylink::gateway::internal {

struct RetryOptions {
    Milliseconds hedgeDelay { 50 }; // shortest
    Milliseconds progressTimeout { 5000 };
};

// Serves one idempotent request: it is sent again after a failure, and hedged when it is urgent, both under the budget.
class IdempotentRun {
public:
    // All arguments must outlive the run.
    IdempotentRun(
        const GatewayRequest&, ServicePool&, RetryBudget&, const RetryOptions&, const Clock&, RequestMetrics&);

    // The whole answer, or an error with the verdict over all copies that were sent.
    Result<UpstreamAnswer> run();

private:
    using Calls = std::vector<std::unique_ptr<UpstreamCall>>;

    Result<UpstreamAnswer> runOnce();
    Result<UpstreamAnswer> collect(Calls&);
    void sendHedge(Calls&);
    // True when bytes of a second copy may have left.
    bool hedgeTo(const std::optional<Slot>&, Calls&);
    // Gives up a connection without progress, if the budget allows another attempt.
    bool dropSilent(Calls&);
    // Notes what an error says about the request as a whole.
    Error note(Error);
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
    bool retryPaid_ = false;
};

} // namespace rosemarylink::gateway::internal
