// Runs one process of rosemarylink-edge or rosemarylink-gateway against a crowd of clients outside the limits. Guards
// against a process that clients drive out of memory or descriptors, so that it terminates, or that serves nobody
// afterwards. Times and the share of served requests are not checked.

#include "Crowds.h"
#include "EdgeInstance.h"
#include "GatewayInstance.h"
#include "Platform.h"
#include "PlatformServers.h"
#include "Probe.h"
#include "rosemarylink/base/Log.h"

#include <boost/program_options.hpp>

#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <future>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace rosemarylink::limits {

namespace {

    // Announced to rosemarylink-edge and checked as bounds. They are far below those of the smallest machine (160 MB,
    // 4,100 descriptors), so that a small crowd suffices.
    constexpr soak::MachineLimits edgeMachine { 64, 600 };

    // rosemarylink-gateway is not told of its machine; it must stay within the smallest.
    constexpr soak::MachineLimits gatewayMachine { 160, 600 };

    // Clients of unannounced bodies send on a thread each, since only a client that is faster than the process can make
    // it read on and on.
    constexpr std::size_t fastSenders = 24;

    constexpr int stalledMs = 2000;
    constexpr std::chrono::milliseconds trickleInterval { 1000 };

    // Larger runs by hand.
    struct Scale {
        int memoryMb = edgeMachine.memoryMb; // announced to rosemarylink-edge, and the bound
        std::size_t submissions = 1; // times the number of the load
    };

    struct Outcome {
        bool ended = false;
        bool served = false;
        Usage before;
        Usage usage;
    };

    // Prints the figures and returns the exit code of the test.
    int report(const std::string& name, const Outcome& outcome, const soak::MachineLimits& bounds,
        const std::string& crowdFigures)
    {
        const long residentBoundKb = bounds.memoryMb * 1024L;
        std::cout << name << ": " << crowdFigures << " residentBeforeKb=" << outcome.before.residentPeakKb
                  << " residentPeakKb=" << outcome.usage.residentPeakKb << " residentBoundKb=" << residentBoundKb
                  << " queuedPeakKb=" << outcome.usage.queuedPeakKb
                  << " descriptorPeak=" << outcome.usage.descriptorPeak << " descriptorBound=" << bounds.fileDescriptors
                  << " ended=" << outcome.ended << " served=" << outcome.served << "\n";
        const bool held = !outcome.ended && outcome.served
            && outcome.usage.residentPeakKb + outcome.usage.queuedPeakKb <= residentBoundKb
            && outcome.usage.descriptorPeak <= bounds.fileDescriptors;
        return held ? 0 : 1;
    }

    std::string figuresOf(const Crowd& crowd)
    {
        return "clients=" + std::to_string(crowd.clients()) + " sentBytes=" + std::to_string(crowd.bytesSent())
            + " closed=" + std::to_string(crowd.closedByServer());
    }

    std::string smallJob() { return soak::platformJob(jobs::oneStep(1, 1, Milliseconds(200), false)); }

    // One process of rosemarylink-edge with a simulated platform.
    class EdgeTest {
    public:
        EdgeTest(const std::string& binaries, const std::string& directory, const Scale& scale)
            : machine_ { scale.memoryMb, edgeMachine.fileDescriptors }
            , submissionFactor_(scale.submissions)
            , edge_(binaries + "/rosemarylink-edge", directory, 0, platform_.storeAddress(), Platform::workerLease)
        {
            edge_.setMachineLimits(machine_);
        }

        bool start()
        {
            edge_.start();
            return succeeds([this] { return isServed({ edge_.readinessAddress(), "GET", "/", "" }); }, running());
        }

        int run(const std::string& name)
        {
            if (!start()) {
                std::cout << name << ": the process did not become ready\n";
                return 1;
            }
            outcome_.before.observe(edge_.processId(), edge_.callerAddress());
            const std::string figures = submissionLoads().count(name) > 0 ? runSubmissions(name) : runCrowd(name);
            observe();
            outcome_.ended = outcome_.ended || !running()();
            return report(name, outcome_, machine_, figures);
        }

    private:
        std::function<bool()> running()
        {
            return [this] { return !edge_.hasExitedUnexpectedly() && edge_.running(); };
        }

        void observe() { outcome_.usage.observe(edge_.processId(), edge_.callerAddress()); }

        // Submits a new job; a caller of the account "other" is not part of any crowd.
        bool submit(const std::string& key)
        {
            const std::string id = "0123abcd" + std::to_string(++submitted_);
            return isServed({ edge_.callerAddress(), "POST", "/batch/" + id, smallJob(), key });
        }

        std::string runCrowd(const std::string& name)
        {
            Crowd crowd(Poco::Net::SocketAddress(edge_.callerAddress()), edgeCrowds().at(name)());
            crowd.run(name == "unannounced-bodies" ? fastSenders : 1, stalledMs, [this] { observe(); });
            outcome_.served = succeeds([this] { return submit("key"); }, running());
            return figuresOf(crowd);
        }

        std::string runSubmissions(const std::string& name)
        {
            SubmissionLoad load = submissionLoads().at(name)();
            load.submissions *= submissionFactor_;
            Submitters submitters(Poco::Net::SocketAddress(edge_.callerAddress()), load);
            submitters.run([this] { observe(); }, running());
            const long firstOwnerKb = outcome_.usage.residentPeakKb;
            outcome_.served = succeeds([this] { return submit("other"); }, running()) && succeedsAsNextOwner();
            return "accepted=" + std::to_string(submitters.accepted()) + " refused="
                + std::to_string(submitters.refused()) + " otherwise=" + std::to_string(submitters.otherwise())
                + " firstOwnerKb=" + std::to_string(firstOwnerKb);
        }

        // Starts the process anew beside the full store, and tells whether it comes to schedule new jobs.
        bool succeedsAsNextOwner()
        {
            observe();
            edge_.sendSignal(SIGKILL);
            while (edge_.running())
                edge_.hasExitedUnexpectedly();
            const bool ready = start();
            return ready
                && succeeds(
                    [this] {
                        observe();
                        return submit("other") && hasReadNewJob();
                    },
                    running());
        }

        // The owner counts the jobs that have arrived since it read those of its predecessor.
        bool hasReadNewJob() const
        {
            const std::string metrics = send({ edge_.metricsAddress(), "GET", "/metrics", "" }).body;
            const std::string name = "_count{leg=\"hand-over\"} ";
            const std::size_t position = metrics.find(name);
            return position != std::string::npos && std::stod(metrics.substr(position + name.size())) > 0;
        }

        soak::MachineLimits machine_;
        std::size_t submissionFactor_;
        Platform platform_;
        soak::EdgeInstance edge_;
        Outcome outcome_;
        int submitted_ = 0;
    };

    int runGateway(const std::string& binaries, const std::string& directory, const std::string& name)
    {
        GatewayInstance gateway(binaries, directory);
        const auto running = [&gateway] { return gateway.running(); };
        const auto probe = [&] {
            return succeeds([&] { return isServed({ gateway.address(), "GET", "/healthz", "" }); }, running);
        };
        if (!probe()) {
            std::cout << name << ": the process did not become ready\n";
            return 1;
        }
        Outcome outcome;
        const bool onLinks = linkCrowds().count(name) > 0;
        const std::string address = onLinks ? gateway.linkAddress() : gateway.address();
        outcome.before.observe(gateway.processId(), address);
        const auto observe = [&] { outcome.usage.observe(gateway.processId(), address); };
        Crowd crowd(Poco::Net::SocketAddress(address), onLinks ? linkCrowds().at(name)() : gatewayCrowds().at(name)());
        crowd.run(1, stalledMs, observe);
        std::atomic<bool> stopped { false };
        const auto trickling = std::async(std::launch::async, [&] {
            while (name == "gateway-slow-bodies" && !stopped) {
                crowd.trickle();
                std::this_thread::sleep_for(trickleInterval); // the pace of these clients
            }
        });
        outcome.served = probe();
        stopped = true;
        trickling.wait();
        observe();
        outcome.ended = !running();
        return report(name, outcome, gatewayMachine, figuresOf(crowd));
    }

    int run(const std::string& binaries, const std::string& directory, const std::string& name, const Scale& scale)
    {
        if (edgeCrowds().count(name) > 0 || submissionLoads().count(name) > 0)
            return EdgeTest(binaries, directory, scale).run(name);
        if (gatewayCrowds().count(name) > 0 || linkCrowds().count(name) > 0)
            return runGateway(binaries, directory, name);
        std::cerr << "no such crowd: " << name << "\n";
        return 2;
    }

} // namespace

} // namespace rosemarylink::limits

int main(int argc, char** argv)
{
    namespace options = boost::program_options;
    std::string binaries = "build";
    std::string crowd;
    rosemarylink::limits::Scale scale;
    options::options_description description("rosemarylink-limits: one process against clients outside the limits");
    description.add_options()("binaries", options::value(&binaries)->default_value(binaries),
        "directory of the programs under test")("crowd", options::value(&crowd)->required(), "name of the crowd")(
        "memory-mb", options::value(&scale.memoryMb), "memory of rosemarylink-edge, and the bound; for runs by hand")(
        "submissions", options::value(&scale.submissions), "times the submissions of a load of jobs; for runs by hand");
    try {
        options::variables_map arguments;
        options::store(options::parse_command_line(argc, argv, description), arguments);
        options::notify(arguments);
    } catch (const options::error& problem) {
        std::cerr << problem.what() << "\n" << description;
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    rosemarylink::startLogging(argv[0]);
    const std::filesystem::path directory
        = std::filesystem::temp_directory_path() / ("rosemarylink-limits-" + std::to_string(::getpid()));
    std::filesystem::create_directories(directory);
    const int result = rosemarylink::limits::run(binaries, directory, crowd, scale);
    if (result == 0)
        std::filesystem::remove_all(directory);
    else
        std::cout << "settings and logs are in " << directory << "\n";
    return result;
}
