#pragma once

#include "LinkConnection.h"

#include "rosemarylink/base/Error.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>

namespace rosemarylink::transport::internal {

// A call that waits for its answer. Shared by the caller's thread and the I/O thread; thread-safe.
class PendingCall {
public:
    // Records the connection over which the call is about to be sent. Returns false when the call has timed out or is
    // complete; it must not be sent then.
    bool beginSend(const LinkConnection*);

    // Sets the outcome. Later outcomes are ignored.
    void complete(Result<nlohmann::json>);

    // True when the call was sent over this connection; null means that it has not been sent.
    bool wasSentOver(const LinkConnection*) const;

    // Waits for the outcome. Fails with DeadlineExceeded at the time-out: MayHaveRun when the call was sent, otherwise
    // NotRun.
    Result<nlohmann::json> wait(Milliseconds timeout);

private:
    mutable std::mutex mutex_;
    std::condition_variable done_;
    const LinkConnection* link_ = nullptr;
    bool abandoned_ = false;
    std::optional<Result<nlohmann::json>> outcome_;
};

// The pending calls of this instance, by number. Thread-safe.
class PendingCalls {
public:
    std::pair<std::int64_t, std::shared_ptr<PendingCall>> add();
    void remove(std::int64_t id);

    // Completes the call if it was sent over this connection. An answer to an unknown call arrived after the time-out
    // and is ignored.
    void answer(std::int64_t id, const LinkConnection*, Result<nlohmann::json>);

    // Fails the calls that were sent over a closed connection.
    void failAll(const LinkConnection*);
    void failAll();

private:
    std::mutex mutex_;
    std::int64_t nextId_ = 1;
    std::map<std::int64_t, std::shared_ptr<PendingCall>> calls_;
};

} // namespace rosemarylink::transport::internal
