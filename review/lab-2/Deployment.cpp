#include "Deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab {

namespace {

    using Json = nlohmann::json;

    // The command of the deploy file, run in the root of the repository.
    constexpr const char* command = "target/rosemarylink-edge";

    constexpr const char* service = "pool-a";
    constexpr const char* host = "jobs.example";
    constexpr const char* prefix = "/queue/";
    constexpr const char* key = "key-of-tenant-a";
    constexpr std::size_t workersInRack = 8;

    std::string loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

    Json bounds()
    {
        return { { "SeedLagS", 3 }, { "ReuseAfterS", 2 }, { "ContactMs", 4000 }, { "AckMs", 5000 }, { "CatchUpS", 4 },
            { "DrainMs", 2500 }, { "GraceS", 6 }, { "LossSlackMs", 200 }, { "ConfigApplyMs", 2500 },
            { "RollbackSlackMs", 250 }, { "MaxExtensionMs", 6000 }, { "RecoveryS", 12 }, { "HoldMaxMs", 6000 },
            { "StopMs", 900 }, { "GangTimeoutMs", 3000 }, { "cancel_ms", 3000 }, { "visible_ms", 3000 },
            { "early_ms", 250 }, { "finish_s", 14 }, { "status_s", 120 }, { "ReclaimMs", 3400 } };
    }

    std::string configuration()
    {
        const Json route = { { "Name", "route-a" }, { "Host", host }, { "Prefix", prefix },
            { "Kind", "non_idempotent" }, { "TimeoutMs", 3000 }, { "TargetLatencyMs", 1200 }, { "Priority", 1 },
            { "Service", service }, { "MaxAttempts", 3 }, { "StretchFactor", 3.0 }, { "Public", false } };
        const Json pool = { { "Name", service }, { "HealthPath", "/health" }, { "MaxConnections", 64 },
            { "Protocol", "h1" }, { "Tls", false }, { "AdmissionCheck", true }, { "Standby", false } };
        const Json tenant = { { "Name", "tenant-a" }, { "ApiKeys", { key } }, { "Priority", 1 },
            { "Guaranteed", { { "Gpu", 16 } } } };
        return Json({ { "Version", 7 }, { "Routes", Json::array({ route }) }, { "Services", Json::array({ pool }) },
                        { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 262144 } } },
                        { "Tenants", Json::array({ tenant }) } })
            .dump();
    }

} // namespace

Edge::Edge(int number, const std::string& directory, const std::string& storeAddress)
    : name_("edge-zone-a-" + std::to_string(number))
    , directory_(directory)
    , callers_(loopback(freePort()))
    , readiness_(loopback(freePort()))
{
    const int internalPort = freePort();
    metrics_ = loopback(internalPort);
    const Json settings = { { "NodeName", name_ }, { "Role", "edge" }, { "MachineClass", "edge" },
        { "Serves", { "edge" } }, { "Ip", "127.0.0.1" }, { "Zone", "zone-a" }, { "Region", "region-a" },
        { "Zones", { { "zone-a", "region-a" } } },
        { "Listen", { { "Frontend", callers_ }, { "Readiness", readiness_ } } },
        { "InternalPortRange", { internalPort, internalPort } }, { "Seeds", Json::array() }, { "Bootstrap", true },
        { "Limits", { { "CpuShare", 0.25 }, { "Cores", 1 }, { "MemoryMb", 260 }, { "LinkMbps", 1000.0 } } },
        { "DataDir", nullptr }, { "HeartbeatMs", 1500 }, { "Bounds", bounds() }, { "Orders", "request" },
        { "platform",
            { { "Address", storeAddress }, { "form", "kv" }, { "WritesPerS", 400 }, { "ReadsPerS", 2000 },
                { "HistoryS", 20 }, { "ValueBytes", 1048576 }, { "TtlMinMs", 1000 } } } };
    std::ofstream(directory_ + "/" + name_ + ".json") << settings.dump(2) << "\n";
}

Edge::~Edge() { kill(); }

void Edge::start()
{
    const std::string settings = directory_ + "/" + name_ + ".json";
    const std::string log = directory_ + "/" + name_ + ".log";
    process_ = ::fork();
    if (process_ != 0)
        return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::setenv("ROSEMARYLINK_SETTINGS", settings.c_str(), 1);
    ::execl(command, command, nullptr);
    ::_exit(127);
}

void Edge::signal(int number) const
{
    if (process_ > 0)
        ::kill(process_, number);
}

bool Edge::hasEnded()
{
    if (process_ > 0 && ::waitpid(process_, nullptr, WNOHANG) == process_)
        process_ = 0;
    return process_ <= 0;
}

void Edge::kill()
{
    if (process_ <= 0)
        return;
    ::kill(process_, SIGKILL);
    ::waitpid(process_, nullptr, 0);
    process_ = 0;
}

bool Edge::isReady() const
{
    const auto response = send(readiness_, "GET", "/rosemarylink/readiness", { { "Host", readiness_ } }, "", 500);
    return response && response->status == 200;
}

bool Edge::isOwner() const
{
    const auto response = send(metrics_, "GET", "/metrics", { { "Host", metrics_ } }, "", 500);
    return response && response->body.find("\nrosemarylink_owner 1") != std::string::npos;
}

int Edge::memoryMb() const
{
    std::ifstream file("/proc/" + std::to_string(process_) + "/statm");
    std::int64_t pages = 0;
    std::int64_t resident = 0;
    if (process_ <= 0 || !(file >> pages >> resident))
        return 0;
    return static_cast<int>(resident * ::sysconf(_SC_PAGESIZE) / (1024 * 1024));
}

CaseArguments parseArguments(int argc, char** argv)
{
    if (argc < 3) {
        std::fprintf(stderr, "usage: %s DIRECTORY RECORD\n", argv[0]);
        std::exit(couldNotRun);
    }
    const char* const trouble = std::getenv("TROUBLE");
    std::signal(SIGPIPE, SIG_IGN);
    return { argv[1], argv[2], !trouble || std::string(trouble) != "0" };
}

Deployment::Deployment(const CaseArguments& arguments, int edges, int workers, int otherWorkers)
    : record_(arguments.record)
{
    store_.put("op/config", configuration());
    for (int number = 1; number <= workers; ++number) {
        const std::string id = "worker-" + std::string(number < 10 ? "0" : "") + std::to_string(number);
        const std::size_t rack = 1 + static_cast<std::size_t>(number - 1) / workersInRack;
        const std::vector<std::string> labels
            = { number > workers - otherWorkers ? "b" : "a", "r1-" + std::to_string(rack) };
        workers_.push_back(std::make_unique<Worker>(store_, record_, runs_, id, labels, service));
    }
    for (int number = 1; number <= edges; ++number) {
        storeServers_.push_back(
            std::make_unique<HttpServer>([this](const Request& request) { return store_.handle(request); }));
        edges_.push_back(std::make_unique<Edge>(number, arguments.directory, storeServers_.back()->address()));
    }
}

void Deployment::leave(int code)
{
    if (code == couldNotRun)
        record_.add("the case could not run");
    for (const auto& edge : edges_)
        edge->kill();
    std::fflush(stdout);
    std::_Exit(code); // the threads of the stand-ins go on until then
}

bool Deployment::start()
{
    constexpr int startLimitMs = 15000;
    constexpr int settleMs = 4000;
    for (const auto& edge : edges_)
        edge->start();
    const std::int64_t endAt = monotonicMs() + startLimitMs;
    const auto serving = [this] {
        const bool ready = std::all_of(edges_.begin(), edges_.end(), [](const auto& edge) { return edge->isReady(); });
        return ready && std::any_of(edges_.begin(), edges_.end(), [](const auto& edge) { return edge->isOwner(); });
    };
    while (!serving()) {
        if (monotonicMs() >= endAt)
            return false;
        sleepMs(100);
    }
    sleepMs(settleMs); // until the owner has read the list of workers
    record_.add("all processes are ready");
    return true;
}

std::optional<Response> Deployment::call(
    std::size_t edge, const std::string& method, const std::string& path, const std::string& body)
{
    auto response = send(edges_.at(edge)->address(), method, prefix + path,
        { { "Host", host }, { "Authorization", std::string("Token ") + key }, { "Content-Type", "application/json" },
            { "X-Deadline-Ms", std::to_string(callerDeadlineMs) } },
        body, callerDeadlineMs);
    record_.add("client: " + method + " " + prefix + path + " at " + edges_.at(edge)->name() + " -> "
        + (response ? std::to_string(response->status) + " " + response->body.substr(0, 120) : "no answer"));
    return response;
}

int Deployment::submit(std::size_t edge, const std::string& job, int tasks, int workMs)
{
    const Json step
        = { { "Count", tasks }, { "Cpu", 1000 }, { "RequestedMb", 1024 }, { "Gpu", 1 }, { "EstimateMs", workMs } };
    return submit(edge, job, "work=" + std::to_string(workMs), Json::array({ step }).dump());
}

int Deployment::submit(std::size_t edge, const std::string& job, const std::string& payload, const std::string& steps)
{
    const Json body = { { "Spec", payload }, { "Steps", Json::parse(steps) } };
    return submitBody(edge, job, body.dump());
}

int Deployment::submitBody(std::size_t edge, const std::string& job, const std::string& body)
{
    const auto response = call(edge, "POST", job, body);
    return response ? response->status : 0;
}

int Deployment::cancel(std::size_t edge, const std::string& job)
{
    const auto response = call(edge, "DELETE", job, "");
    return response ? response->status : 0;
}

std::string Deployment::state(std::size_t edge, const std::string& job)
{
    const auto response = call(edge, "GET", job, "");
    return response && response->status == 200 ? Json::parse(response->body).value("State", std::string()) : "";
}

std::optional<int> Deployment::pending(std::size_t edge)
{
    const auto response = call(edge, "GET", "", "");
    if (!response || response->status != 200)
        return std::nullopt;
    return Json::parse(response->body).at("Pending").get<int>();
}

bool Deployment::waitForEnd(const std::vector<std::string>& jobs, int timeoutMs)
{
    const std::int64_t endAt = monotonicMs() + timeoutMs;
    for (const std::string& job : jobs) {
        while (true) {
            const std::string shown = state(0, job);
            if (shown == "completed" || shown == "failed" || shown == "cancelled")
                break;
            if (monotonicMs() >= endAt)
                return false;
            sleepMs(500);
        }
    }
    return true;
}

std::string jobId(int number)
{
    std::array<char, 20> text {};
    std::snprintf(text.data(), text.size(), "5c0e7a21%08x", number);
    return text.data();
}

} // namespace lab
