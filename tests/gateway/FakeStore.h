#pragma once

#include "rosemarylink/state/KeyValueStore.h"

#include <functional>
#include <map>
#include <mutex>

namespace rosemarylink::gateway::testing {

// An in-memory store with injected faults. Supports only reads and writes of single keys.
class FakeStore final : public state::KeyValueStore {
public:
    // While down, all calls fail with Unavailable and NotRun.
    void setDown(bool down)
    {
        const std::lock_guard lock(mutex_);
        down_ = down;
    }

    // The next count writes take effect, but fail with Unavailable and MayHaveRun.
    void loseReplies(int count)
    {
        const std::lock_guard lock(mutex_);
        repliesToLose_ = count;
    }

    // Sets a hook that is called before each write, without the store's lock.
    void onWrite(std::function<void()> hook) { hook_ = std::move(hook); }

    int writes() const
    {
        const std::lock_guard lock(mutex_);
        return writes_;
    }

    std::map<std::string, state::StoredValue> values() const
    {
        const std::lock_guard lock(mutex_);
        return values_;
    }

    Result<std::optional<state::StoredValue>> read(const std::string& key) override
    {
        const std::lock_guard lock(mutex_);
        if (down_)
            return unavailable("the store is down", Verdict::NotRun);
        const auto position = values_.find(key);
        if (position == values_.end())
            return std::optional<state::StoredValue>();
        return std::optional<state::StoredValue>(position->second);
    }

    Result<std::vector<state::KeyedValue>> list(const std::string&) override { return unsupported(); }

    Result<Revision> compareAndSwap(
        const std::string& key, Revision expected, const std::string& bytes, const std::optional<LeaseId>&) override
    {
        if (hook_)
            hook_();
        const std::lock_guard lock(mutex_);
        if (down_)
            return unavailable("the store is down", Verdict::NotRun);
        const auto position = values_.find(key);
        const Revision current = position == values_.end() ? Revision(0) : position->second.revision;
        if (current != expected)
            return makeError(ErrorCode::Conflict, "the revision differs");
        ++writes_;
        values_[key] = { bytes, Revision(++revision_) };
        if (repliesToLose_ > 0) {
            --repliesToLose_;
            return unavailable("the reply was lost", Verdict::MayHaveRun);
        }
        return Revision(revision_);
    }

    Status remove(const std::string&, Revision) override { return unsupported(); }
    Result<LeaseId> grantLease(Milliseconds) override { return unsupported(); }
    Status renewLease(const LeaseId&) override { return unsupported(); }
    Status revokeLease(const LeaseId&) override { return unsupported(); }
    Result<std::vector<state::WatchEvent>> watch(const std::string&, Revision, Milliseconds) override
    {
        return unsupported();
    }

private:
    static Error unsupported() { return makeError(ErrorCode::Unsupported, "not supported by FakeStore"); }

    mutable std::mutex mutex_;
    std::map<std::string, state::StoredValue> values_;
    std::function<void()> hook_;
    std::int64_t revision_ = 0;
    int writes_ = 0;
    int repliesToLose_ = 0;
    bool down_ = false;
};

} // namespace rosemarylink::gateway::testing
