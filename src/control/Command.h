#pragma once

#include "rosemarylink/control/CommandLine.h"
#include "rosemarylink/generated/Api.h"
#include "rosemarylink/generated/Ctl.h"

#include "CommandOutcome.h"
#include "ControlClient.h"
#include "TextTable.h"

#include <boost/program_options.hpp>

#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::control::internal {

// The input of a running command.
struct CommandContext {
    const CommandEnvironment& environment;
    const boost::program_options::variables_map& options;
    std::vector<std::string> arguments; // one for each declared argument
    ctl::CtlSettings settings;
    ControlClient* client = nullptr; // null unless the command uses a gateway

    bool json() const { return settings.format == ctl::OutputFormat::Json; }
    std::ostream& out() const { return environment.output; }
    void printJson(const nlohmann::json& value) const { out() << value.dump() << "\n"; }

    bool flag(const std::string& name) const { return options.count(name) > 0 && options[name].as<bool>(); }

    // The option's value, or nothing when it is absent.
    std::optional<std::string> text(const std::string& name) const;
};

// One argument of a command.
struct CommandArgument {
    std::string name; // such as "DIR"
    std::vector<std::string> values; // allowed values, for completion; any value if empty
};

struct Command {
    std::vector<std::string> words; // one or two, such as "job", "submit"
    std::vector<CommandArgument> arguments; // all required
    std::string summary;
    bool usesGateway = true;
    void (*addOptions)(boost::program_options::options_description&) = nullptr;
    Outcome<void> (*run)(CommandContext&) = nullptr;
};

std::vector<Command> configCommands(); // check, diff, apply, export, preset
std::vector<Command> viewCommands(); // status, account, worker, audit
std::vector<Command> jobCommands();
std::vector<Command> toolCommands(); // version, completion, settings

// All commands in the order of the help text.
const std::vector<Command>& allCommands();

// The options that all commands accept.
boost::program_options::options_description commonOptions();

// Converts the result of parsing a gateway's answer. A parse error means that the gateway runs another version.
template <typename T> Outcome<T> checkedAnswer(Result<T> result)
{
    if (!result) {
        return makeFailure(ExitCode::Refused,
            makeError(ErrorCode::Unsupported,
                "the gateway's answer does not match the schema: " + result.error().message
                    + "; use the rosemarylinkctl of the gateway's version"));
    }
    return std::move(result).value();
}

// Formats the options that are present as "?name=value&...". Each pair holds an option and its query parameter.
std::string queryString(const CommandContext&, const std::vector<std::pair<std::string, std::string>>& parameters);

// Percent-encodes a text for the path or query of a URL.
std::string urlEncoded(const std::string&);

} // namespace rosemarylink::control::internal
