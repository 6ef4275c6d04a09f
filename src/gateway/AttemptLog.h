#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Attempts.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <optional>

namespace rosemarylink::gateway::internal {

// An attempt as the store holds it.
struct StoredAttempt {
    attempts::AttemptRecord record;
    Revision revision;
};

// The attempts of non-idempotent requests under attempts/<account>/<key>. One attempt exists for each key, so a request
// runs at most once even when several gateways receive it. Safe to use from several threads.
class AttemptLog {
public:
    explicit AttemptLog(state::KeyValueStore&);

    // The attempt, or nothing when none has been recorded.
    Result<std::optional<StoredAttempt>> read(const AccountId&, const IdempotencyKey&);

    // Records the attempt before its first byte leaves. Fails with Conflict when there is one already, and with
    // Unavailable when the store did not confirm it; the request must not be sent then.
    Result<StoredAttempt> start(const AccountId&, const IdempotencyKey&, attempts::AttemptRecord);

    // Records the outcome of an attempt that this gateway started.
    Status finish(const AccountId&, const IdempotencyKey&, const StoredAttempt&, attempts::AttemptRecord outcome);

private:
    Result<Revision> write(const std::string& key, Revision expected, const attempts::AttemptRecord&);
    // The revision of the operation's own write when it took effect, or nothing when the key is unchanged. Fails with
    // Conflict when another write was first.
    Result<std::optional<Revision>> findOwnWrite(
        const std::string& key, Revision expected, const OperationId& operation);

    state::KeyValueStore& store_;
};

// What a started attempt without an outcome means at a time: the error "in progress" until its deadline, and MayHaveRun
// after it, since the gateway that held it is gone then.
Error unfinishedAttemptError(const attempts::AttemptRecord&, Timestamp now);

} // namespace rosemarylink::gateway::internal
