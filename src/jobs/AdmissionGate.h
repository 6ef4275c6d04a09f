#pragma once

#include "JobMemory.h"
#include "rosemarylink/jobs/RecordStore.h"

#include <cstddef>
#include <optional>

namespace rosemarylink::jobs::internal {

// What one instance knows of whether new jobs are accepted. The owner's closure is part of the precondition of each
// submission, so that it is in force at every instance as soon as it is stored, and costs no call while there is none.
// Besides, an instance accepts only so many bytes of jobs a second: while there is no owner, nobody could close.
class AdmissionGate {
public:
    enum class Decision { Open, Closed, TooFast };

    // Tells whether a job of the account is to be refused without an attempt to store it. Otherwise admit() must be
    // called with the first attempt.
    Decision decide(const AccountId&, std::size_t jobBytes, Milliseconds now);
    void admit(std::size_t jobBytes);

    // The condition under which a job of the account may be stored.
    Precondition condition(const AccountId&) const;

    // Takes over the record from the response to a failed precondition. Returns whether it has changed.
    bool update(const Record&, Milliseconds now);

    // Whether the account is closed by the last known record.
    bool isClosed(const AccountId& account) const { return closure_.contains(account); }

private:
    void refill(Milliseconds now);

    AdmissionClosure closure_;
    Revision revision_ { 0 }; // of the record; 0 if there is none
    Milliseconds confirmedAt_ { 0 };
    std::optional<Milliseconds> filledAt_;
    std::size_t allowance_ = 0; // bytes
};

} // namespace rosemarylink::jobs::internal
