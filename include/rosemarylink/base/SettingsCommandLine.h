#pragma once

#include "rosemarylink/base/Ini.h"
#include "rosemarylink/base/Settings.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink {

// The parsed command line of a daemon.
struct SettingsCommandLine {
    std::optional<int> exitCode; // set when the process should exit now
    IniDocument document; // the settings file, or an empty document without one
    SettingOverrides overrides;
    bool checkOnly = false; // --check-settings: report and exit without starting
};

// Reads "--settings FILE", "--check-settings", "--help", "--version" and one flag "--section.key VALUE" for each
// setting. Help and errors are printed to the given streams.
SettingsCommandLine parseSettingsCommandLine(const std::vector<std::string>& arguments, const std::string& binary,
    const std::vector<SettingSpec>&, std::ostream& out, std::ostream& errors);

// Parses and checks the settings of a command line. Returns them, or sets exitCode to 2 after an error and to 0 after a
// successful --check-settings. findProblem checks what the schema cannot express, and returns an empty string when
// there is no problem.
template <typename Settings>
std::optional<Settings> loadSettings(SettingsCommandLine& commandLine,
    Result<Settings> (*parse)(const IniDocument&, const SettingOverrides&), std::string (*findProblem)(const Settings&),
    std::ostream& out, std::ostream& errors)
{
    if (commandLine.exitCode)
        return std::nullopt;
    auto settings = parse(commandLine.document, commandLine.overrides);
    const std::string problem = settings ? findProblem(settings.value()) : settings.error().message;
    if (!problem.empty()) {
        errors << problem << "\n";
        commandLine.exitCode = 2;
        return std::nullopt;
    }
    if (commandLine.checkOnly) {
        out << "the settings are valid\n";
        commandLine.exitCode = 0;
        return std::nullopt;
    }
    return std::move(settings).value();
}

} // namespace rosemarylink
