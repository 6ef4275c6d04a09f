#pragma once

#include "AttemptLog.h"
#include "UpstreamCall.h"

namespace rosemarylink::gateway::internal {

struct SingleOptions {
    InstanceId gateway;
    std::size_t storedAnswer = 262144; // bytes
};

// Serves one non-idempotent request at most once: slot and connection first, then the record of the attempt, then the
// first byte, then the outcome. Nothing is sent twice.
class SingleRun {
public:
    // All arguments must outlive the run.
    SingleRun(const GatewayRequest&, const IdempotencyKey&, ServicePool&, AttemptLog&, const SingleOptions&,
        const Clock&, RequestMetrics&);

    // The done record of this request or of the first one with the same key. Fails when there is no outcome: the
    // request was refused before its attempt was recorded (NotRun), or the first one is unfinished (MayHaveRun).
    Result<attempts::AttemptRecord> run();

private:
    Result<attempts::AttemptRecord> describe(const attempts::AttemptRecord&) const;
    Result<attempts::AttemptRecord> outcomeOfFirst();
    Result<std::unique_ptr<UpstreamCall>> connect();
    void recordOutcome(const StoredAttempt&, attempts::AttemptRecord);
    attempts::AttemptRecord execute(UpstreamCall&, const StoredAttempt&);
    Result<UpstreamAnswer> exchange(UpstreamCall&);
    attempts::AttemptRecord newRecord() const;

    const GatewayRequest& request_;
    const IdempotencyKey& key_;
    ServicePool& pool_;
    AttemptLog& log_;
    const SingleOptions& options_;
    const Clock& clock_;
    RequestMetrics& metrics_;
    std::string bodySha256_;
};

} // namespace rosemarylink::gateway::internal
