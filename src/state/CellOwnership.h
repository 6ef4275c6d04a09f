#pragma once

#include "CellContext.h"

namespace rosemarylink::state::internal {

// What a successful claim has read and written.
struct ClaimedCell {
    LeaseId lease;
    OperationId leaseOperation;
    Revision revision; // of the placements record
    records::PlacementsRecord record; // with the new token
    std::vector<KeyedValue> jobs;
};

// Holds the cell's lease in the store, or watches who does and claims the cell when nobody does.
class CellOwnership {
public:
    struct Handlers {
        std::function<void(ClaimedCell)> claimed;
        std::function<void(const std::string& reason)> lost;
    };

    CellOwnership(CellContext&, Handlers);

    // Does what is due. Claims only while eligible.
    void step(bool eligible);
    void setCandidates(const std::vector<InstanceId>&, const std::vector<CellId>& cells);

    // Forgets the lease after the cell was lost; it lapses by itself.
    void reset();

    // Revokes the lease and stays away from the cell. True once that is done.
    bool resign();

    // Notes that this process has not run for longer than the lease's term. Workers must get no orders until the store
    // has confirmed the lease: another owner may have counted on their tasks to end.
    void doubt();
    bool confirmed() const { return confirmed_; }

    bool holds() const { return state_ == State::Holding || state_ == State::Reacquiring; }
    bool claiming() const { return state_ == State::Claiming; }
    bool leaseLapsed() const { return state_ == State::Reacquiring; }
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
    std::optional<std::size_t> rank_; // in the preference order; none when this instance is no candidate
    std::optional<Milliseconds> absentSince_;
    Milliseconds claimAfter_ { 0 };
    std::optional<InstanceId> owner_;
    bool confirmed_ = true;
    Milliseconds doubtedAt_ { 0 };
    LeaseId lease_;
    OperationId leaseOperation_;
};

} // namespace rosemarylink::state::internal
