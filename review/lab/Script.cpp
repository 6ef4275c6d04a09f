#include "Script.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <unistd.h>

namespace lab {

namespace {

    constexpr int minionsPerZone = 16;
    const std::vector<std::pair<std::string, int>> zones { { "palermo-a", 3 }, { "catania-a", 3 },
        { "siracusa-a", 1 } };
    constexpr Ms readyLimit = 15000;

    // A script that fails itself exits with 2. Its processes end with it.
    void exitCannotRun(int) { ::_exit(2); }

    bool installExits()
    {
        for (int number : { SIGABRT, SIGBUS, SIGFPE, SIGHUP, SIGINT, SIGSEGV, SIGTERM })
            std::signal(number, &exitCannotRun);
        return true;
    }

    const bool exitsInstalled = installExits(); // before main(), so that it also holds while a script is set up

    Json route(const std::string& name, const std::string& prefix, int priority, int attempts)
    {
        return { { "Name", name }, { "Host", "review.example" }, { "Prefix", prefix }, { "Kind", "non_idempotent" },
            { "TimeoutMs", 3000 }, { "TargetLatencyMs", 1200 }, { "Priority", priority }, { "Service", "fattura" },
            { "MaxAttempts", attempts }, { "StretchFactor", 3.0 }, { "Public", false } };
    }

} // namespace

Script::Script(const std::string& folder, const std::function<std::string(Script&, int)>& storeAddressOf)
    : record(folder + "/record.txt")
    , store(loop)
    , runs(record)
    , trouble_(exitsInstalled && (!std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0"))
{
    directory_ = (std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid()))).string();
    std::filesystem::create_directories(directory_);
    const Json config = { { "Version", 7 },
        { "Routes", { route("r-statement", "/statement/", 0, 3), route("r-sweep", "/sweep/", 2, 2) } },
        { "Services",
            { { { "Name", "fattura" }, { "HealthPath", "/health" }, { "MaxConnections", 64 }, { "Protocol", "h1" },
                { "AdmissionCheck", true }, { "Standby", false } } } },
        { "Tenants",
            { { { "Name", "catania-plants" }, { "ApiKeys", { "key-1" } }, { "Guaranteed", { { "Gpu", 144 } } } },
                { { "Name", "palermo-plants" }, { "ApiKeys", { "key-2" } }, { "Guaranteed", { { "Gpu", 64 } } } } } },
        { "Limits", { { "MaxHeaderBytes", 16384 }, { "MaxBodyBytes", 262144 } } } };
    store.put("op/config", config.dump());
    int number = 0;
    for (const auto& [zone, machines] : zones) {
        for (int i = 0; i < minionsPerZone; ++i, ++number)
            minions.push_back(std::make_unique<Minion>(loop, store, runs, record, "i-" + std::to_string(1000 + number),
                zone, "r" + std::to_string(1 + number / minionsPerZone) + "-" + std::to_string(1 + i / 8)));
    }
    for (const auto& [zone, machines] : zones) {
        for (int i = 1; i <= machines; ++i)
            edges.push_back(std::make_unique<Edge>("edge-" + zone + "-" + std::to_string(i), zone,
                storeAddressOf ? storeAddressOf(*this, static_cast<int>(edges.size())) : store.address(), directory_));
    }
    record.line(std::string("starts; ") + (trouble_ ? "with" : "without") + " the disruption");
}

Script::~Script()
{
    edges.clear();
    if (std::getenv("KEEP_LOGS"))
        std::printf("logs are in %s\n", directory_.c_str());
    else
        std::filesystem::remove_all(directory_);
}

int Script::owner()
{
    int found = -1;
    std::size_t answered = 0;
    for (std::size_t i = 0; i < edges.size(); ++i) {
        request(loop, edges[i]->metrics(), "GET", "/metrics", { { "Host", "metrics" } }, "", 1000,
            [&, i](int, const std::string& body) {
                ++answered;
                if (body.find("\nrosemarylink_owner 1") != std::string::npos)
                    found = static_cast<int>(i);
            });
    }
    const Ms limit = now() + 1200;
    while (answered < edges.size() && now() < limit)
        runFor(10);
    return found;
}

bool Script::awaitReady()
{
    const Ms limit = now() + readyLimit;
    while (now() < limit) {
        std::size_t answered = 0;
        std::size_t ready = 0;
        for (const auto& edge : edges) {
            request(loop, edge->readiness(), "GET", "/rosemarylink/readiness", { { "Host", "readiness" } }, "", 400,
                [&](int status, const std::string&) {
                    ++answered;
                    ready += status == 200 ? 1 : 0;
                });
        }
        const Ms wait = now() + 600;
        while (answered < edges.size() && now() < wait)
            runFor(10);
        if (ready == edges.size() && owner() >= 0) {
            runFor(1500); // the owner has read the reports of all minions by then
            return true;
        }
        runFor(200);
    }
    return false;
}

void Script::call(
    int edge, const std::string& method, const std::string& id, const std::string& body, Ms patience, const Done& done)
{
    callAs(edge, method, "/sweep/" + id, "key-1", body, patience, done);
}

void Script::callAs(int edge, const std::string& method, const std::string& path, const std::string& key,
    const std::string& body, Ms patience, const Done& done)
{
    const std::string name = edges.at(static_cast<std::size_t>(edge))->name();
    record.line("client sends " + method + " " + path + " to " + name);
    request(loop, edges[static_cast<std::size_t>(edge)]->frontend(), method, path,
        { { "Host", "review.example" }, { "Authorization", "Token " + key },
            { "X-Deadline-Ms", std::to_string(patience) } },
        body, patience, [this, method, path, name, done](int status, const std::string& text) {
            record.line("client gets " + (status == 0 ? std::string("no answer") : std::to_string(status) + " " + text)
                + " to " + method + " " + path + " from " + name);
            done({ status, text, record.time() });
        });
}

Script::Answer Script::callAndWait(
    int edge, const std::string& method, const std::string& id, const std::string& body, Ms patience)
{
    Answer answer;
    bool done = false;
    call(edge, method, id, body, patience, [&](const Answer& got) {
        answer = got;
        done = true;
    });
    const Ms limit = now() + patience + 200;
    while (!done && now() < limit)
        runFor(5);
    return answer;
}

std::string Script::job(const std::vector<int>& tasksOfSteps, Ms estimate)
{
    Json steps = Json::array();
    for (std::size_t i = 0; i < tasksOfSteps.size(); ++i) {
        Json step = { { "Count", tasksOfSteps[i] }, { "Cpu", 5600 }, { "RequestedMb", 23000 }, { "Gpu", 1 },
            { "EstimateMs", estimate } };
        if (i > 0)
            step["After"] = Json::array({ i - 1 });
        steps.push_back(step);
    }
    return Json({ { "Spec", "review" }, { "Steps", steps } }).dump();
}

std::string Script::newId()
{
    static std::mt19937_64 random(std::random_device {}());
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

int Script::finish(const std::string& rule, const std::vector<std::string>& breaches)
{
    for (const std::string& text : breaches)
        record.line("BROKEN " + rule + ": " + text);
    record.line(breaches.empty() ? rule + " held" : rule + " broken " + std::to_string(breaches.size()) + " times");
    std::printf("%s: %s, %zu breaches\n", rule.c_str(), breaches.empty() ? "held" : "BROKEN", breaches.size());
    return breaches.empty() ? 0 : 1;
}

int Script::cannotRun(const std::string& reason)
{
    record.line("the case cannot run: " + reason);
    std::printf("cannot run: %s\n", reason.c_str());
    return 2;
}

} // namespace lab
