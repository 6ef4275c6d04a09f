#pragma once

#include "rosemarylink/base/Ini.h"
#include "rosemarylink/base/Settings.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink {

// What the command line of a daemon asks for.
struct SettingsCommandLine {
    std::optional<int> exitCode; // set when the process should end now
    IniDocument document; // the settings file, or an empty document without one
    SettingOverrides overrides;
    bool checkOnly = false; // --check-settings: report and end without starting
};

// Reads "--settings FILE", "--check-settings", "--help", "--version" and one flag "--section.key VALUE" for each
// setting. Help and errors are printed to the given streams.
SettingsCommandLine parseSettingsCommandLine(const std::vector<std::string>& arguments, const std::string& binary,
    const std::vector<SettingSpec>&, std::ostream& out, std::ostream& errors);

// Parses settings as the command line says: returns them, or sets exitCode after an error (2) or a check (0). The last
// check finds problems that the schema cannot express; it returns an empty text when there is none.
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
