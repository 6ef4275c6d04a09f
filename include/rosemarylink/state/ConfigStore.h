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
    ConfigVersion expected; // the version that the change is based on; 0: there is no configuration yet
    model::Declarations declarations;
    OperatorId changedBy;
    std::string summary; // what changed, in a few words, for the audit trail
    // Identifies the change: a proposal that is retried with the same id is accepted at most once.
    OperationId operation = makeRandomId<OperationId>();
};

struct ConfigAcceptance {
    ConfigVersion version; // the version that the change made, or the current one when nothing differed
    bool changed = false; // false: the declarations equalled the current ones and nothing was written
    config::ConfigInForce current; // the stored configuration; newer than version when it has been changed since
};

// Reads and changes the configuration record in the store. A change is accepted once it is stored. Methods block on the
// store. Thread-safe; several instances may change the record concurrently.
class ConfigStore {
public:
    ConfigStore(KeyValueStore&, const Clock&);

    // Returns the record, or nullopt before the first proposal. Fails with Unsupported when the record has another
    // schema version.
    Result<std::optional<config::ConfigRecord>> read();

    // Stores the next version and its audit entry in one write. Fails with
    //  - Conflict (NotRun) when the current version is not the expected one; the message names who changed it and when;
    //  - InvalidArgument when the declarations are out of range or the record would be too large for the store;
    //  - Unavailable when the store cannot be reached: NotRun when nothing was stored; MayHaveRun when the outcome is
    //    unknown, in which case a retry with the same operation id determines it.
    // Declarations that equal the current ones are accepted without a write, whatever version was expected.
    Result<ConfigAcceptance> propose(const ConfigProposal&);

    // The maximum number of audit entries in the record, and the number of oldest entries that are moved to a separate
    // page once the maximum is reached.
    static constexpr std::size_t maximumEmbeddedEntries = 128;
    static constexpr std::size_t entriesInPage = 64;

    // The store's limit for one value, in bytes.
    static constexpr std::size_t maximumRecordSize = 1000000;

private:
    struct Stored {
        std::optional<config::ConfigRecord> record;
        Revision revision;
    };

    Result<Stored> readStored();
    Result<std::optional<ConfigAcceptance>> existingOutcome(const ConfigProposal&, const Stored&) const;
    Result<config::ConfigRecord> nextRecord(const ConfigProposal&, const Stored&) const;
    Status moveOldestToPage(const config::ConfigRecord& current);
    Result<ConfigAcceptance> write(const ConfigProposal&, const Stored&, const config::ConfigRecord& next);

    KeyValueStore& store_;
    const Clock& clock_;
};

// Returns the part of the record that instances keep in memory and exchange.
config::ConfigInForce configInForce(const config::ConfigRecord&);

// Decodes the stored CBOR bytes. Fails with Unsupported when the record has another schema version.
Result<config::ConfigRecord> decodeConfigRecord(const std::string& bytes);

inline constexpr const char* configKey = "config/current";

} // namespace rosemarylink::state
