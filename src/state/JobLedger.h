#pragma once

#include "CellContext.h"

#include <deque>
#include <map>
#include <set>

namespace rosemarylink::state::internal {

struct LedgerEntry {
    records::JobRecord record;
    Revision revision;
    bool ending = false; // its terminal state is yet to be stored
};

// The owner's copy of a cell's job records. Writes the jobs' terminal states.
class JobLedger {
public:
    using Ended = std::function<void(const JobId&)>; // called when the terminal state is durable

    JobLedger(CellContext&, Ended);

    // Replaces all entries by the records listed at a takeover. Adds a warning for each record that cannot be read.
    void reset(const std::vector<KeyedValue>&, std::vector<std::string>& warnings);
    void clear();

    const LedgerEntry* find(const JobId&) const;
    const std::map<JobId, LedgerEntry>& entries() const { return entries_; }
    // Adds or updates a record, unless a later revision is known.
    void add(records::JobRecord, Revision);

    // Writes the terminal state with retries until it is durable, then calls Ended.
    void end(const JobId&, records::JobState);

    // Reads a record whose write got no reply, with retries until the store answers. Calls `found` if the record
    // exists.
    void resolveUnknownWrite(const JobId&, std::function<void(const JobId&)> found);

    void step();
    bool idle() const { return pendingEnds_.empty() && unresolved_.empty() && !callInProgress_; }

private:
    struct EndWrite {
        JobId job;
        records::JobState state = records::JobState::Completed;
    };
    struct EndResult {
        EndWrite write;
        bool done = false;
        bool callFailed = false;
        std::optional<std::pair<records::JobRecord, Revision>> stored; // the record that is now in the store
    };

    static EndResult writeEnd(KeyValueStore&, const std::string& key, const EndWrite&, const LedgerEntry&, Timestamp);
    void postEnds();
    void applyEnds(const std::vector<EndResult>&);
    void postUnresolvedRead();
    void evictEnded();

    CellContext& context_;
    Ended ended_;
    std::map<JobId, LedgerEntry> entries_;
    std::deque<EndWrite> pendingEnds_;
    std::map<JobId, std::function<void(const JobId&)>> unresolved_;
    std::deque<std::pair<Milliseconds, JobId>> endedAt_;
    bool callInProgress_ = false;
    Milliseconds nextCall_ { 0 };
    RetryDelay retry_;
};

// Reads and decodes one job record.
Result<std::optional<std::pair<records::JobRecord, Revision>>> readJob(KeyValueStore&, const std::string& key);

} // namespace rosemarylink::state::internal
