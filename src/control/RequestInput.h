#pragma once

#include "rosemarylink/base/JsonReader.h"
#include "rosemarylink/transport/HttpServer.h"

#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::control::internal {

// Parses the body as JSON. The error names the malformed byte.
Result<nlohmann::json> readBody(const transport::HttpRequest&);

// Fails on an unknown query parameter; the error names the nearest known one.
Status checkQuery(const transport::HttpRequest&, const std::vector<std::string>& known);

// A whole number in the query, or nothing when the parameter is absent.
Result<std::optional<std::int64_t>> queryInteger(const transport::HttpRequest&, const std::string& name, IntegerRange);

// A boolean in the query; false when the parameter is absent.
Result<bool> queryFlag(const transport::HttpRequest&, const std::string& name);

// An id in the query, or nothing when the parameter is absent.
template <typename Id> std::optional<Id> queryId(const transport::HttpRequest& request, const std::string& name)
{
    const std::string value = request.queryValue(name);
    return value.empty() ? std::nullopt : std::optional<Id>(Id(value));
}

// The version in the header If-Match, quoted or not, or nothing when the header is absent.
Result<std::optional<ConfigVersion>> ifMatchVersion(const transport::HttpRequest&);

// Fails unless the key has 1 to 128 visible ASCII characters, which are safe in headers. The error names `where`, the
// source of the key.
Status checkIdempotencyKey(const std::string& where, const std::string& key);

// Parses a version from a decimal number. The error names `where`, the source of the text.
Result<ConfigVersion> parseVersion(const std::string& where, const std::string& text);

} // namespace rosemarylink::control::internal
