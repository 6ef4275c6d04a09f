#include "rosemarylink/base/Log.h"
#include "rosemarylink/control/CommandLine.h"

#include <cstdlib>
#include <iostream>
#include <thread>

int main(int argc, char** argv)
{
    rosemarylink::startLogging(argv[0]);
    const rosemarylink::SystemClock clock;
    const char* settingsFile = std::getenv("ROSEMARYLINKCTL_SETTINGS");
    const rosemarylink::control::CommandEnvironment environment { std::cout, std::cerr, clock,
        [](rosemarylink::Milliseconds duration) { std::this_thread::sleep_for(duration); },
        settingsFile ? settingsFile : "" };
    return rosemarylink::control::runCommandLine({ argv + 1, argv + argc }, environment);
}
