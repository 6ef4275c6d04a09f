#include "rosemarylink/state/RecordCodec.h"

namespace rosemarylink::state {

std::string cellLeaseKey(const CellId& cell) { return "cells/" + cell.value() + "/lease"; }

std::string cellPlacementsKey(const CellId& cell) { return "cells/" + cell.value() + "/placements"; }

std::string jobPrefix(const CellId& cell) { return "jobs/" + cell.value() + "/"; }

std::string jobKey(const CellId& cell, const JobId& job) { return jobPrefix(cell) + job.value(); }

std::string encodeCbor(const nlohmann::json& json)
{
    std::string bytes;
    nlohmann::json::to_cbor(json, bytes);
    return bytes;
}

Result<nlohmann::json> decodeCbor(const std::string& bytes, std::int64_t highestVersion, const std::string& what)
{
    auto json = nlohmann::json::from_cbor(bytes, true, false);
    if (json.is_discarded() || !json.is_object())
        return invalidArgument(what + " is not a CBOR object");
    const auto version = json.find("schemaVersion");
    if (version == json.end() || !version->is_number_integer())
        return invalidArgument(what + " has no schemaVersion");
    const auto number = version->get<std::int64_t>();
    if (number < 1 || number > highestVersion) {
        return makeError(ErrorCode::Unsupported,
            what + " has the schemaVersion " + std::to_string(number) + "; this process knows 1 to "
                + std::to_string(highestVersion));
    }
    return json;
}

std::optional<OperationId> operationOf(const std::string& bytes)
{
    const auto json = nlohmann::json::from_cbor(bytes, true, false);
    if (json.is_discarded() || !json.is_object())
        return std::nullopt;
    const auto operation = json.find("operation");
    if (operation == json.end() || !operation->is_string())
        return std::nullopt;
    return OperationId(operation->get<std::string>());
}

} // namespace rosemarylink::state
