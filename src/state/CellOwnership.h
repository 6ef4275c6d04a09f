#pragma once

#include "CellContext.h"

namespace rosemarylink::state::internal {

// The result of a successful claim.
struct ClaimedCell {
    LeaseId lease;
    OperationId leaseOperation;
    Revision revision; // of the placements record
    records::PlacementsRecord record; // as written, with the new token
    std::vector<KeyedValue> jobs;
};

// Holds the cell's lease in the store, or polls it and claims the cell when no instance holds it.
class CellOwnership {
public:
    struct Handlers {
        std::function<void(ClaimedCell)> claimed;
        std::function<void(const std::string& reason)> lost;
    };

    CellOwnership(CellContext&, Handlers);

    // Posts the store call that is due: a poll, claim or renewal. Polls and claims only if eligible.
    void step(bool eligible);
    void setCandidates(const std::vector<InstanceId>&, const std::vector<CellId>& cells);

    // Abandons the lease after the cell was lost, without revoking it; it expires.
    void reset();

    // Revokes the lease and never claims the cell again. Call it repeatedly until it returns true.
    bool resign();

    // Called when this process has been suspended for longer than the lease term. Workers must get no orders or
    // renewals until the store has confirmed the lease, since another owner may rely on their task leases to expire.
    void requireConfirmation();
    bool confirmed() const { return confirmed_; }

    bool holds() const { return state_ == State::Holding || state_ == State::Reacquiring; }
    bool claiming() const { return state_ == State::Claiming; }
    bool leaseExpired() const { return state_ == State::Reacquiring; }
    const std::optional<InstanceId>& owner() const { return owner_; }
    const OperationId& leaseOperation() const { return leaseOperation_; }
    bool storeFailing() const { return retry_.failing(); }

private:
    enum class State { Watching, Claiming, Holding, Reacquiring, Resigned };

    void poll();
    void applyPoll(const Result<std::optional<StoredValue>>&);
    void claim();
    void applyClaim(Result<ClaimedCell>);
    void renew();
    void applyRenewal(const Status&, Milliseconds sent);
    void reacquire();
    void applyReacquisition(const Result<std::pair<LeaseId, OperationId>>&);
    Milliseconds retryTime() { return context_.now() + retry_.next(context_); }

    CellContext& context_;
    Handlers handlers_;
    State state_ = State::Watching;
    bool callInProgress_ = false;
    Milliseconds nextCall_ { 0 };
    RetryDelay retry_;
    std::optional<std::size_t> rank_; // in the preference order; empty if this instance is not a candidate
    std::optional<Milliseconds> absentSince_;
    Milliseconds claimAfter_ { 0 };
    std::optional<InstanceId> owner_;
    bool confirmed_ = true;
    Milliseconds unconfirmedSince_ { 0 };
    LeaseId lease_;
    OperationId leaseOperation_;
};

} // namespace rosemarylink::state::internal
