#pragma once

#include "rosemarylink/base/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylink {

// Limit on the nesting of arrays and objects in JSON from other processes. Copying or serializing a JSON value recurses
// into it, so that a deeper one could exhaust the stack.
constexpr std::size_t maximumJsonDepth = 32;

// Parses JSON that may come from any writer. Fails with InvalidArgument for malformed text and, before a value is
// built, for text that is nested more deeply than maximumJsonDepth. The message is short enough for a log.
Result<nlohmann::json> parseJson(const std::string& text);

// The range of allowed values of an integer in a schema, both ends included.
struct IntegerRange {
    std::int64_t minimum = std::numeric_limits<std::int64_t>::min();
    std::int64_t maximum = std::numeric_limits<std::int64_t>::max();
};

// The same for any number.
struct NumberRange {
    double minimum = std::numeric_limits<double>::lowest();
    double maximum = std::numeric_limits<double>::max();
};

// The range of allowed lengths of a string in bytes, or of an array in elements, both ends included.
struct LengthRange {
    std::size_t minimum = 0;
    std::size_t maximum = std::numeric_limits<std::size_t>::max();
};

// Checked conversions from JSON values. They fail with InvalidArgument; path identifies the value in the message, such
// as "Job.tasks".
Result<std::string> readString(const nlohmann::json&, const std::string& path, LengthRange = {});
Result<std::int64_t> readInteger(const nlohmann::json&, const std::string& path, IntegerRange = {});

// Like readInteger, but also accepts a floating-point number without a fraction, which is how some writers represent
// whole numbers.
Result<std::int64_t> readWholeNumber(const nlohmann::json&, const std::string& path, IntegerRange = {});

Result<double> readNumber(const nlohmann::json&, const std::string& path, NumberRange = {});
Result<bool> readBoolean(const nlohmann::json&, const std::string& path);

// Fails unless the value is an object whose keys are all known. The message suggests the most similar known key.
Status checkObject(const nlohmann::json&, const std::string& path, const std::vector<std::string>& knownKeys);

// Returns the known name with the smallest edit distance to an unknown one, or nothing when none is similar.
std::optional<std::string> nearestName(const std::string& unknown, const std::vector<std::string>& known);

// Reads an array. Read converts one element: Result<T> read(const nlohmann::json&, const std::string& path).
template <typename T, typename Read>
Result<std::vector<T>> readArray(const nlohmann::json& value, const std::string& path, LengthRange range, Read read)
{
    if (!value.is_array())
        return invalidArgument(path + " must be an array");
    if (value.size() < range.minimum || value.size() > range.maximum)
        return invalidArgument(path + " has " + std::to_string(value.size()) + " elements, which is out of range");
    std::vector<T> elements;
    elements.reserve(value.size());
    for (std::size_t index = 0; index < value.size(); ++index) {
        BOOST_OUTCOME_TRY(element, read(value[index], path + "[" + std::to_string(index) + "]"));
        elements.push_back(std::move(element));
    }
    return elements;
}

// Reads an object with arbitrary keys. Read converts one value, as in readArray.
template <typename T, typename Read>
Result<std::map<std::string, T>> readMap(const nlohmann::json& value, const std::string& path, Read read)
{
    if (!value.is_object())
        return invalidArgument(path + " must be an object");
    std::map<std::string, T> entries;
    for (const auto& [key, entryValue] : value.items()) {
        BOOST_OUTCOME_TRY(entry, read(entryValue, path + "." + key));
        entries.emplace(key, std::move(entry));
    }
    return entries;
}

} // namespace rosemarylink
