#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/generated/Config.h"
#include "rosemarylink/state/KeyValueStore.h"

#include <optional>
#include <string>

namespace rosemarylink::state {

// A change that an operator asks for.
struct ConfigProposal {
    ConfigVersion expected; // the version that the operator has seen; 0: there is no configuration yet
    model::Declarations declarations;
    OperatorId changedBy;
    std::string summary; // what changed, in a few words, for the audit trail
    // Names the change. A proposal that is repeated with the same id is accepted at most once.
    OperationId operation = makeRandomId<OperationId>();
};

struct ConfigAcceptance {
    ConfigVersion version; // the version that the change made, or the current one when nothing differed
    bool changed = false; // false: nothing differed and nothing was written
    config::ConfigInForce current; // the stored configuration; later than version when others have changed it since
};

// The configuration record in the store. Accepted means stored. Methods block on the store. Safe to use from several
// threads and instances.
class ConfigStore {
public:
    ConfigStore(KeyValueStore&, const Clock&);

    // The record, or nothing before the first proposal. Fails with Unsupported on a record of another schema version.
    Result<std::optional<config::ConfigRecord>> read();

    // Stores the next version with its audit entry in one write. Fails with
    //  - Conflict (NotRun) when the current version is not the expected one; the message names who changed it and when;
    //  - InvalidArgument when the declarations are out of range or the record would be too large for the store;
    //  - Unavailable when the store cannot be reached: NotRun when nothing was stored; MayHaveRun when that is unknown,
    //    and then a repetition with the same operation id settles it.
    // Declarations that equal the current ones succeed without a write, whatever version was expected.
    Result<ConfigAcceptance> propose(const ConfigProposal&);

    // Most audit entries inside the record, and how many of the oldest move to a page of their own when it is full.
    static constexpr std::size_t maximumEmbeddedEntries = 128;
    static constexpr std::size_t entriesInPage = 64;

    // The store's limit for one value, in bytes.
    static constexpr std::size_t maximumRecord = 1000000;

private:
    struct Stored {
        std::optional<config::ConfigRecord> record;
        Revision revision;
    };

    Result<Stored> readStored();
    Result<std::optional<ConfigAcceptance>> settledBefore(const ConfigProposal&, const Stored&) const;
    Result<config::ConfigRecord> nextRecord(const ConfigProposal&, const Stored&) const;
    Status spillOldest(const config::ConfigRecord& current);
    Result<ConfigAcceptance> write(const ConfigProposal&, const Stored&, const config::ConfigRecord& next);

    KeyValueStore& store_;
    const Clock& clock_;
};

// The part of a record that instances hold and exchange.
config::ConfigInForce configInForce(const config::ConfigRecord&);

// The record of stored bytes. Fails with Unsupported on another schema version.
Result<config::ConfigRecord> decodeConfigRecord(const std::string& bytes);

inline constexpr const char* configKey = "config/current";

} // namespace rosemarylink::state
