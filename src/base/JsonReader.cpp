#include "rosemarylink/base/JsonReader.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace rosemarylink {

namespace {

    // Parse errors quote the input, which may be long.
    constexpr std::size_t maximumMessageLength = 160;

    // All whole numbers up to this one can be represented as a double.
    constexpr double largestExactWholeNumber = 9007199254740992; // 2^53

    // Returns whether the text has more than maximumJsonDepth brackets open at once, outside of strings.
    bool isNestedTooDeeply(const std::string& text)
    {
        std::size_t depth = 0;
        bool inString = false;
        for (std::size_t index = 0; index < text.size(); ++index) {
            const char character = text[index];
            if (inString) {
                index += character == '\\' ? 1 : 0; // skips the escaped character
                inString = character != '"';
            } else if (character == '"') {
                inString = true;
            } else if (character == '[' || character == '{') {
                if (++depth > maximumJsonDepth)
                    return true;
            } else if ((character == ']' || character == '}') && depth > 0) {
                --depth;
            }
        }
        return false;
    }

    std::size_t editDistance(const std::string& a, const std::string& b)
    {
        std::vector<std::size_t> row(b.size() + 1);
        std::iota(row.begin(), row.end(), 0);
        for (std::size_t i = 1; i <= a.size(); ++i) {
            std::size_t diagonal = row[0];
            row[0] = i;
            for (std::size_t j = 1; j <= b.size(); ++j) {
                const std::size_t substitution = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
                diagonal = row[j];
                row[j] = std::min({ row[j] + 1, row[j - 1] + 1, substitution });
            }
        }
        return row.back();
    }

    std::string rangeText(const std::string& minimum, const std::string& maximum)
    {
        return "from " + minimum + " to " + maximum;
    }

} // namespace

Result<nlohmann::json> parseJson(const std::string& text)
{
    if (isNestedTooDeeply(text)) {
        return invalidArgument("the JSON is nested more than " + std::to_string(maximumJsonDepth) + " levels deep");
    }
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception& problem) {
        return invalidArgument(std::string(problem.what()).substr(0, maximumMessageLength));
    }
}

std::optional<std::string> nearestName(const std::string& unknown, const std::vector<std::string>& known)
{
    std::optional<std::string> nearest;
    // A name that differs in more than two letters and more than a third of them is not a likely correction.
    std::size_t limit = std::max<std::size_t>(2, unknown.size() / 3) + 1;
    for (const std::string& name : known) {
        const std::size_t distance = editDistance(unknown, name);
        if (distance < limit) {
            limit = distance;
            nearest = name;
        }
    }
    return nearest;
}

Result<std::string> readString(const nlohmann::json& value, const std::string& path, LengthRange range)
{
    if (!value.is_string())
        return invalidArgument(path + " must be a string");
    auto text = value.get<std::string>();
    if (text.size() < range.minimum || text.size() > range.maximum) {
        return invalidArgument(path + " is \"" + text.substr(0, 64) + "\"; its length must be "
            + rangeText(std::to_string(range.minimum), std::to_string(range.maximum)) + " characters");
    }
    return text;
}

Result<std::int64_t> readInteger(const nlohmann::json& value, const std::string& path, IntegerRange range)
{
    const bool tooLarge = value.is_number_unsigned()
        && value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (!value.is_number_integer() || tooLarge)
        return invalidArgument(path + " must be a whole number");
    const auto number = value.get<std::int64_t>();
    if (number < range.minimum || number > range.maximum) {
        return invalidArgument(path + " is " + std::to_string(number) + "; it must be "
            + rangeText(std::to_string(range.minimum), std::to_string(range.maximum)));
    }
    return number;
}

Result<std::int64_t> readWholeNumber(const nlohmann::json& value, const std::string& path, IntegerRange range)
{
    if (!value.is_number_float())
        return readInteger(value, path, range);
    const auto number = value.get<double>();
    if (std::abs(number) > largestExactWholeNumber || std::trunc(number) != number)
        return invalidArgument(path + " must be a whole number");
    return readInteger(static_cast<std::int64_t>(number), path, range);
}

Result<double> readNumber(const nlohmann::json& value, const std::string& path, NumberRange range)
{
    if (!value.is_number())
        return invalidArgument(path + " must be a number");
    const auto number = value.get<double>();
    if (!(number >= range.minimum && number <= range.maximum)) {
        return invalidArgument(path + " is " + std::to_string(number) + "; it must be "
            + rangeText(std::to_string(range.minimum), std::to_string(range.maximum)));
    }
    return number;
}

Result<bool> readBoolean(const nlohmann::json& value, const std::string& path)
{
    if (!value.is_boolean())
        return invalidArgument(path + " must be true or false");
    return value.get<bool>();
}

Status checkObject(const nlohmann::json& value, const std::string& path, const std::vector<std::string>& knownKeys)
{
    if (!value.is_object())
        return invalidArgument(path + " must be an object");
    for (const auto& item : value.items()) {
        if (std::find(knownKeys.begin(), knownKeys.end(), item.key()) != knownKeys.end())
            continue;
        std::string message = path + " has the unknown key \"" + item.key() + "\"";
        if (const auto nearest = nearestName(item.key(), knownKeys))
            message += "; did you mean \"" + *nearest + "\"?";
        return invalidArgument(message);
    }
    return okStatus();
}

} // namespace rosemarylink
