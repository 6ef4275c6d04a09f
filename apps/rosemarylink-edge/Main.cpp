#include "EdgeProcess.h"

#include "rosemarylink/base/Log.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <unistd.h>

namespace {

namespace options = boost::program_options;

volatile std::sig_atomic_t terminationRequested = 0;
volatile std::sig_atomic_t reloadRequested = 0;

void onSignal(int number)
{
    if (number == SIGHUP)
        reloadRequested = 1;
    else
        terminationRequested = 1;
}

void handleSignals()
{
    struct sigaction action { };
    action.sa_handler = &onSignal;
    for (int number : { SIGTERM, SIGINT, SIGHUP })
        sigaction(number, &action, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

constexpr int exitUsage = 2;

// Callers ask for a job's state from time to time, for minutes after its end, and keep their connections meanwhile.
constexpr std::uint32_t defaultCallerIdleLimitSeconds = 600;

} // namespace

int main(int argc, char** argv)
{
    const char* const environmentPath = std::getenv("ROSEMARYLINK_SETTINGS");
    std::string path = environmentPath ? environmentPath : "/etc/rosemarylink/node.json";
    std::uint32_t callerIdleLimitSeconds = defaultCallerIdleLimitSeconds;
    options::options_description description(
        "rosemarylink-edge: serves callers and schedules jobs on the platform\n\nOptions");
    description.add_options()("help", "print this text")("version", "print the version")("settings",
        options::value(&path)->default_value(path),
        "the platform's settings file")("check-settings", "check the settings file and exit")("caller-idle-limit-s",
        options::value(&callerIdleLimitSeconds)->default_value(callerIdleLimitSeconds),
        "a caller's connection without a request in progress is closed after this many idle seconds; 0: never");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        options::notify(arguments);
    } catch (const options::error& problem) {
        std::cerr << problem.what() << "\n" << description;
        return exitUsage;
    }
    if (arguments.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    if (arguments.count("version") > 0) {
        std::cout << "rosemarylink-edge " << ROSEMARYLINK_VERSION << "\n";
        return 0;
    }
    const auto settings = rosemarylink::platform::loadPlatformSettings(path);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return exitUsage;
    }
    if (arguments.count("check-settings") > 0) {
        std::cout << path << ": the settings are valid\n";
        return 0;
    }
    handleSignals();
    rosemarylink::startLogging(argv[0], STDOUT_FILENO); // the platform collects standard output
    rosemarylink::EdgeProcess process(path, settings.value(), std::chrono::seconds(callerIdleLimitSeconds));
    if (const auto started = process.start(); !started) {
        rosemarylink::Logger("edge").error("Startup failed", { { "reason", started.error().message } });
        return 1;
    }
    process.run([&process] {
        if (reloadRequested) {
            reloadRequested = 0;
            process.reload();
        }
        if (terminationRequested) {
            terminationRequested = 0;
            process.beginShutdown();
        }
        rosemarylink::flushLog();
    });
    rosemarylink::flushLog();
    return 0;
}
