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

// CBOR of a record's JSON.
std::string encodeCbor(const nlohmann::json&);

// The JSON of a stored value, checked to be an object with a schemaVersion from 1 to the highest that this process
// knows. Fails with Unsupported for another version, before any key is looked at, and with InvalidArgument for bytes
// that are no such record. What names the record in the error.
Result<nlohmann::json> decodeCbor(const std::string& bytes, std::int64_t highestVersion, const std::string& what);

// The operation id inside a stored value, or nothing when the bytes are no record or carry none.
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
