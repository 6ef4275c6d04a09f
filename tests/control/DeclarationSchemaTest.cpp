#include "CommandRunner.h"

#include "rosemarylink/generated/Ctl.h"
#include "rosemarylink/generated/Declarations.h"

#include <map>

namespace rosemarylink::control {
namespace {

    struct SectionCase {
        std::string header;
        const std::vector<SettingSpec>& specs;
        std::map<std::string, std::string> valid; // a value for each key
    };

    std::vector<SectionCase> sectionCases()
    {
        return {
            { "preset", declarations::presetSectionSpecs(), { { "name", "peak" } } },
            { "weights", declarations::weightsSectionSpecs(), { { "completion", "0.5" }, { "fragmentation", "0.5" } } },
            { "account depot", declarations::accountSectionSpecs(),
                { { "weight", "1" }, { "keySha256", depotHash1 }, { "requestConcurrency", "5" },
                    { "quotaAccelerators", "64" } } },
            { "guarantee depot/match", declarations::guaranteeSectionSpecs(),
                { { "region", "irbid" }, { "gangs", "1" }, { "tasks", "8" }, { "acceleratorsPerTask", "1" },
                    { "coresPerTask", "1" }, { "memoryPerTask", "1" }, { "adjacency", "rack" } } },
            { "worth match", declarations::worthSectionSpecs(), { { "worth", "2" } } },
        };
    }

    // Values that the specification does not allow.
    std::vector<std::string> wrongValues(const SettingSpec& spec)
    {
        if (!spec.allowed.empty())
            return { "other", "" };
        if (spec.type == SettingType::StringList)
            return { "not-a-hash" };
        if (spec.type == SettingType::String)
            return { "", "with space", std::string(65, 'x') };
        std::vector<std::string> values { "", "many", "1,5", "1 2" };
        if (spec.minimum)
            values.push_back(std::to_string(static_cast<std::int64_t>(*spec.minimum) - 1));
        if (spec.maximum)
            values.push_back(std::to_string(static_cast<std::int64_t>(*spec.maximum) + 1));
        if (spec.type == SettingType::Integer)
            values.emplace_back("1.5");
        return values;
    }

    // Returns all sections, one key per line, with one value replaced, and the line number of that value.
    std::pair<std::string, int> textWith(const std::string& header, const std::string& key, const std::string& value)
    {
        std::string text;
        int line = 0;
        int found = 0;
        for (const SectionCase& section : sectionCases()) {
            text += "[" + section.header + "]\n";
            ++line;
            for (const auto& [name, valid] : section.valid) {
                const bool replaced = section.header == header && name == key;
                text += name + " = " + (replaced ? value : valid) + "\n";
                ++line;
                if (replaced)
                    found = line;
            }
        }
        return { text, found };
    }

    TEST_CASE("the test's sections are valid and cover every key of the schema")
    {
        CHECK(parseDeclarationFiles({ { "all.ini", textWith("", "", "").first } }));
        for (const SectionCase& section : sectionCases())
            CHECK(section.specs.size() == section.valid.size());
    }

    // Guards against keys whose invalid values are accepted, or reported without location, value or allowed values.
    TEST_CASE("every key of the declarations refuses invalid values with location, value and allowed values")
    {
        for (const SectionCase& section : sectionCases()) {
            for (const SettingSpec& spec : section.specs) {
                for (const std::string& value : wrongValues(spec)) {
                    CAPTURE(section.header, spec.key, value);
                    const auto [text, line] = textWith(section.header, spec.key, value);
                    const auto result = parseDeclarationFiles({ { "all.ini", text } });
                    REQUIRE_FALSE(result);
                    const std::string& message = result.error().message;
                    CHECK(contains(message,
                        "all.ini:" + std::to_string(line) + ": [" + section.header + "] key \"" + spec.key + "\""));
                    CHECK(contains(message, "it must be "));
                    // An invalid hash may be a bearer key and is not printed.
                    CHECK(contains(message, "\"" + value + "\"") == (spec.type != SettingType::StringList));
                }
            }
        }
    }

    TEST_CASE("every number and choice in the settings of rosemarylinkctl refuses invalid values in file and flag")
    {
        CommandRunner run;
        int checked = 0;
        for (const SettingSpec& spec : ctl::ctlSettingsSpecs()) {
            if (spec.type == SettingType::StringList || (spec.type == SettingType::String && spec.allowed.empty()))
                continue; // validated only when they are used
            for (const std::string& value : wrongValues(spec)) {
                CAPTURE(spec.key, value);
                const std::string file
                    = run.directory.write("wrong.ini", "[" + spec.section + "]\n" + spec.key + " = " + value + "\n");
                const std::string problem
                    = "[" + spec.section + "] key \"" + spec.key + "\" has the value \"" + value + "\"; it must be ";
                const auto fromFile = run.runArguments({ "version", "--settings", file });
                CHECK(fromFile.exitCode == 2);
                CHECK(contains(fromFile.errors, "wrong.ini:2: " + problem));
                const auto fromFlag = run.runArguments({ "version", "--" + spec.key + "=" + value });
                CHECK(fromFlag.exitCode == 2);
                CHECK(contains(fromFlag.errors, value.empty() ? "--" + spec.key : "command line: " + problem));
                ++checked;
            }
        }
        CHECK(checked > 10);
    }

} // namespace
} // namespace rosemarylink::control
