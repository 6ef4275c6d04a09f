#include "Commands.h"

#include "rosemarylink/base/Log.h"

#include <iostream>

namespace {

constexpr const char* usage = "usage: rosemarylink-bench policy|state|requests [options]\n"
                              "       rosemarylink-bench COMMAND --help lists the options of a command\n";

} // namespace

int main(int argc, char** argv)
{
    rosemarylink::startLogging(argv[0]);
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const std::string command = arguments.empty() ? "" : arguments.front();
    const std::vector<std::string> options(arguments.begin() + (arguments.empty() ? 0 : 1), arguments.end());
    if (command == "policy")
        return rosemarylink::bench::runPolicyCommand(options);
    if (command == "state")
        return rosemarylink::bench::runStateCommand(options);
    if (command == "requests")
        return rosemarylink::bench::runRequestsCommand(options);
    const bool help = command == "--help" || command == "-h";
    (help ? std::cout : std::cerr) << usage;
    return help ? 0 : 2;
}
