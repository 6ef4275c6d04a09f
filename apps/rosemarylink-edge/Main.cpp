#include "EdgeProcess.h"

#include "rosemarylink/base/Log.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <optional>
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

// Options that replace the limits derived from the platform's settings.
struct LimitOptions {
    std::optional<std::size_t> headerBytes;
    std::optional<std::size_t> bodyBytes;
    std::optional<std::size_t> connections;
    std::optional<std::size_t> bufferedKb;
    std::optional<std::size_t> requestKb;
    std::optional<std::size_t> kernelBufferBytes;
    std::optional<std::int64_t> headTimeoutMs;
    std::optional<std::size_t> minimumBytesPerSecond;
    std::optional<std::int64_t> responseTimeoutMs;
};

template <typename T> auto valueFor(std::optional<T>& target)
{
    return options::value<T>()->notifier([&target](const T& value) { target = value; });
}

// M stands for MemoryMb and F for FileDescriptors under Limits of the settings.
void addLimitOptions(options::options_description& description, LimitOptions& limits)
{
    description.add_options()("caller-header-bytes", valueFor(limits.headerBytes),
        "largest head of a caller's request; default 16384")("caller-body-bytes", valueFor(limits.bodyBytes),
        "largest body of a caller's request, a larger one gets 413; default 262144, without M 8388608")(
        "caller-connections", valueFor(limits.connections),
        "callers' connections open at once; default the lower of F - min(1600, F/2) and M * 8")("caller-buffered-kb",
        valueFor(limits.bufferedKb),
        "kilobytes of callers that are received and not handled, or unsent; default M / 8 megabytes")(
        "caller-request-kb", valueFor(limits.requestKb),
        "estimated kilobytes of callers' requests in progress, more get 503; default M / 8 megabytes")(
        "caller-kernel-buffer-bytes", valueFor(limits.kernelBufferBytes),
        "kernel's receive buffer of a caller's connection; default 16384, without M the kernel's")(
        "caller-head-timeout-ms", valueFor(limits.headTimeoutMs),
        "time for a request head, after which a request must keep arriving; default 10000, without M 0: no limit")(
        "caller-minimum-bytes-per-s", valueFor(limits.minimumBytesPerSecond),
        "lowest rate of a request after the head's time, over 5 s; default 4096")("caller-response-timeout-ms",
        valueFor(limits.responseTimeoutMs),
        "a connection whose client reads nothing of a response for this long is closed; default 30000, without M 0: no "
        "limit");
}

template <typename Target, typename Value> void replace(Target& target, const std::optional<Value>& value)
{
    if (value)
        target = Target(*value);
}

rosemarylink::reactor::ConnectionLimits callerLimits(
    const rosemarylink::jobs::InstanceCapacity& capacity, const LimitOptions& given)
{
    constexpr std::size_t kilobyte = 1024;
    auto limits = rosemarylink::reactor::callerLimitsFor(capacity.memoryMb, capacity.fileDescriptors);
    replace(limits.message.headerBytes, given.headerBytes);
    replace(limits.message.bodyBytes, given.bodyBytes);
    replace(limits.connections, given.connections);
    if (given.bufferedKb)
        limits.bufferedBytes = *given.bufferedKb * kilobyte;
    if (given.requestKb)
        limits.requestBytes = *given.requestKb * kilobyte;
    replace(limits.kernelBufferBytes, given.kernelBufferBytes);
    replace(limits.headTimeout, given.headTimeoutMs);
    replace(limits.minimumBytesPerSecond, given.minimumBytesPerSecond);
    replace(limits.responseTimeout, given.responseTimeoutMs);
    return limits;
}

} // namespace

int main(int argc, char** argv)
{
    const char* const environmentPath = std::getenv("ROSEMARYLINK_SETTINGS");
    std::string path = environmentPath ? environmentPath : "/etc/rosemarylink/node.json";
    std::uint32_t callerIdleLimitSeconds = defaultCallerIdleLimitSeconds;
    bool deferLargest = false;
    options::options_description description(
        "rosemarylink-edge: serves callers and schedules jobs on the platform\n\nOptions");
    description.add_options()("help", "print this text")("version", "print the version")("settings",
        options::value(&path)->default_value(path),
        "the platform's settings file")("check-settings", "check the settings file and exit")("caller-idle-limit-s",
        options::value(&callerIdleLimitSeconds)->default_value(callerIdleLimitSeconds),
        "a caller's connection without a request in progress is closed after this many idle seconds; 0: never")(
        "defer-large-jobs", options::bool_switch(&deferLargest),
        "where too little capacity becomes free in time, let the largest waiting jobs of a priority be late");
    LimitOptions limitOptions;
    addLimitOptions(description, limitOptions);
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
    auto settings = rosemarylink::platform::loadPlatformSettings(path);
    if (!settings) {
        std::cerr << settings.error().message << "\n";
        return exitUsage;
    }
    if (arguments.count("check-settings") > 0) {
        std::cout << path << ": the settings are valid\n";
        return 0;
    }
    settings.value().limits.deferLargest = deferLargest;
    handleSignals();
    rosemarylink::startLogging(argv[0], STDOUT_FILENO); // the platform collects standard output
    rosemarylink::EdgeProcess process(path, settings.value(), std::chrono::seconds(callerIdleLimitSeconds),
        callerLimits(settings.value().capacity, limitOptions));
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
