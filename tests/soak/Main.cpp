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
    std::int64_t lease = soak.workerLease.count();
    std::int64_t registration = soak.registrationLife.count();
    options::options_description description("rosemarylink-soak: injects faults into real processes and checks the "
                                             "results for callers and workers\n\nOptions");
    description.add_options()("help", "print this text")(
        "edge", options::value(&soak.binary)->default_value("build/rosemarylink-edge"), "the program under test")(
        "seed", options::value(&soak.seed)->default_value(soak.seed), "seed of the sequence of faults and jobs")(
        "seconds", options::value(&seconds)->default_value(seconds), "duration of the fault injection")(
        "cuts-only", options::bool_switch(&soak.cutsOnly), "inject only cuts of workers and late answers")("cut-one-in",
        options::value(&soak.cutOneIn)->default_value(soak.cutOneIn), "one in so many workers is cut off at a time")(
        "with", options::value(&soak.with)->multitoken(), "with --cuts-only: names of faults to inject during cuts")(
        "instances", options::value(&soak.instances)->default_value(soak.instances),
        "number of processes of the program")("workers", options::value(&soak.workers)->default_value(soak.workers),
        "number of simulated workers")("lease-ms", options::value(&lease)->default_value(lease),
        "longest lease of a worker")("registration-ms", options::value(&registration)->default_value(registration),
        "life of a worker's registration after its last heartbeat")("directory", options::value(&soak.directory),
        "directory for settings and logs; kept if given, or after a violation");
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
    soak.workerLease = rosemarylink::Milliseconds(lease);
    soak.registrationLife = rosemarylink::Milliseconds(registration);
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
    std::cout << "seed " << soak.seed << ": " << violations.size() << " violations; " << summary << "\n";
    for (const std::string& text : violations)
        std::cout << "  " << text << "\n";
    if (violations.empty() && !keep)
        std::filesystem::remove_all(soak.directory);
    else
        std::cout << "  settings and logs are in " << soak.directory << "\n";
    return violations.empty() ? 0 : 1;
}
