#include "rosemarylink/base/Settings.h"

#include <catch2/catch.hpp>

namespace rosemarylink {
namespace {

    std::vector<SettingSpec> exampleSpecs()
    {
        return {
            { "listen", "address", SettingType::String, "", std::nullopt, std::nullopt, {}, std::nullopt, "Address." },
            { "listen", "port", SettingType::Integer, "", 0.0, 65535.0, {}, "8080", "Port." },
            { "limits", "queue-length", SettingType::Integer, "requests", 1.0, 1000.0, {}, "100", "Queue." },
        };
    }

    std::string failureOf(const std::string& text, const SettingOverrides& overrides = {})
    {
        const auto document = parseIni(text, "gateway.ini");
        if (!document)
            return document.error().message;
        const auto values = resolveSettings(document.value(), exampleSpecs(), overrides);
        return values ? "" : values.error().message;
    }

    TEST_CASE("defaults and overrides are applied to a settings document")
    {
        const auto document = parseIni("[listen]\naddress = 127.0.0.1\n", "gateway.ini").value();
        const auto values = resolveSettings(document, exampleSpecs(), { { "limits.queue-length", "7" } }).value();
        CHECK(values["listen.address"] == "127.0.0.1");
        CHECK(values["listen.port"] == 8080);
        CHECK(values["limits.queue-length"] == 7);
    }

    TEST_CASE("invalid settings are refused with the file, section, key, value and allowed values")
    {
        CHECK(failureOf("[listen]\naddress = a\nport = 70000\n")
            == "gateway.ini:3: [listen] key \"port\" has the value \"70000\"; it must be a whole number from 0 to "
               "65535");
        CHECK(failureOf("[listen]\nport = 1\n")
            == "gateway.ini:1: [listen] key \"address\" is missing; it must be a non-empty text");
        CHECK(failureOf("[listen]\nadress = a\n")
            == "gateway.ini:2: [listen] unknown key \"adress\"; did you mean \"address\"?");
        CHECK(failureOf("[limit]\n") == "gateway.ini:1: [limit] unknown section \"limit\"; did you mean \"limits\"?");
        CHECK(failureOf("[listen]\naddress = a\naddress = b\n")
            == "gateway.ini:3: key \"address\" appears twice in section [listen]; the first is on line 2");
        CHECK(failureOf("[listen]\naddress = a\n", { { "listen.prot", "1" } })
            == "command line: unknown setting \"listen.prot\"; did you mean \"listen.port\"?");
    }

    // POCO's parsers skip thousands separators, so a weight of 1,5, with a decimal comma, was parsed as 15.
    TEST_CASE("numbers with commas are refused")
    {
        CHECK(failureOf("[listen]\naddress = a\nport = 8,080\n")
            == "gateway.ini:3: [listen] key \"port\" has the value \"8,080\"; it must be a whole number from 0 to "
               "65535");
        const IniSection section { "weights", 1, { { "completion", "1,5", 2 } } };
        const auto number = resolveSection(
            "d.ini", section, { { "weights", "completion", SettingType::Number, "", 0.0, 100.0, {}, "1", "Weight." } });
        REQUIRE_FALSE(number);
        CHECK(number.error().message
            == "d.ini:2: [weights] key \"completion\" has the value \"1,5\"; it must be a number from 0 to 100");
    }

    TEST_CASE("an optional key may be omitted, and is checked when given")
    {
        const std::vector<SettingSpec> specs {
            { "a", "quota", SettingType::Integer, "", 0.0, 9.0, {}, std::nullopt, "Quota.", true },
        };
        CHECK(resolveSection("d.ini", { "a", 1, {} }, specs).value().empty());
        CHECK(resolveSection("d.ini", { "a", 1, { { "quota", "5", 2 } } }, specs).value()["quota"] == 5);
        CHECK_FALSE(resolveSection("d.ini", { "a", 1, { { "quota", "10", 2 } } }, specs));
        CHECK(settingsTable(specs).find("| none | Quota. |") != std::string::npos);
    }

} // namespace
} // namespace rosemarylink
