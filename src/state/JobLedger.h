#pragma once

#include "CellContext.h"

#include <deque>
#include <map>
#include <set>

namespace rosemarylink::state::internal {

struct LedgerEntry {
    records::JobRecord record;
    Revision revision;
    bool ending = false; // its terminal state waits for the store
};

// The job records of a cell as this owner knows them, and the writes of their terminal states.
class JobLedger {
public:
    using Ended = std::function<void(const JobId&)>; // the terminal state is durable

    JobLedger(CellContext&, Ended);

    // Takes the records listed at a takeover; those that cannot be read are named in the warnings.
    void reset(const std::vector<KeyedValue>&, std::vector<std::string>& warnings);
    void clear();

    const LedgerEntry* find(const JobId&) const;
    const std::map<JobId, LedgerEntry>& entries() const { return entries_; }
    void add(records::JobRecord, Revision);

    // Writes the state until it is durable, then calls Ended.
    void end(const JobId&, records::JobState);

    // Reads a record whose write had no reply, until the store says whether it exists; found is called when it does.
    void lookFor(const JobId&, std::function<void(const JobId&)> found);

    void step();
    bool idle() const { return toEnd_.empty() && unsettled_.empty() && !callInProgress_; }

private:
    struct EndWrite {
        JobId job;
        records::JobState state = records::JobState::Completed;
    };
    struct EndResult {
        EndWrite write;
        bool done = false;
        bool callFailed = false;
        std::optional<std::pair<records::JobRecord, Revision>> stored; // as it is in the store now
    };

    static EndResult writeEnd(KeyValueStore&, const std::string& key, const EndWrite&, const LedgerEntry&, Timestamp);
    void postEnds();
    void applyEnds(const std::vector<EndResult>&);
    void postLookUps();
    void forgetOld();

    CellContext& context_;
    Ended ended_;
    std::map<JobId, LedgerEntry> entries_;
    std::deque<EndWrite> toEnd_;
    std::map<JobId, std::function<void(const JobId&)>> unsettled_;
    std::deque<std::pair<Milliseconds, JobId>> endedAt_;
    bool callInProgress_ = false;
    Milliseconds nextCall_ { 0 };
    RetryDelay retry_;
};

// Reads and decodes one job record.
Result<std::optional<std::pair<records::JobRecord, Revision>>> readJob(KeyValueStore&, const std::string& key);

} // namespace rosemarylink::state::internal
