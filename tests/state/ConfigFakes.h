#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Model.h"
#include "rosemarylink/state/ConfigStore.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace rosemarylink::state::fakes {

// The data of an in-memory store with leases on a manual clock. Each instance accesses it through its own
// FakeStoreClient.
class FakeStoreBackend {
public:
    explicit FakeStoreBackend(ManualClock& clock)
        : clock_(clock)
    {
    }

    struct Entry {
        StoredValue value;
        std::optional<LeaseId> lease;
    };

    ManualClock& clock() { return clock_; }

    std::map<std::string, Entry>& entries()
    {
        endLeases();
        return entries_;
    }

    std::map<LeaseId, std::pair<Milliseconds, Milliseconds>>& leases() // end and ttl
    {
        endLeases();
        return leases_;
    }

    Revision nextRevision() { return Revision(++revision_); }
    LeaseId nextLease() { return LeaseId("lease-" + std::to_string(++leaseCount_)); }

    void endLease(const LeaseId& lease)
    {
        leases_.erase(lease);
        for (auto position = entries_.begin(); position != entries_.end();)
            position = position->second.lease == lease ? entries_.erase(position) : std::next(position);
    }

private:
    void endLeases()
    {
        for (auto position = leases_.begin(); position != leases_.end();) {
            const auto current = position++;
            if (current->second.first <= clock_.monotonic())
                endLease(LeaseId(current->first));
        }
    }

    ManualClock& clock_;
    std::map<std::string, Entry> entries_;
    std::map<LeaseId, std::pair<Milliseconds, Milliseconds>> leases_;
    std::int64_t revision_ = 0;
    int leaseCount_ = 0;
};

// One client of the store, with the faults injected into its calls.
class FakeStoreClient final : public KeyValueStore {
public:
    explicit FakeStoreClient(FakeStoreBackend& backend)
        : backend_(backend)
    {
    }

    bool down = false;
    Milliseconds delay { 0 }; // added to the clock by each call
    Milliseconds deadline { 1000 }; // a call that takes longer fails: a read with NotRun, a write with MayHaveRun
    int loseReplyAtWrite = 0; // the write with this number, counted from 1, takes effect and its reply is lost
    int loseRequestAtWrite = 0; // the request of the write with this number is lost and has no effect
    bool downAfterLoss = false; // the store is down from the lost write on
    std::function<void(const std::string& operation)> before; // runs before each call; for races
    int reads = 0;
    int writes = 0;

    Result<std::optional<StoredValue>> read(const std::string& key) override
    {
        ++reads;
        BOOST_OUTCOME_TRYV(enter("read"));
        const auto position = backend_.entries().find(key);
        if (position == backend_.entries().end())
            return std::optional<StoredValue>();
        return std::make_optional(position->second.value);
    }

    Result<std::vector<KeyedValue>> list(const std::string& prefix) override
    {
        ++reads;
        BOOST_OUTCOME_TRYV(enter("list"));
        std::vector<KeyedValue> result;
        for (const auto& [key, entry] : backend_.entries()) {
            if (key.compare(0, prefix.size(), prefix) == 0)
                result.push_back({ key, entry.value });
        }
        return result;
    }

    Result<Revision> compareAndSwap(const std::string& key, Revision expected, const std::string& bytes,
        const std::optional<LeaseId>& lease = std::nullopt) override
    {
        BOOST_OUTCOME_TRYV(enter("compareAndSwap"));
        return afterWrite(swap(key, expected, bytes, lease, ++writes != loseRequestAtWrite));
    }

    Status remove(const std::string& key, Revision expected) override
    {
        BOOST_OUTCOME_TRYV(enter("remove"));
        ++writes;
        auto& entries = backend_.entries();
        const auto position = entries.find(key);
        if (position == entries.end())
            return makeError(ErrorCode::NotFound, "absent");
        if (position->second.value.revision != expected)
            return makeError(ErrorCode::Conflict, "changed");
        entries.erase(position);
        return okStatus();
    }

    Result<LeaseId> grantLease(Milliseconds ttl) override
    {
        BOOST_OUTCOME_TRYV(enter("grantLease"));
        const LeaseId lease = backend_.nextLease();
        backend_.leases()[lease] = { backend_.clock().monotonic() + ttl, ttl };
        return lease;
    }

    Status renewLease(const LeaseId& lease) override
    {
        BOOST_OUTCOME_TRYV(enter("renewLease"));
        const auto position = backend_.leases().find(lease);
        if (position == backend_.leases().end())
            return makeError(ErrorCode::NotFound, "ended");
        position->second.first = backend_.clock().monotonic() + position->second.second;
        return okStatus();
    }

    Status revokeLease(const LeaseId& lease) override
    {
        BOOST_OUTCOME_TRYV(enter("revokeLease"));
        backend_.endLease(lease);
        return okStatus();
    }

    // Returns at once.
    Result<std::vector<WatchEvent>> watch(const std::string& prefix, Revision after, Milliseconds) override
    {
        BOOST_OUTCOME_TRYV(enter("watch"));
        std::vector<WatchEvent> events;
        for (const auto& [key, entry] : backend_.entries()) {
            if (key.compare(0, prefix.size(), prefix) == 0 && entry.value.revision > after)
                events.push_back({ key, entry.value.revision, entry.value.bytes });
        }
        return events;
    }

private:
    Status enter(const std::string& operation)
    {
        if (before)
            before(operation);
        if (down)
            return unavailable("the store is down", Verdict::NotRun);
        backend_.clock().advance(delay);
        if (delay > deadline && operation != "compareAndSwap")
            return unavailable("the store is slow", Verdict::NotRun);
        return okStatus();
    }

    Result<Revision> swap(const std::string& key, Revision expected, const std::string& bytes,
        const std::optional<LeaseId>& lease, bool arrives)
    {
        if (!arrives)
            return unavailable("the request was lost", Verdict::MayHaveRun);
        auto& entries = backend_.entries();
        const auto position = entries.find(key);
        const Revision current = position == entries.end() ? Revision(0) : position->second.value.revision;
        if (current != expected)
            return makeError(ErrorCode::Conflict, "changed");
        if (lease && backend_.leases().count(*lease) == 0)
            return makeError(ErrorCode::NotFound, "the lease has ended");
        const Revision revision = backend_.nextRevision();
        entries[key] = { { bytes, revision }, lease };
        return revision;
    }

    Result<Revision> afterWrite(Result<Revision> outcome)
    {
        const bool lost = writes == loseReplyAtWrite || writes == loseRequestAtWrite;
        if (lost && downAfterLoss)
            down = true;
        if (writes == loseReplyAtWrite || delay > deadline)
            return unavailable("the reply was lost", Verdict::MayHaveRun);
        return outcome;
    }

    FakeStoreBackend& backend_;
};

// Declarations that differ for each number.
inline model::Declarations makeDeclarations(int number)
{
    model::Declarations declarations;
    declarations.preset = static_cast<model::Preset>(number % 3);
    model::Account account;
    account.id = AccountId("account");
    account.weight = number + 1;
    declarations.accounts.push_back(account);
    return declarations;
}

inline ConfigProposal makeProposal(
    ConfigVersion expected, int number, const std::string& changedBy = "alice", const std::string& operation = "")
{
    ConfigProposal proposal;
    proposal.expected = expected;
    proposal.declarations = makeDeclarations(number);
    proposal.changedBy = OperatorId(changedBy);
    proposal.summary = "change " + std::to_string(number);
    if (!operation.empty())
        proposal.operation = OperationId(operation);
    return proposal;
}

} // namespace rosemarylink::state::fakes
