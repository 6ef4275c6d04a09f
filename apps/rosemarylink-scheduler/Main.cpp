#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/SettingsCommandLine.h"
#include "rosemarylink/base/ShutdownSignal.h"
#include "rosemarylink/generated/SettingsScheduler.h"
#include "rosemarylink/policy/SchedulingPolicy.h"
#include "rosemarylink/process/SchedulerProcess.h"

#include <glog/logging.h>

#include <iostream>

namespace {

using namespace rosemarylink;

// Checks what the schema cannot express: conditions on several keys or on other parts of the program. Returns the
// problem, or an empty string when there is none.
std::string findProblem(const settings_scheduler::SchedulerSettings& settings)
{
    if (const auto peers = node::parsePeers(settings.peers); !peers)
        return peers.error().message;
    if (const auto policy = policy::makePolicy(settings.policy); !policy)
        return "[cells] key \"policy\": " + policy.error().message;
    return "";
}

} // namespace

int main(int argc, char** argv)
{
    startLogging(argv[0]);
    auto commandLine = parseSettingsCommandLine({ argv + 1, argv + argc }, "rosemarylink-scheduler",
        settings_scheduler::schedulerSettingsSpecs(), std::cout, std::cerr);
    const auto settings = loadSettings<settings_scheduler::SchedulerSettings>(
        commandLine, &settings_scheduler::parseSchedulerSettings, &findProblem, std::cout, std::cerr);
    if (!settings)
        return *commandLine.exitCode;
    FLAGS_minloglevel = static_cast<int>(settings->level);
    ShutdownSignal shutdown;
    process::SchedulerProcess process(*settings);
    if (const auto started = process.start(); !started) {
        Logger("scheduler").error(started.error().message);
        return 1;
    }
    while (!shutdown.waitFor(Milliseconds(1000))) { }
    return process.shutDown() ? 0 : 1;
}
