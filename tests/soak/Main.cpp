#include "Soak.h"

#include "rosemarylink/base/Log.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <filesystem>
#include <iostream>
#include <unistd.h>

namespace options = boost::program_options;

int main(int argc, char** argv)
{
    rosemarylink::soak::SoakOptions soak;
    int seconds = 12;
    options::options_description description(
        "rosemarylink-soak: injects faults into real processes and checks what callers and workers see\n\nOptions");
    description.add_options()("help", "print this text")(
        "edge", options::value(&soak.binary)->default_value("build/rosemarylink-edge"), "the program under test")(
        "seed", options::value(&soak.seed)->default_value(soak.seed), "of the sequence of faults and jobs")(
        "seconds", options::value(&seconds)->default_value(seconds), "how long faults are injected")(
        "instances", options::value(&soak.instances)->default_value(soak.instances), "processes of the program")(
        "workers", options::value(&soak.workers)->default_value(soak.workers), "workers of the stand-in")("directory",
        options::value(&soak.directory), "for settings and logs; it is kept when given, or when a promise is broken");
    options::variables_map arguments;
    try {
        options::store(options::parse_command_line(argc, argv, description), arguments);
        options::notify(arguments);
    } catch (const options::error& problem) {
        std::cerr << problem.what() << "\n" << description;
        return 2;
    }
    if (arguments.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    rosemarylink::startLogging(argv[0]);
    soak.faults = rosemarylink::Milliseconds(seconds * 1000);
    const bool keep = arguments.count("directory") > 0;
    if (!keep)
        soak.directory = std::filesystem::temp_directory_path() / ("rosemarylink-soak-" + std::to_string(::getpid()));
    std::filesystem::create_directories(soak.directory);
    std::vector<std::string> violations;
    std::string summary;
    {
        rosemarylink::soak::Soak run(soak);
        violations = run.run();
        summary = run.summary();
    }
    std::cout << "seed " << soak.seed << ": " << violations.size() << " broken promises; " << summary << "\n";
    for (const std::string& text : violations)
        std::cout << "  " << text << "\n";
    if (violations.empty() && !keep)
        std::filesystem::remove_all(soak.directory);
    else
        std::cout << "  settings and logs are in " << soak.directory << "\n";
    return violations.empty() ? 0 : 1;
}
