#pragma once

#include "CellContext.h"

namespace rosemarylink::state::internal {

// Writes a cell's placements record. Changes since the last write are batched, one write is in progress at a time, and
// each write is a compare-and-swap on the revision of the previous one.
class PlacementsWriter {
public:
    struct Handlers {
        std::function<records::PlacementsRecord()> snapshot; // the record to store, without an operation id
        std::function<void(const records::PlacementsRecord&)> written; // the record is durable
        std::function<void(const std::string& reason)> lost; // a later owner has written the record
    };

    PlacementsWriter(CellContext&, Handlers);

    // Starts over after a claim that wrote the record at this revision.
    void reset(Revision);
    void markDirty() { dirty_ = true; }
    void step();

    // True while writes fail; new decisions would have to wait.
    bool failing() const { return retry_.failing(); }
    bool idle() const { return !dirty_ && !callInProgress_ && !unresolved_; }

private:
    enum class Outcome {
        Written,
        EarlierWriteFound, // the unresolved earlier write had taken effect; this one was not attempted
        Lost,
        Failed, // the record was not written
        Unknown, // no reply; the record may have been written
        StillUnknown, // the unresolved earlier write could not be checked; this one was not attempted
    };
    struct Attempt {
        Outcome outcome = Outcome::Failed;
        Revision revision;
    };

    static Attempt write(KeyValueStore&, const std::string& key, Revision expected,
        const std::optional<records::PlacementsRecord>& unresolved, const records::PlacementsRecord&);
    void apply(const Attempt&, records::PlacementsRecord);

    CellContext& context_;
    Handlers handlers_;
    Revision revision_;
    bool dirty_ = false;
    bool callInProgress_ = false;
    Milliseconds nextWrite_ { 0 };
    RetryDelay retry_;
    std::optional<records::PlacementsRecord> unresolved_; // a record whose write got no reply
};

} // namespace rosemarylink::state::internal
