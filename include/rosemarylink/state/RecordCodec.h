#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>

namespace rosemarylink::state {

// Keys of the store.
std::string cellLeaseKey(const CellId&);
std::string cellPlacementsKey(const CellId&);
std::string jobPrefix(const CellId&);
std::string jobKey(const CellId&, const JobId&);

std::string encodeCbor(const nlohmann::json&);

// Decodes a stored value to a JSON object with a schemaVersion from 1 to `highestVersion`. Fails with Unsupported for
// another version, before any other key is read, and with InvalidArgument if the bytes are not a versioned CBOR object.
// `what` names the record in the error message.
Result<nlohmann::json> decodeCbor(const std::string& bytes, std::int64_t highestVersion, const std::string& what);

// The operation id in a stored value; empty if the bytes are not a record or have no operation id.
std::optional<OperationId> operationOf(const std::string& bytes);

template <typename Record> std::string encodeRecord(const Record& record) { return encodeCbor(toJson(record)); }

// Decodes one record of records.json with its parse function.
template <typename Record, typename Parse>
Result<Record> decodeRecord(const std::string& bytes, const std::string& what, Parse parse)
{
    BOOST_OUTCOME_TRY(json, decodeCbor(bytes, 1, what));
    return parse(json, what);
}

} // namespace rosemarylink::state
