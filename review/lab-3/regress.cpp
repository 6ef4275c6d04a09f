// A machine handles requests by an older version although a minion has seen the effect of the newer one through it.
//
// Seven machines, four minions, one store. A configuration of 353 routes (TROUBLE=0: 3 routes) is followed by versions
// that each add a route and take a key away. Clients request the count of the new route at every machine; at the first
// one that has the route, a job is handed in. As soon as a minion has started its task, requests are sent to the
// machine that ordered the start: one to the new route and one with the key that was taken away.
#include "lab.h"

using namespace lab;

namespace {

constexpr int rounds = 12;
constexpr int roundsPerOwner = 4;
constexpr double rollbackSlackMs = 250;
constexpr double rollGapMs = 2000; // the least time between two SIGTERMs
constexpr double contactMs = 4000; // all machines are in touch after this time without a disruption

Json route(const std::string& name)
{
    return { { "Name", "r-" + name }, { "Host", "nony24.example" }, { "Prefix", "/" + name + "/" },
        { "Kind", "non_idempotent" }, { "TimeoutMs", 3000 }, { "TargetLatencyMs", 3000 }, { "Priority", 1 },
        { "Service", "svc" }, { "MaxAttempts", 3 }, { "StretchFactor", 3.0 }, { "Public", false } };
}

std::string key(int number) { return "key-of-tenant-a-" + std::to_string(number); }

std::string configuration(int version, int idleRoutes, int addedRoutes, int droppedKeys)
{
    Json routes = { route("base") };
    for (int i = 0; i < idleRoutes; ++i)
        routes.push_back(route("idle" + std::to_string(100000 + i)));
    for (int i = 1; i <= addedRoutes; ++i)
        routes.push_back(route("new" + std::to_string(i)));
    Json keys = Json::array();
    for (int i = droppedKeys + 1; i <= rounds + 1; ++i)
        keys.push_back(key(i));
    return Json({ { "Version", version }, { "Routes", routes },
                    { "Services", { { { "Name", "svc" }, { "AdmissionCheck", true } } } },
                    { "Limits", { { "MaxBodyBytes", 262144 } } },
                    { "Tenants",
                        { { { "Name", "a" }, { "ApiKeys", keys } },
                            { { "Name", "b" }, { "ApiKeys", { "key-of-tenant-b" } } } } } })
        .dump();
}

std::map<std::string, std::string> headers(const std::string& apiKey)
{
    return { { "Host", "nony24.example" }, { "Authorization", "Token " + apiKey }, { "X-Deadline-Ms", "3000" } };
}

std::string jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016x", 0xa0000 + number);
    return text;
}

// roll_term: the machine gets SIGTERM and starts again after a short delay.
void restart(Edge& edge, std::mt19937& random)
{
    edge.stop(6000);
    pause(std::uniform_real_distribution<>(200, 700)(random));
    edge.start();
}

} // namespace

int main(int, char** argv)
{
    const bool trouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    recordFile() = std::fopen(argv[1], "w");
    const std::string directory = argv[2];
    std::mt19937 random(std::random_device {}());

    Store store;
    std::mutex mutex;
    std::map<std::int64_t, int> writers; // the machine whose conditional write got this revision
    store.after = [&](const StoreCall& call, const Response& response) {
        if (call.kind != "txn" || response.status != 200)
            return;
        const Lock lock(mutex);
        writers[Json::parse(response.body).at("Revision").get<std::int64_t>()] = call.node;
    };
    RunLog log;
    std::vector<std::unique_ptr<Minion>> minions;
    minions.reserve(4);
    for (int i = 0; i < 4; ++i)
        minions.push_back(std::make_unique<Minion>(
            "i-" + std::to_string(i), store, log, [](const std::string&, int) { return TaskNeeds { 100 }; }));

    const int idleRoutes = trouble ? 352 : 2;
    int version = 1;
    store.put("op/config", configuration(version, 2, 0, 0));
    std::vector<std::shared_ptr<Server>> ways;
    std::vector<std::unique_ptr<Edge>> edges;
    ways.reserve(7);
    edges.reserve(7);
    for (int i = 0; i < 7; ++i) {
        ways.push_back(store.serve(i));
        edges.push_back(std::make_unique<Edge>(i, directory, ways.back()->address()));
        edges.back()->start();
    }
    if (!waitFor(10000,
            [&] { return std::all_of(edges.begin(), edges.end(), [](const auto& edge) { return edge->ready(); }); }))
        return 2;
    pause(2500);
    store.put("op/config", configuration(++version, idleRoutes, 0, 0)); // big_config, count = 350
    note("version %d: %zu bytes, %d idle routes", version, store.value("op/config").size(), idleRoutes);
    pause(2500);
    for (const auto& edge : edges) { // in turn, each SIGTERM at least 2 s after the one before
        const double earliestNext = now() + rollGapMs;
        restart(*edge, random);
        pause(earliestNext - now());
    }
    if (!waitFor(10000,
            [&] { return std::all_of(edges.begin(), edges.end(), [](const auto& edge) { return edge->ready(); }); }))
        return 2;
    pause(contactMs);

    int regressions = 0, judged = 0;
    for (int round = 1; round <= rounds; ++round) {
        pause(std::uniform_real_distribution<>(1300, 2300)(random));
        store.put("op/config", configuration(++version, idleRoutes, round, round));
        const double acknowledgedAt = now();
        note("version %d is acknowledged: adds /new%d/, takes away %s", version, round, key(round).c_str());
        const std::string path = "/new" + std::to_string(round) + "/";
        const std::string id = jobId(round);
        const std::string body
            = R"({"Spec":"s","Steps":[{"Count":1,"Cpu":1000,"RequestedMb":1024,"Gpu":1,"EstimateMs":100}]})";
        std::atomic<bool> found { false };
        std::vector<std::thread> clients;
        clients.reserve(edges.size());
        for (const auto& edge : edges) {
            clients.emplace_back([&, front = edge->front(), name = edge->name()] {
                while (!found && now() < acknowledgedAt + 4000) {
                    const Reply count = call(front, "GET", path, headers("key-of-tenant-b"), "");
                    if (count.status == 200 && !found.exchange(true)) {
                        const Reply reply = call(front, "POST", path + id, headers("key-of-tenant-b"), body);
                        note("%s answers %d to job %s on %s, sent %.0f ms after the version", name.c_str(),
                            reply.status, id.c_str(), path.c_str(), reply.sentAt - acknowledgedAt);
                    }
                    pause(20);
                }
            });
        }
        for (std::thread& client : clients)
            client.join();
        SeenRun start;
        if (!waitFor(3000, [&] {
                for (const SeenRun& run : log.all())
                    if (run.task.compare(0, 16, id) == 0)
                        start = run;
                return start.run > 0;
            })) {
            note("no start of job %s is seen; the round is left out", id.c_str());
            continue;
        }
        int giver = -1;
        {
            const Lock lock(mutex);
            if (writers.count(start.token))
                giver = writers[start.token];
        }
        if (giver < 0)
            continue;
        ++judged;
        Edge& edge = *edges[static_cast<std::size_t>(giver)];
        note("the start was ordered by %s", edge.name().c_str());
        pause(start.startedAt + rollbackSlackMs + 5 - now());
        bool regressed = false;
        while (now() < start.startedAt + 1200) {
            const Reply count = call(edge.front(), "GET", path, headers("key-of-tenant-b"), "");
            const Reply dropped = call(edge.front(), "GET", "/base/", headers(key(round)), "");
            for (const auto& [reply, wrong, what] : { std::tuple(count, 404, "GET of the new route"),
                     std::tuple(dropped, 200, "GET with the dropped key") }) {
                if (reply.status != wrong || reply.sentAt <= start.startedAt + rollbackSlackMs)
                    continue;
                note("OLD VERSION: %s answers %d to a %s sent %.0f ms after the start and %.0f ms after the version",
                    edge.name().c_str(), reply.status, what, reply.sentAt - start.startedAt,
                    reply.sentAt - acknowledgedAt);
                regressed = true;
            }
            pause(20);
        }
        regressions += regressed ? 1 : 0;
        if (round % roundsPerOwner == 0 && round < rounds) { // roll_term of one machine: another one orders the starts
            note("%s is restarted", edge.name().c_str());
            restart(edge, random);
            if (!waitFor(10000, [&] { return edge.ready(); }))
                return 2;
            pause(contactMs);
        }
    }
    note("%d of %d versions: the machine that ordered the start handled later requests by the older version",
        regressions, judged);
    std::printf("%d of %d versions were handled by an older one\n", regressions, judged);
    for (const auto& edge : edges)
        edge->kill(SIGKILL);
    const int result = judged < rounds / 2 ? 2 : regressions > 0 ? 1 : 0;
    std::fflush(nullptr);
    ::_exit(result);
}
