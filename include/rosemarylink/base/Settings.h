#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/Ini.h"

#include <nlohmann/json.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink {

enum class SettingType { String, Integer, Number, Boolean, StringList };

// One key of a settings file as the schema declares it.
struct SettingSpec {
    std::string section;
    std::string key;
    SettingType type = SettingType::String;
    std::string unit; // empty when the value has none
    std::optional<double> minimum;
    std::optional<double> maximum;
    std::vector<std::string> allowed; // for enumerations, else empty
    std::optional<std::string> defaultValue; // absent: the key must be given unless it is optional
    std::string description;
    bool optional = false; // without a default, and may be left out
};

// Values given on the command line, by "section.key".
using SettingOverrides = std::map<std::string, std::string>;

// Checks a document against the specifications and returns a JSON object whose keys are "section.key" and whose values
// are typed, with defaults filled in. Each error names the file, section, key, value and what is allowed; an unknown
// section or key comes with the nearest known one.
Result<nlohmann::json> resolveSettings(
    const IniDocument&, const std::vector<SettingSpec>&, const SettingOverrides& = {});

// Checks one section against the specifications of one kind of section; the result's keys are the plain keys.
Result<nlohmann::json> resolveSection(
    const std::string& file, const IniSection&, const std::vector<SettingSpec>&, const SettingOverrides& = {});

// A Markdown table of the settings with unit, range and default.
std::string settingsTable(const std::vector<SettingSpec>&);

} // namespace rosemarylink
