#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/SettingsCommandLine.h"
#include "rosemarylink/base/ShutdownSignal.h"
#include "rosemarylink/process/GatewayProcess.h"

#include <glog/logging.h>

#include <iostream>

namespace {

using namespace rosemarylink;

// Checks what the schema cannot express: conditions on several keys or on other parts of the program. Returns the
// problem, or an empty string when there is none.
std::string findProblem(const settings_gateway::GatewaySettings& settings)
{
    if (const auto peers = node::parsePeers(settings.peers); !peers)
        return peers.error().message;
    if (const auto keys = control::parseOperatorKeys(settings.keys); !keys)
        return "[operators] key \"keys\": " + keys.error().message;
    return "";
}

} // namespace

int main(int argc, char** argv)
{
    startLogging(argv[0]);
    auto commandLine = parseSettingsCommandLine({ argv + 1, argv + argc }, "rosemarylink-gateway",
        settings_gateway::gatewaySettingsSpecs(), std::cout, std::cerr);
    const auto settings = loadSettings<settings_gateway::GatewaySettings>(
        commandLine, &settings_gateway::parseGatewaySettings, &findProblem, std::cout, std::cerr);
    if (!settings)
        return *commandLine.exitCode;
    FLAGS_minloglevel = static_cast<int>(settings->level);
    ShutdownSignal shutdown;
    process::GatewayProcess process(*settings, control::parseOperatorKeys(settings->keys).value());
    if (const auto started = process.start(); !started) {
        Logger("gateway").error(started.error().message);
        return 1;
    }
    while (!shutdown.waitFor(Milliseconds(1000))) { }
    return process.shutDown() ? 0 : 1;
}
