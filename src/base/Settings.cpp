#include "rosemarylink/base/Settings.h"

#include "rosemarylink/base/JsonReader.h"

#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace rosemarylink {

namespace {

    std::string formatNumber(double number)
    {
        std::ostringstream out;
        out << number;
        if (std::floor(number) == number && std::abs(number) < 1e15)
            return std::to_string(static_cast<std::int64_t>(number));
        return out.str();
    }

    std::string join(const std::vector<std::string>& values)
    {
        std::string text;
        for (const std::string& value : values)
            text += (text.empty() ? "" : ", ") + value;
        return text;
    }

    std::string allowedText(const SettingSpec& spec)
    {
        if (!spec.allowed.empty())
            return "one of " + join(spec.allowed);
        std::string text;
        switch (spec.type) {
        case SettingType::Integer:
            text = "a whole number";
            break;
        case SettingType::Number:
            text = "a number";
            break;
        case SettingType::Boolean:
            return "true or false";
        case SettingType::String:
            return "a non-empty text";
        case SettingType::StringList:
            return "names separated by commas";
        }
        if (spec.minimum && spec.maximum)
            text += " from " + formatNumber(*spec.minimum) + " to " + formatNumber(*spec.maximum);
        else if (spec.minimum)
            text += " of at least " + formatNumber(*spec.minimum);
        if (!spec.unit.empty())
            text += " (" + spec.unit + ")";
        return text;
    }

    bool inRange(const SettingSpec& spec, double number)
    {
        return (!spec.minimum || number >= *spec.minimum) && (!spec.maximum || number <= *spec.maximum);
    }

    // POCO skips thousands separators without checking their positions, so "1,5" would be parsed as 15.
    bool hasThousandsSeparator(const std::string& text) { return text.find(',') != std::string::npos; }

    // Returns the typed value, or nothing when the text is not an allowed value.
    std::optional<nlohmann::json> convert(const SettingSpec& spec, const std::string& text)
    {
        if (!spec.allowed.empty() && std::find(spec.allowed.begin(), spec.allowed.end(), text) == spec.allowed.end())
            return std::nullopt;
        switch (spec.type) {
        case SettingType::String:
            return text.empty() && spec.defaultValue != "" ? std::nullopt : std::optional<nlohmann::json>(text);
        case SettingType::Boolean:
            if (text != "true" && text != "false")
                return std::nullopt;
            return nlohmann::json(text == "true");
        case SettingType::Integer: {
            Poco::Int64 number = 0;
            if (hasThousandsSeparator(text) || !Poco::NumberParser::tryParse64(text, number)
                || !inRange(spec, static_cast<double>(number)))
                return std::nullopt;
            return nlohmann::json(static_cast<std::int64_t>(number));
        }
        case SettingType::Number: {
            double number = 0;
            if (hasThousandsSeparator(text) || !Poco::NumberParser::tryParseFloat(text, number)
                || !std::isfinite(number) || !inRange(spec, number))
                return std::nullopt;
            return nlohmann::json(number);
        }
        case SettingType::StringList: {
            const Poco::StringTokenizer tokens(
                text, ",", Poco::StringTokenizer::TOK_TRIM | Poco::StringTokenizer::TOK_IGNORE_EMPTY);
            return nlohmann::json(std::vector<std::string>(tokens.begin(), tokens.end()));
        }
        }
        return std::nullopt;
    }

    std::string location(const std::string& file, const std::string& section, int line)
    {
        return file + (line > 0 ? ":" + std::to_string(line) : "") + ": [" + section + "]";
    }

    Error unknownName(const std::string& where, const std::string& what, const std::string& name,
        const std::vector<std::string>& known)
    {
        std::string message = where + " unknown " + what + " \"" + name + "\"";
        if (const auto nearest = nearestName(name, known))
            message += "; did you mean \"" + *nearest + "\"?";
        else
            message += "; allowed: " + join(known);
        return invalidArgument(message);
    }

    const IniEntry* findEntry(const IniSection& section, const std::string& key)
    {
        for (const IniEntry& entry : section.entries) {
            if (entry.key == key)
                return &entry;
        }
        return nullptr;
    }

} // namespace

Result<nlohmann::json> resolveSection(const std::string& file, const IniSection& section,
    const std::vector<SettingSpec>& specs, const SettingOverrides& overrides)
{
    std::vector<std::string> known;
    known.reserve(specs.size());
    for (const SettingSpec& spec : specs)
        known.push_back(spec.key);
    for (const IniEntry& entry : section.entries) {
        if (std::find(known.begin(), known.end(), entry.key) == known.end())
            return unknownName(location(file, section.name, entry.line), "key", entry.key, known);
    }
    nlohmann::json values = nlohmann::json::object();
    for (const SettingSpec& spec : specs) {
        const IniEntry* entry = findEntry(section, spec.key);
        const auto override = overrides.find(spec.key);
        std::string where = location(file, section.name, entry ? entry->line : section.line);
        std::optional<std::string> text = spec.defaultValue;
        if (entry)
            text = entry->value;
        if (override != overrides.end()) {
            text = override->second;
            where = "command line: [" + section.name + "]";
        }
        if (!text && spec.optional)
            continue;
        if (!text)
            return invalidArgument(where + " key \"" + spec.key + "\" is missing; it must be " + allowedText(spec));
        const auto value = convert(spec, *text);
        if (!value) {
            return invalidArgument(
                where + " key \"" + spec.key + "\" has the value \"" + *text + "\"; it must be " + allowedText(spec));
        }
        values[spec.key] = *value;
    }
    return values;
}

Result<nlohmann::json> resolveSettings(
    const IniDocument& document, const std::vector<SettingSpec>& specs, const SettingOverrides& overrides)
{
    std::vector<std::string> sectionNames;
    std::vector<std::string> names;
    for (const SettingSpec& spec : specs) {
        if (std::find(sectionNames.begin(), sectionNames.end(), spec.section) == sectionNames.end())
            sectionNames.push_back(spec.section);
        names.push_back(spec.section + "." + spec.key);
    }
    for (const IniSection& section : document.sections) {
        if (std::find(sectionNames.begin(), sectionNames.end(), section.name) == sectionNames.end()) {
            return unknownName(
                location(document.file, section.name, section.line), "section", section.name, sectionNames);
        }
    }
    for (const auto& [name, value] : overrides) {
        if (std::find(names.begin(), names.end(), name) == names.end())
            return unknownName("command line:", "setting", name, names);
    }
    nlohmann::json values = nlohmann::json::object();
    for (const std::string& sectionName : sectionNames) {
        IniSection section { sectionName, 0, {} };
        for (const IniSection& candidate : document.sections) {
            if (candidate.name == sectionName)
                section = candidate;
        }
        std::vector<SettingSpec> sectionSpecs;
        SettingOverrides sectionOverrides;
        for (const SettingSpec& spec : specs) {
            if (spec.section != sectionName)
                continue;
            sectionSpecs.push_back(spec);
            const auto override = overrides.find(sectionName + "." + spec.key);
            if (override != overrides.end())
                sectionOverrides[spec.key] = override->second;
        }
        BOOST_OUTCOME_TRY(resolved, resolveSection(document.file, section, sectionSpecs, sectionOverrides));
        for (const auto& [key, value] : resolved.items())
            values[sectionName + "." + key] = value;
    }
    return values;
}

namespace {

    std::string defaultText(const SettingSpec& spec)
    {
        if (!spec.defaultValue)
            return spec.optional ? "none" : "required";
        return spec.defaultValue->empty() ? "empty" : "`" + *spec.defaultValue + "`";
    }

} // namespace

std::string settingsTable(const std::vector<SettingSpec>& specs)
{
    std::string table
        = "| section | key | unit | allowed | default | meaning |\n| --- | --- | --- | --- | --- | --- |\n";
    for (const SettingSpec& spec : specs) {
        table += "| " + spec.section + " | `" + spec.key + "` | " + spec.unit + " | " + allowedText(spec) + " | "
            + defaultText(spec) + " | " + spec.description + " |\n";
    }
    return table;
}

} // namespace rosemarylink
