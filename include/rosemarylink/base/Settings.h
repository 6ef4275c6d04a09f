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
    std::optional<std::string> defaultValue; // without one, the key is required unless it is optional
    std::string description;
    bool optional = false; // the key has no default and may be omitted
};

// Values given on the command line, by "section.key".
using SettingOverrides = std::map<std::string, std::string>;

// Checks a document against the specifications and returns a JSON object whose keys are "section.key" and whose values
// are typed, with defaults filled in. Each error names the file, section, key, value and the allowed values; the error
// for an unknown section or key suggests the most similar known one.
Result<nlohmann::json> resolveSettings(
    const IniDocument&, const std::vector<SettingSpec>&, const SettingOverrides& = {});

// Checks one section against the specifications of its keys, whose section names are ignored. The keys of the result,
// and of the overrides, are without the section.
Result<nlohmann::json> resolveSection(
    const std::string& file, const IniSection&, const std::vector<SettingSpec>&, const SettingOverrides& = {});

// Returns a Markdown table of the settings with their units, ranges and defaults.
std::string settingsTable(const std::vector<SettingSpec>&);

} // namespace rosemarylink
