#include "PendingCalls.h"

namespace rosemarylink::transport::internal {

bool PendingCall::beginSend(const LinkConnection* link)
{
    const std::lock_guard lock(mutex_);
    if (abandoned_ || outcome_)
        return false;
    link_ = link;
    return true;
}

void PendingCall::complete(Result<nlohmann::json> outcome)
{
    const std::lock_guard lock(mutex_);
    if (outcome_)
        return;
    outcome_.emplace(std::move(outcome));
    done_.notify_all();
}

bool PendingCall::wasSentOver(const LinkConnection* link) const
{
    const std::lock_guard lock(mutex_);
    return link_ == link;
}

Result<nlohmann::json> PendingCall::wait(Milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    if (done_.wait_for(lock, timeout, [this] { return outcome_.has_value(); }))
        return *outcome_;
    abandoned_ = true;
    Error error = makeError(ErrorCode::DeadlineExceeded, "no answer within " + std::to_string(timeout.count()) + " ms");
    error.verdict = link_ ? Verdict::MayHaveRun : Verdict::NotRun;
    return error;
}

std::pair<std::int64_t, std::shared_ptr<PendingCall>> PendingCalls::add()
{
    const std::lock_guard lock(mutex_);
    const std::int64_t id = nextId_++;
    auto call = std::make_shared<PendingCall>();
    calls_.emplace(id, call);
    return { id, call };
}

void PendingCalls::remove(std::int64_t id)
{
    const std::lock_guard lock(mutex_);
    calls_.erase(id);
}

void PendingCalls::answer(std::int64_t id, const LinkConnection* link, Result<nlohmann::json> outcome)
{
    const std::lock_guard lock(mutex_);
    const auto position = calls_.find(id);
    if (position != calls_.end() && position->second->wasSentOver(link))
        position->second->complete(std::move(outcome));
}

void PendingCalls::failAll(const LinkConnection* link)
{
    const std::lock_guard lock(mutex_);
    for (const auto& [id, call] : calls_) {
        if (call->wasSentOver(link))
            call->complete(unavailable("the connection was lost before the answer came", Verdict::MayHaveRun));
    }
}

void PendingCalls::failAll()
{
    const std::lock_guard lock(mutex_);
    for (const auto& [id, call] : calls_)
        call->complete(
            unavailable("the links have stopped", call->wasSentOver(nullptr) ? Verdict::NotRun : Verdict::MayHaveRun));
}

} // namespace rosemarylink::transport::internal
