#pragma once

#include "AttemptLog.h"
#include "UpstreamCall.h"

namespace rosemarylink::gateway::internal {

struct NonIdempotentOptions {
    InstanceId gateway;
    std::size_t maximumStoredResponseBytes = 262144;
};

// Handles one non-idempotent request, which is sent at most once. The order guarantees it: acquire a slot and a
// connection, record the attempt in the store, send the request, record the outcome.
class NonIdempotentHandler {
public:
    // All arguments must outlive the handler.
    NonIdempotentHandler(const GatewayRequest&, const IdempotencyKey&, ServicePool&, AttemptLog&,
        const NonIdempotentOptions&, const Clock&, RequestMetrics&);

    // Returns the finished record of this request, or of an earlier one with the same key. Fails when there is no
    // outcome: with NotRun when this request was refused before its attempt was recorded, and with MayHaveRun when the
    // earlier request is unfinished. Call once; blocks until the outcome or the deadline.
    Result<attempts::AttemptRecord> handle();

private:
    Result<attempts::AttemptRecord> outcomeFromRecord(const attempts::AttemptRecord&) const;
    Result<attempts::AttemptRecord> readExistingOutcome();
    Result<std::unique_ptr<UpstreamCall>> connect();
    void recordOutcome(const StoredAttempt&, attempts::AttemptRecord);
    attempts::AttemptRecord execute(UpstreamCall&, const StoredAttempt&);
    Result<UpstreamResponse> exchange(UpstreamCall&);
    attempts::AttemptRecord makeRecord() const;

    const GatewayRequest& request_;
    const IdempotencyKey& key_;
    ServicePool& pool_;
    AttemptLog& log_;
    const NonIdempotentOptions& options_;
    const Clock& clock_;
    RequestMetrics& metrics_;
    std::string bodySha256_;
};

} // namespace rosemarylink::gateway::internal
