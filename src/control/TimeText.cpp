#include "rosemarylink/control/TimeText.h"

#include <Poco/DateTimeFormatter.h>
#include <Poco/DateTimeParser.h>
#include <Poco/NumberParser.h>
#include <Poco/Timestamp.h>

#include <array>
#include <utility>

namespace rosemarylink::control {

std::string formatTime(Timestamp time)
{
    return Poco::DateTimeFormatter::format(Poco::Timestamp(toMilliseconds(time) * 1000), "%Y-%m-%dT%H:%M:%SZ");
}

Result<Timestamp> parseTime(const std::string& text)
{
    Poco::DateTime time;
    int offset = 0;
    for (const char* form : { "%Y-%m-%dT%H:%M:%SZ", "%Y-%m-%d" }) {
        if (Poco::DateTimeParser::tryParse(form, text, time, offset)
            && Poco::DateTimeFormatter::format(time, form) == text)
            return timestampFromMilliseconds(time.timestamp().epochMicroseconds() / 1000);
    }
    return invalidArgument(
        "the time \"" + text + "\" is malformed; it must look like 2026-12-04T07:54:00Z or 2026-12-04");
}

std::string formatDuration(Milliseconds duration)
{
    const std::int64_t count = duration.count();
    if (count < 10000)
        return std::to_string(count) + " ms";
    if (count < 600000)
        return std::to_string(count / 1000) + " s";
    if (count < 36000000)
        return std::to_string(count / 60000) + " min";
    return std::to_string(count / 3600000) + " h";
}

Result<Milliseconds> parseDuration(const std::string& text)
{
    static const std::array<std::pair<const char*, std::int64_t>, 5> units { {
        { "ms", 1 },
        { "s", 1000 },
        { "min", 60000 },
        { "h", 3600000 },
        { "d", 86400000 },
    } };
    const auto end = text.find_first_not_of("0123456789");
    Poco::UInt64 count = 0;
    if (end != std::string::npos && Poco::NumberParser::tryParseUnsigned64(text.substr(0, end), count)
        && count <= 31536000000) {
        for (const auto& [name, factor] : units) {
            if (text.substr(end) == name)
                return Milliseconds(static_cast<std::int64_t>(count) * factor);
        }
    }
    return invalidArgument("the duration \"" + text + "\" is malformed; it must look like 250ms, 30s, 5min, 2h or 7d");
}

} // namespace rosemarylink::control
