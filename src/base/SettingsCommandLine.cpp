#include "rosemarylink/base/SettingsCommandLine.h"

#include <boost/program_options.hpp>

#include <ostream>

namespace rosemarylink {

namespace options = boost::program_options;

namespace {

    options::options_description describeOptions(const std::vector<SettingSpec>& specs)
    {
        options::options_description description("Options");
        auto add = description.add_options();
        add("help", "print this help");
        add("version", "print the version");
        add("settings", options::value<std::string>(), "INI file with the settings");
        add("check-settings", "check the settings and exit");
        for (const SettingSpec& spec : specs) {
            const std::string unit = spec.unit.empty() ? "" : " (" + spec.unit + ")";
            add((spec.section + "." + spec.key).c_str(), options::value<std::string>(),
                (spec.description + unit).c_str());
        }
        return description;
    }

} // namespace

SettingsCommandLine parseSettingsCommandLine(const std::vector<std::string>& arguments, const std::string& binary,
    const std::vector<SettingSpec>& specs, std::ostream& out, std::ostream& errors)
{
    SettingsCommandLine commandLine;
    const options::options_description description = describeOptions(specs);
    options::variables_map values;
    try {
        // With guessing, an abbreviated flag would be taken for a longer one instead of being an error.
        const auto style = options::command_line_style::unix_style & ~options::command_line_style::allow_guessing;
        options::store(options::command_line_parser(arguments).options(description).style(style).run(), values);
    } catch (const options::error& error) {
        errors << binary << ": " << error.what() << "; --help lists the options\n";
        commandLine.exitCode = 2;
        return commandLine;
    }
    if (values.count("help") > 0) {
        out << "usage: " << binary << " [options]\n" << description;
        commandLine.exitCode = 0;
        return commandLine;
    }
    if (values.count("version") > 0) {
        out << binary << " " << ROSEMARYLINK_VERSION << "\n";
        commandLine.exitCode = 0;
        return commandLine;
    }
    if (values.count("settings") > 0) {
        auto document = readIniFile(values["settings"].as<std::string>());
        if (!document) {
            errors << document.error().message << "\n";
            commandLine.exitCode = 2;
            return commandLine;
        }
        commandLine.document = std::move(document).value();
    }
    commandLine.checkOnly = values.count("check-settings") > 0;
    for (const SettingSpec& spec : specs) {
        const std::string name = spec.section + "." + spec.key;
        if (values.count(name) > 0)
            commandLine.overrides[name] = values[name].as<std::string>();
    }
    return commandLine;
}

} // namespace rosemarylink
