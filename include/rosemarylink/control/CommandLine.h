#pragma once

#include "rosemarylink/base/Clock.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace rosemarylink::control {

// The exit codes of rosemarylinkctl. Operators' scripts rely on them.
enum class ExitCode {
    Ok = 0,
    Refused = 1, // a gateway answered and refused
    BadInput = 2, // arguments, settings or declarations are wrong; no gateway was asked to change anything
    Unreachable = 3, // no gateway could be reached
    Conflict = 4, // another operator's change was stored first
    TimedOut = 5, // no answer within the time-out, or --wait-timeout expired
};

// The streams, clock and files that a command uses. Tests replace them.
struct CommandEnvironment {
    std::ostream& output; // results
    std::ostream& errors; // failures and progress
    const Clock& clock;
    std::function<void(Milliseconds)> sleep; // called between the polls of --wait
    std::string settingsFile; // used when --settings is absent; none if empty
};

// Runs rosemarylinkctl with the arguments after the program's name and returns its exit code.
int runCommandLine(const std::vector<std::string>& arguments, const CommandEnvironment&);

// Returns the Markdown text of docs/operators/settings.md, which lists the keys of all settings files and declarations.
std::string settingsPage();

} // namespace rosemarylink::control
