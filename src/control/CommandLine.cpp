#include "rosemarylink/control/CommandLine.h"

#include "rosemarylink/base/JsonReader.h"

#include "Command.h"

#include <Poco/Net/IPAddress.h>
#include <Poco/NumberParser.h>
#include <Poco/String.h>
#include <Poco/URI.h>

#include <fstream>
#include <sstream>

namespace rosemarylink::control {

namespace internal {

    namespace po = boost::program_options;

    namespace {

        constexpr int lineLength = 100;
        constexpr int parserStyle = po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;

        std::string joined(const std::vector<std::string>& words)
        {
            std::string text;
            for (const std::string& word : words)
                text += (text.empty() ? "" : " ") + word;
            return text;
        }

        std::string usageLine(const Command& command)
        {
            std::string line = joined(command.words);
            for (const CommandArgument& argument : command.arguments)
                line += " " + argument.name;
            return line;
        }

        void printHelp(std::ostream& out)
        {
            out << "usage: rosemarylinkctl COMMAND [ARGUMENTS] [OPTIONS]\n\ncommands:\n";
            for (const Command& command : allCommands()) {
                const std::string usage = usageLine(command);
                out << "  " << usage << std::string(usage.size() < 22 ? 22 - usage.size() : 1, ' ') << command.summary
                    << "\n";
            }
            out << "\nrosemarylinkctl COMMAND --help lists the options of a command.\n\n"
                << commonOptions()
                << "\nexit codes: 0 done; 1 refused by a gateway; 2 bad input; 3 no gateway can be reached;\n"
                   "            4 another operator's change came first; 5 timed out\n";
        }

        // Returns the command named by the first words, or null.
        const Command* findCommand(const std::vector<std::string>& arguments)
        {
            for (const Command& command : allCommands()) {
                if (arguments.size() >= command.words.size()
                    && std::equal(command.words.begin(), command.words.end(), arguments.begin()))
                    return &command;
            }
            return nullptr;
        }

        CommandFailure unknownCommand(const std::vector<std::string>& arguments)
        {
            if (arguments.empty())
                return badInput("a command is missing; rosemarylinkctl --help lists them");
            if (arguments[0].front() == '-')
                return badInput("\"" + arguments[0] + "\" comes before the command; options follow the command");
            std::vector<std::string> names;
            std::string group;
            for (const Command& command : allCommands()) {
                names.push_back(joined(command.words));
                if (command.words.size() == 2 && command.words[0] == arguments[0])
                    group += (group.empty() ? "" : ", ") + names.back();
            }
            const std::string given = arguments[0] + (group.empty() || arguments.size() < 2 ? "" : " " + arguments[1]);
            const std::string problem = "unknown command \"" + given + "\"";
            if (!group.empty())
                return badInput(problem + "; allowed: " + group);
            const auto nearest = nearestName(given, names);
            return badInput(problem
                + (nearest ? "; did you mean \"" + *nearest + "\"?" : "; rosemarylinkctl --help lists the commands"));
        }

        std::string optionProblem(const po::error& error, const po::options_description& options)
        {
            const auto* unknown = dynamic_cast<const po::unknown_option*>(&error);
            if (!unknown)
                return error.what();
            std::vector<std::string> names;
            for (const auto& option : options.options())
                names.push_back("--" + option->long_name());
            const auto nearest = nearestName(unknown->get_option_name(), names);
            return "unknown option \"" + unknown->get_option_name() + "\""
                + (nearest ? "; did you mean \"" + *nearest + "\"?" : "; --help lists the options");
        }

        struct ParsedArguments {
            po::variables_map options;
            std::vector<std::string> arguments;
        };

        Outcome<ParsedArguments> parseArguments(
            const Command& command, const std::vector<std::string>& all, const po::options_description& options)
        {
            po::options_description withArguments;
            withArguments.add(options).add_options()("arguments", po::value<std::vector<std::string>>());
            po::positional_options_description positional;
            positional.add("arguments", -1);
            ParsedArguments result;
            try {
                const std::vector<std::string> rest(
                    all.begin() + static_cast<std::ptrdiff_t>(command.words.size()), all.end());
                po::store(po::command_line_parser(rest)
                              .options(withArguments)
                              .positional(positional)
                              .style(parserStyle)
                              .run(),
                    result.options);
            } catch (const po::error& error) {
                return badInput(joined(command.words) + ": " + optionProblem(error, options));
            }
            if (result.options.count("arguments") > 0)
                result.arguments = result.options["arguments"].as<std::vector<std::string>>();
            if (result.options["help"].as<bool>() || result.arguments.size() == command.arguments.size())
                return result;
            return badInput(joined(command.words) + ": " + std::to_string(result.arguments.size())
                + " arguments are given; it must be used as: " + usageLine(command));
        }

        Outcome<ctl::CtlSettings> readSettings(const po::variables_map& options, const std::string& fallbackFile)
        {
            IniDocument document { "settings", {} };
            const std::string file
                = options.count("settings") > 0 ? options["settings"].as<std::string>() : fallbackFile;
            if (!file.empty()) {
                BOOST_OUTCOME_TRY(read, checkedInput(readIniFile(file)));
                document = read;
            }
            SettingOverrides overrides;
            for (const SettingSpec& spec : ctl::ctlSettingsSpecs()) {
                if (options.count(spec.key) > 0)
                    overrides[spec.section + "." + spec.key] = options[spec.key].as<std::string>();
            }
            return checkedInput(ctl::parseCtlSettings(document, overrides));
        }

        Outcome<void> checkGateways(const std::vector<std::string>& gateways)
        {
            if (gateways.empty()) {
                return badInput("no gateway is given; pass --gateway IP:PORT[,IP:PORT...], or set \"gateway\" in "
                                "section [client] of the settings file");
            }
            for (const std::string& gateway : gateways) {
                const auto colon = gateway.rfind(':');
                Poco::Net::IPAddress address;
                unsigned port = 0;
                if (colon == std::string::npos || !Poco::Net::IPAddress::tryParse(gateway.substr(0, colon), address)
                    || !Poco::NumberParser::tryParseUnsigned(gateway.substr(colon + 1), port, 0) || port == 0
                    || port > 65535) {
                    return badInput("[client] key \"gateway\" has the value \"" + gateway
                        + "\"; it must be IP:PORT, such as 127.0.0.1:8080");
                }
            }
            return boost::outcome_v2::success();
        }

        Outcome<std::string> readBearerKey(const std::optional<std::string>& file)
        {
            if (!file) {
                return badInput("no key is given; pass --key-file FILE, or set \"key-file\" in section [client] of the "
                                "settings file");
            }
            std::ifstream input(*file);
            std::ostringstream text;
            if (!input || !(text << input.rdbuf()) || Poco::trim(text.str()).empty()) {
                return badInput("[client] key \"key-file\" has the value \"" + *file
                    + "\"; it must be a readable file that holds the bearer key");
            }
            return Poco::trim(text.str());
        }

        Outcome<void> executeCommand(
            const Command& command, const ParsedArguments& given, const CommandEnvironment& environment)
        {
            BOOST_OUTCOME_TRY(settings, readSettings(given.options, environment.settingsFile));
            CommandContext context { environment, given.options, given.arguments, settings };
            if (!command.usesGateway)
                return command.run(context);
            BOOST_OUTCOME_TRYV(checkGateways(settings.gateway));
            BOOST_OUTCOME_TRY(key, readBearerKey(settings.keyFile));
            ControlClient client(settings.gateway, key, settings.timeout, environment.clock);
            context.client = &client;
            return command.run(context);
        }

        // Validates the settings file and flags without running a command: rosemarylinkctl --check-settings [--settings
        // FILE] ...
        Outcome<void> checkSettings(const std::vector<std::string>& arguments, const CommandEnvironment& environment)
        {
            const Command check { { "--check-settings" }, {}, "", false, nullptr, nullptr };
            BOOST_OUTCOME_TRY(given, parseArguments(check, arguments, commonOptions()));
            BOOST_OUTCOME_TRY(settings, readSettings(given.options, environment.settingsFile));
            if (!settings.gateway.empty()) {
                BOOST_OUTCOME_TRYV(checkGateways(settings.gateway));
            }
            environment.output << "the settings are valid\n";
            return boost::outcome_v2::success();
        }

        Outcome<void> runCommand(const std::vector<std::string>& arguments, const CommandEnvironment& environment)
        {
            if (!arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h")) {
                printHelp(environment.output);
                return boost::outcome_v2::success();
            }
            if (!arguments.empty() && arguments[0] == "--check-settings")
                return checkSettings(arguments, environment);
            const Command* command = findCommand(arguments);
            if (!command)
                return unknownCommand(arguments);
            po::options_description commandOptions("options", lineLength);
            if (command->addOptions)
                command->addOptions(commandOptions);
            po::options_description options;
            if (!commandOptions.options().empty())
                options.add(commandOptions);
            options.add(commonOptions());
            BOOST_OUTCOME_TRY(given, parseArguments(*command, arguments, options));
            if (given.options["help"].as<bool>()) {
                environment.output << "usage: rosemarylinkctl " << usageLine(*command) << " [OPTIONS]\n"
                                   << command->summary << "\n"
                                   << options;
                return boost::outcome_v2::success();
            }
            return executeCommand(*command, given, environment);
        }

        void printFailure(const CommandFailure& failure, std::ostream& errors)
        {
            errors << "rosemarylinkctl: " << failure.error.message << "\n";
            if (failure.error.verdict == Verdict::MayHaveRun)
                errors << "rosemarylinkctl: the request may have run; " << failure.retryAdvice << "\n";
            if (failure.error.retryAfter)
                errors << "rosemarylinkctl: retry after " << failure.error.retryAfter->count() << " ms\n";
        }

    } // namespace

    po::options_description commonOptions()
    {
        po::options_description options("common options", lineLength);
        options.add_options()("help,h", po::bool_switch(), "Print this text.");
        options.add_options()("settings", po::value<std::string>()->value_name("FILE"),
            "Settings file. Without it, the file named by ROSEMARYLINKCTL_SETTINGS is used, if any.");
        for (const SettingSpec& spec : ctl::ctlSettingsSpecs()) {
            std::string text = spec.description;
            if (!spec.unit.empty())
                text += " Unit: " + spec.unit + ".";
            if (spec.defaultValue && !spec.defaultValue->empty())
                text += " Default: " + *spec.defaultValue + ".";
            options.add_options()(spec.key.c_str(), po::value<std::string>()->value_name("VALUE"), text.c_str());
        }
        return options;
    }

    const std::vector<Command>& allCommands()
    {
        static const std::vector<Command> commands = [] {
            std::vector<Command> all;
            for (const auto& group : { configCommands(), viewCommands(), jobCommands(), toolCommands() })
                all.insert(all.end(), group.begin(), group.end());
            return all;
        }();
        return commands;
    }

    std::optional<std::string> CommandContext::text(const std::string& name) const
    {
        return options.count(name) > 0 ? std::optional<std::string>(options[name].as<std::string>()) : std::nullopt;
    }

    std::string urlEncoded(const std::string& text)
    {
        std::string encoded;
        Poco::URI::encode(text, "!#$&'()*+,/:;=?@[]", encoded);
        return encoded;
    }

    std::string queryString(
        const CommandContext& context, const std::vector<std::pair<std::string, std::string>>& parameters)
    {
        std::string query;
        for (const auto& [option, parameter] : parameters) {
            if (const auto value = context.text(option))
                query += (query.empty() ? "?" : "&") + parameter + "=" + urlEncoded(*value);
        }
        return query;
    }

} // namespace internal

int runCommandLine(const std::vector<std::string>& arguments, const CommandEnvironment& environment)
{
    const auto outcome = internal::runCommand(arguments, environment);
    if (outcome)
        return static_cast<int>(ExitCode::Ok);
    internal::printFailure(outcome.error(), environment.errors);
    return static_cast<int>(outcome.error().exitCode);
}

} // namespace rosemarylink::control
