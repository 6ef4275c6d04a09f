#include "RequestInput.h"

#include <Poco/NumberParser.h>

#include <algorithm>

namespace rosemarylink::control::internal {

namespace {

    // Disables POCO's thousands separator, with which commas in numbers would be skipped.
    constexpr char noSeparator = 0;

} // namespace

Result<nlohmann::json> readBody(const transport::HttpRequest& request)
{
    try {
        return nlohmann::json::parse(request.body);
    } catch (const nlohmann::json::parse_error& error) {
        return invalidArgument("the body is not JSON: byte " + std::to_string(error.byte)
            + " is wrong; it must be one JSON object of the shape in schema/api.json");
    }
}

Status checkQuery(const transport::HttpRequest& request, const std::vector<std::string>& known)
{
    for (const auto& [name, value] : request.query) {
        if (std::find(known.begin(), known.end(), name) != known.end())
            continue;
        std::string message = "unknown query parameter \"" + name + "\"";
        if (const auto nearest = nearestName(name, known))
            return invalidArgument(message + "; did you mean \"" + *nearest + "\"?");
        for (std::size_t index = 0; index < known.size(); ++index)
            message += (index == 0 ? "; allowed: " : ", ") + known[index];
        return invalidArgument(message + (known.empty() ? "; this path takes none" : ""));
    }
    return okStatus();
}

Result<std::optional<std::int64_t>> queryInteger(
    const transport::HttpRequest& request, const std::string& name, IntegerRange range)
{
    const auto position = request.query.find(name);
    if (position == request.query.end())
        return std::optional<std::int64_t>();
    Poco::Int64 number = 0;
    if (!Poco::NumberParser::tryParse64(position->second, number, noSeparator) || number < range.minimum
        || number > range.maximum) {
        return invalidArgument("query parameter \"" + name + "\" has the value \"" + position->second
            + "\"; it must be a whole number from " + std::to_string(range.minimum) + " to "
            + std::to_string(range.maximum));
    }
    return std::optional<std::int64_t>(number);
}

Result<bool> queryFlag(const transport::HttpRequest& request, const std::string& name)
{
    const std::string value = request.queryValue(name, "false");
    if (value != "true" && value != "false")
        return invalidArgument(
            "query parameter \"" + name + "\" has the value \"" + value + "\"; it must be true or false");
    return value == "true";
}

Status checkIdempotencyKey(const std::string& where, const std::string& key)
{
    constexpr std::size_t maximumLength = 128;
    const bool visible = std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c < '\x7f'; });
    if (!key.empty() && key.size() <= maximumLength && visible)
        return okStatus();
    return invalidArgument(where + " has " + std::to_string(key.size())
        + " characters; it must have 1 to 128 visible ASCII characters without spaces");
}

Result<ConfigVersion> parseVersion(const std::string& where, const std::string& text)
{
    Poco::Int64 number = 0;
    if (!Poco::NumberParser::tryParse64(text, number, noSeparator) || number < 0)
        return invalidArgument(
            where + " has the value \"" + text + "\"; it must be a configuration version, such as 12");
    return ConfigVersion(number);
}

Result<std::optional<ConfigVersion>> ifMatchVersion(const transport::HttpRequest& request)
{
    std::string text = request.header("If-Match");
    if (text.empty())
        return std::optional<ConfigVersion>();
    if (text.size() > 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    BOOST_OUTCOME_TRY(version, parseVersion("the header If-Match", text));
    return std::optional<ConfigVersion>(version);
}

} // namespace rosemarylink::control::internal
