#pragma once

#include "CellContext.h"

namespace rosemarylink::state::internal {

// Writes a cell's placements record: all changes since the last write go out together, one write is in progress at a
// time, and each is a compare-and-swap on the revision of the one before.
class PlacementsWriter {
public:
    struct Handlers {
        std::function<records::PlacementsRecord()> snapshot; // what should be stored now, without an operation id
        std::function<void(const records::PlacementsRecord&)> written; // it is durable
        std::function<void(const std::string& reason)> lost; // a later owner has written
    };

    PlacementsWriter(CellContext&, Handlers);

    // Starts after a claim that left the record at this revision.
    void reset(Revision);
    void markDirty() { dirty_ = true; }
    void step();

    // True while writes fail, so that new decisions would only wait.
    bool failing() const { return retry_.failing(); }
    bool idle() const { return !dirty_ && !callInProgress_ && !unsettled_; }

private:
    enum class Outcome {
        Written,
        EarlierWritten, // the write whose reply was lost before had taken effect; this one was not tried
        Lost,
        Failed, // without effect
        Unsettled, // its reply was lost
        StillUnsettled, // the earlier write could not be looked for; this one was not tried
    };
    struct Attempt {
        Outcome outcome = Outcome::Failed;
        Revision revision;
    };

    static Attempt write(KeyValueStore&, const std::string& key, Revision expected,
        const std::optional<records::PlacementsRecord>& unsettled, const records::PlacementsRecord&);
    void apply(const Attempt&, records::PlacementsRecord);

    CellContext& context_;
    Handlers handlers_;
    Revision revision_;
    bool dirty_ = false;
    bool callInProgress_ = false;
    Milliseconds nextWrite_ { 0 };
    RetryDelay retry_;
    std::optional<records::PlacementsRecord> unsettled_; // its write may have taken effect
};

} // namespace rosemarylink::state::internal
