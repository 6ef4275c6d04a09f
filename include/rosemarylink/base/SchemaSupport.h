#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/Units.h"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

// Helpers of the code that tools/generate writes.
namespace rosemarylink::schema_support {

inline Error missingKey(const std::string& path, const std::string& key)
{
    return invalidArgument(path + " lacks the required key \"" + key + "\"");
}

// Puts a plain value into its strong type.
template <typename T, typename Plain> Result<T> wrap(Result<Plain> plain)
{
    if (!plain)
        return std::move(plain).error();
    return T(std::move(plain).value());
}

inline Result<Timestamp> wrapTimestamp(const Result<std::int64_t>& milliseconds)
{
    if (!milliseconds)
        return milliseconds.error();
    return timestampFromMilliseconds(milliseconds.value());
}

template <typename Container, typename Convert> nlohmann::json arrayToJson(const Container& elements, Convert convert)
{
    nlohmann::json json = nlohmann::json::array();
    for (const auto& element : elements)
        json.push_back(convert(element));
    return json;
}

template <typename Container, typename Convert> nlohmann::json mapToJson(const Container& entries, Convert convert)
{
    nlohmann::json json = nlohmann::json::object();
    for (const auto& [key, element] : entries)
        json[key] = convert(element);
    return json;
}

} // namespace rosemarylink::schema_support
