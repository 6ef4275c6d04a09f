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

// A call that waits for its answer. The caller's thread and the I/O thread share it.
class PendingCall {
public:
    // Marks the call as leaving over a connection. False when the caller has given up, so that nothing may be sent.
    bool beginSend(const LinkConnection*);

    // The first outcome counts; later ones are ignored.
    void complete(Result<nlohmann::json>);

    // True when the call left over this connection.
    bool leftOver(const LinkConnection*) const;

    // Waits for the outcome. At the time-out the verdict depends on whether the message has left.
    Result<nlohmann::json> wait(Milliseconds timeout);

private:
    mutable std::mutex mutex_;
    std::condition_variable done_;
    const LinkConnection* link_ = nullptr;
    bool abandoned_ = false;
    std::optional<Result<nlohmann::json>> outcome_;
};

// All calls of this instance that wait, by number. Safe to use from several threads.
class PendingCalls {
public:
    std::pair<std::int64_t, std::shared_ptr<PendingCall>> add();
    void remove(std::int64_t id);

    // Settles the call when it left over this connection; an answer to an unknown call is late and is ignored.
    void answer(std::int64_t id, const LinkConnection*, Result<nlohmann::json>);

    // Fails the calls that left over a closed connection.
    void failAll(const LinkConnection*);
    void failAll();

private:
    std::mutex mutex_;
    std::int64_t nextId_ = 1;
    std::map<std::int64_t, std::shared_ptr<PendingCall>> calls_;
};

} // namespace rosemarylink::transport::internal
