#pragma once

#include "rosemarylink/base/Clock.h"

#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace rosemarylink::control {

// The exit codes of rosemarylinkctl.
enum class ExitCode {
    Ok = 0,
    Refused = 1, // a gateway answered and refused
    BadInput = 2, // arguments, settings or declarations are wrong; no gateway was asked to change anything
    Unreachable = 3, // no gateway could be reached
    Conflict = 4, // another operator's change came first
    TimedOut = 5, // no answer in time, or --wait ran out
};

// What a command may use of its surroundings.
struct CommandEnvironment {
    std::ostream& output; // results
    std::ostream& errors; // failures and progress
    const Clock& clock;
    std::function<void(Milliseconds)> sleep; // between the polls of --wait
    std::string settingsFile; // used when --settings is absent; empty: none
};

// Runs rosemarylinkctl with the arguments after the program's name and returns its exit code.
int runCommandLine(const std::vector<std::string>& arguments, const CommandEnvironment&);

// The page docs/operators/settings.md: the keys of all settings files and of the declarations.
std::string settingsPage();

} // namespace rosemarylink::control
