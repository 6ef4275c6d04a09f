#pragma once

#include "ApiFixture.h"
#include "TemporaryDirectory.h"

#include "rosemarylink/control/CommandLine.h"

#include <sstream>
#include <string>
#include <vector>

namespace rosemarylink::control {

struct CommandResult {
    int exitCode = -1;
    std::string output;
    std::string errors;
};

// Runs rosemarylinkctl in this process as operator omar, by default against the fixture's gateway.
struct CommandRunner {
    ApiFixture fixture;
    TemporaryDirectory directory;
    ManualClock clock; // advanced by the sleeps of --wait
    std::string gateways = fixture.address();
    std::string keyFile = directory.write("key", "omar-key\n");

    CommandResult operator()(std::vector<std::string> arguments)
    {
        for (const std::string& argument : { std::string("--gateway"), gateways, std::string("--key-file"), keyFile })
            arguments.push_back(argument);
        return runArguments(arguments);
    }

    // Runs the arguments without adding a gateway or a key.
    CommandResult runArguments(const std::vector<std::string>& arguments, const std::string& settingsFile = "")
    {
        std::ostringstream output;
        std::ostringstream errors;
        const CommandEnvironment environment { output, errors, clock,
            [this](Milliseconds duration) { clock.advance(duration); }, settingsFile };
        const int exitCode = runCommandLine(arguments, environment);
        return { exitCode, output.str(), errors.str() };
    }

    // Writes declarations to a new directory and returns its path.
    std::string declarations(const std::string& name, const model::Declarations& all) const
    {
        std::string path = directory.path() + "/" + name;
        REQUIRE(writeDeclarationDirectory(path, all, false));
        return path;
    }
};

// The sample declarations with another weight for account harbor.
inline model::Declarations withHarborWeight(double weight)
{
    model::Declarations all = sampleDeclarations();
    all.accounts[1].weight = weight;
    return all;
}

inline bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

} // namespace rosemarylink::control
