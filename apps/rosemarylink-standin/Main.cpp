#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/SettingsCommandLine.h"
#include "rosemarylink/base/ShutdownSignal.h"
#include "rosemarylink/standin/StandInPlatform.h"

#include <fstream>
#include <iostream>

namespace {

using namespace rosemarylink;

// Renames a temporary file, so that scripts that wait for the port file never read it incomplete.
void writePortFile(const std::string& path, int port)
{
    if (path.empty())
        return;
    std::ofstream(path + ".new") << port << "\n";
    std::rename((path + ".new").c_str(), path.c_str());
}

std::string findProblem(const settings_standin::StandInSettings& settings)
{
    return settings.regions.empty() ? "[fleet] key \"regions\" must name at least one region" : "";
}

int run(const settings_standin::StandInSettings& settings)
{
    const Logger log("standin");
    ShutdownSignal shutdown;
    const SystemClock clock;
    standin::StandInPlatform platform(settings, clock);
    if (const auto started = platform.start(); !started) {
        log.error(started.error().message);
        return 1;
    }
    writePortFile(settings.portFile, platform.port());
    log.info("listening", { { "host", settings.host }, { "port", platform.port() }, { "workers", settings.workers } });
    while (!shutdown.waitFor(Milliseconds(1000))) { }
    log.info("stopping");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    startLogging(argv[0]);
    auto commandLine = parseSettingsCommandLine({ argv + 1, argv + argc }, "rosemarylink-standin",
        settings_standin::standInSettingsSpecs(), std::cout, std::cerr);
    const auto settings = loadSettings<settings_standin::StandInSettings>(
        commandLine, &settings_standin::parseStandInSettings, &findProblem, std::cout, std::cerr);
    if (!settings)
        return *commandLine.exitCode;
    return run(*settings);
}
