#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Attempts.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <optional>

namespace rosemarylink::gateway::internal {

// An attempt record and its revision in the store.
struct StoredAttempt {
    attempts::AttemptRecord record;
    Revision revision;
};

// Records the attempts of non-idempotent requests in the store, under attempts/<account>/<key>. Each key has at most
// one attempt, so a request runs at most once even when several gateways receive it. Safe to use from several threads.
class AttemptLog {
public:
    explicit AttemptLog(state::KeyValueStore&);

    // Returns the attempt, or nothing when none has been recorded.
    Result<std::optional<StoredAttempt>> read(const AccountId&, const IdempotencyKey&);

    // Records the start of an attempt. Must succeed before the first byte of the request is sent. Fails with Conflict
    // when the key already has an attempt, and with Unavailable when the store did not confirm the write.
    Result<StoredAttempt> start(const AccountId&, const IdempotencyKey&, attempts::AttemptRecord);

    // Records the outcome of an attempt that this gateway started.
    Status finish(const AccountId&, const IdempotencyKey&, const StoredAttempt&, attempts::AttemptRecord outcome);

private:
    Result<Revision> write(const std::string& key, Revision expected, const attempts::AttemptRecord&);
    // Reads the key after a write whose result is unknown. Returns the new revision when the operation's write took
    // effect, or nothing when the key still has the expected revision. Fails with Conflict when another write was
    // first.
    Result<std::optional<Revision>> findOwnWrite(
        const std::string& key, Revision expected, const OperationId& operation);

    state::KeyValueStore& store_;
};

// The error for an attempt that was started and has no outcome: Conflict ("in progress") until its deadline plus a
// grace period, and DeadlineExceeded after that, because the gateway that handled it can no longer record an outcome.
// Both have the verdict MayHaveRun.
Error unfinishedAttemptError(const attempts::AttemptRecord&, Timestamp now);

} // namespace rosemarylink::gateway::internal
