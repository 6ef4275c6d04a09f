// Jobs of single tasks, of which one in twenty fails once, and gangs whose tasks ask for no resources share the only
// worker of their kind. The platform kills a process that exceeds its memory limit and starts it again. Half-way the
// machine of the owner leaves for good, after a SIGTERM.

#include "../lab-2/Deployment.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <mutex>
#include <thread>

namespace {

constexpr int edges = 3;
constexpr int workers = 12;
constexpr int jobs = 400;
constexpr int failingOneIn = 20; // error_share 0.05
constexpr int gangOneIn = 8;
constexpr std::int64_t interval = 170;
constexpr int leavingAt = 220; // number of the job after which a machine leaves
constexpr int memoryLimitMb = 260;
constexpr std::int64_t restartDelay = 500; // as the bench restarts a killed process
constexpr int endsOfOneMachine = 3; // so many count
constexpr int machines = 2; // with so many ends each

// The tasks name no resources, as fields whose value is 0 are omitted.
constexpr const char* gangSteps = R"([{"Count":2,"EstimateMs":200,"Gang":true,"Requirements":"b"}])";
constexpr const char* singleSteps
    = R"([{"Count":1,"Cpu":1000,"RequestedMb":1024,"Gpu":1,"EstimateMs":200,"Requirements":"b"}])";

} // namespace

int main(int argc, char** argv)
{
    const lab::CaseArguments arguments = lab::parseArguments(argc, argv);
    lab::Deployment deployment(arguments, edges, workers, /*otherWorkers=*/1);
    lab::Record& record = deployment.record();
    if (!deployment.start())
        deployment.leave(lab::couldNotRun);
    std::atomic<bool> watching { true };
    std::vector<int> ends(edges, 0);
    std::atomic<int> leaving { -1 }; // number of the machine that leaves, or has left
    std::mutex endsMutex;
    std::thread platform([&] {
        std::vector<std::int64_t> startAt(edges, 0);
        while (watching) {
            for (std::size_t number = 0; number < edges; ++number) {
                lab::Edge& edge = deployment.edge(number);
                if (startAt[number] != 0 && lab::monotonicMs() >= startAt[number]) {
                    startAt[number] = 0;
                    edge.start();
                }
                const int memory = edge.memoryMb();
                if (startAt[number] != 0 || memory <= memoryLimitMb)
                    continue;
                edge.kill();
                if (static_cast<int>(number) == leaving)
                    continue; // neither counts nor starts again
                startAt[number] = lab::monotonicMs() + restartDelay;
                record.add("FAULT: " + edge.name() + " exceeds its memory: " + std::to_string(memory) + " of "
                    + std::to_string(memoryLimitMb) + " MB; the platform kills it");
                const std::lock_guard lock(endsMutex);
                ++ends[number];
            }
            lab::sleepMs(5);
        }
    });
    for (int number = 1; number <= jobs; ++number) {
        std::size_t edge = static_cast<std::size_t>(number) % edges;
        if (static_cast<int>(edge) == leaving)
            edge = (edge + 1) % edges;
        const bool fails = arguments.trouble && number % failingOneIn == 0;
        if (number % gangOneIn == 0)
            deployment.submit(edge, lab::jobId(number), "work=200 gpu=0 gang=2", gangSteps);
        else
            deployment.submit(edge, lab::jobId(number), fails ? "work=200 fail-first" : "work=200", singleSteps);
        for (std::size_t owner = 0; number >= leavingAt && leaving < 0 && owner < edges; ++owner) {
            if (!deployment.edge(owner).isOwner())
                continue;
            leaving = static_cast<int>(owner);
            record.add(deployment.edge(owner).name() + " gets SIGTERM and leaves for good");
            deployment.edge(owner).signal(SIGTERM);
        }
        lab::sleepMs(interval);
    }
    watching = false;
    platform.join();
    if (leaving < 0 || !deployment.edge(static_cast<std::size_t>(leaving)).hasEnded())
        deployment.leave(lab::couldNotRun);
    int machinesWithEnds = 0;
    for (std::size_t number = 0; number < edges; ++number) {
        record.add(deployment.edge(number).name() + " was killed " + std::to_string(ends[number])
            + " times because it exceeded its memory");
        machinesWithEnds += ends[number] >= endsOfOneMachine ? 1 : 0;
    }
    const bool broken = machinesWithEnds >= machines;
    std::printf("%s\n", broken ? "Fault: processes end by themselves" : "the rule held");
    deployment.leave(broken ? lab::ruleBroken : lab::ruleHeld);
}
