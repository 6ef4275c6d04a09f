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

// What a running command gets.
struct CommandContext {
    const CommandEnvironment& environment;
    const boost::program_options::variables_map& options;
    std::vector<std::string> arguments; // as many as the command declares
    ctl::CtlSettings settings;
    ControlClient* client = nullptr; // set for commands that use a gateway

    bool json() const { return settings.format == ctl::OutputFormat::Json; }
    std::ostream& out() const { return environment.output; }
    void printJson(const nlohmann::json& value) const { out() << value.dump() << "\n"; }

    bool flag(const std::string& name) const { return options.count(name) > 0 && options[name].as<bool>(); }

    // The option's text, or nothing when it is absent.
    std::optional<std::string> text(const std::string& name) const;
};

// One argument of a command.
struct CommandArgument {
    std::string name; // such as "DIR"
    std::vector<std::string> values; // for completion; empty: any
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

// All of the above in the order of the help text.
const std::vector<Command>& allCommands();

// The options that every command takes.
boost::program_options::options_description commonOptions();

// Parses an answer of a gateway with a generated parser; a misfit is a refusal, as the versions differ.
template <typename T> Outcome<T> parsed(Result<T> result)
{
    if (!result) {
        return failureOf(ExitCode::Refused,
            makeError(ErrorCode::Unsupported,
                "the gateway's answer has another shape: " + result.error().message
                    + "; use the rosemarylinkctl of the gateway's version"));
    }
    return std::move(result).value();
}

// "?name=value&..." of the options that were given, by option and parameter name.
std::string queryOf(const CommandContext&, const std::vector<std::pair<std::string, std::string>>& parameters);

// A text for use in a URL's path or query.
std::string urlEncoded(const std::string&);

} // namespace rosemarylink::control::internal
