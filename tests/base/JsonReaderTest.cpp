#include "rosemarylink/base/JsonReader.h"

#include <catch2/catch.hpp>

#include <string>

namespace rosemarylink {

// Guards against nested input that exhausts the stack of the process, and against a limit that counts brackets in texts
// or that an escaped quotation mark evades.
TEST_CASE("nesting of foreign JSON is limited outside of strings only")
{
    const auto nested = [](std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); };
    CHECK(parseJson(nested(maximumJsonDepth)).has_value());
    CHECK_FALSE(parseJson(nested(maximumJsonDepth + 1)).has_value());
    CHECK_FALSE(parseJson(R"(["\"",)" + nested(maximumJsonDepth) + "]").has_value());
    CHECK(parseJson("[\"" + std::string(1000, '[') + "\"]").has_value());
    CHECK(parseJson(R"(["\\",")" + std::string(1000, '{') + "\"]").has_value());
    CHECK(parseJson("[" + std::string(1000, ' ') + "[],[],[]]").has_value());
    for (const std::string& text : { std::string(), std::string("\""), std::string("[\"\\"), std::string(10000, ']'),
             std::string("[1e400]"), std::string("\xff"), "\"" + std::string(100000, 'x') }) {
        const auto parsed = parseJson(text);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().message.size() < 200);
    }
}

// Guards against numbers whose conversion to an integer is undefined, and against refusing 8.0 from a writer that does
// not distinguish it from 8.
TEST_CASE("whole numbers are accepted in both representations and others are not")
{
    for (const char* const text : { "8", "8.0", "0.8e1" })
        CHECK(readWholeNumber(nlohmann::json::parse(text), "n").value() == 8);
    for (const char* const text :
        { "8.5", "1e300", "-1e300", "9223372036854775808", "18446744073709551615", "null", "\"8\"", "true", "[8]" })
        CHECK_FALSE(readWholeNumber(nlohmann::json::parse(text), "n").has_value());
    CHECK_FALSE(readWholeNumber(-1, "n", { 0, 10 }).has_value());
    CHECK_FALSE(readWholeNumber(11.0, "n", { 0, 10 }).has_value());
}

} // namespace rosemarylink
