// A tenant doesn't get back what is guaranteed to it from another tenant's lasting tasks.
//
// Two machines; four minions with 8 accelerators each. Tenant "a" has 8 guaranteed accelerators. While it needs none,
// tenant "b" hands in a lasting step of 32 tasks (TROUBLE=0: 24) of one accelerator each, of which 8 may be unavailable
// at a time (MayMiss). Then "a" hands in a job of priority 0 with 4 tasks of one accelerator.
#include "lab.h"

using namespace lab;

namespace {

constexpr double reclaimMs = 2900;
constexpr double watchFor = 60000;

Json route(const std::string& name, int priority)
{
    return { { "Name", "r-" + name }, { "Host", "nony24.example" }, { "Prefix", "/" + name + "/" },
        { "Kind", "non_idempotent" }, { "TimeoutMs", 3000 }, { "TargetLatencyMs", 3000 }, { "Priority", priority },
        { "Service", "svc" }, { "MaxAttempts", 3 }, { "StretchFactor", 3.0 }, { "Public", false } };
}

std::map<std::string, std::string> headers(const std::string& key)
{
    return { { "Host", "nony24.example" }, { "Authorization", "Token " + key }, { "X-Deadline-Ms", "3000" } };
}

} // namespace

int main(int count, char** argv)
{
    if (count != 3)
        return 2;
    const bool trouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    recordFile() = std::fopen(argv[1], "w");
    const std::string directory = argv[2];
    const std::string lasting = "00000000000000bb", urgent = "00000000000000aa";
    const Needs needs = [&](const std::string& task, int) {
        return task.compare(0, 16, lasting) == 0 ? TaskNeeds { untilStopped } : TaskNeeds { 2000 };
    };

    Store store;
    RunLog log;
    std::vector<std::unique_ptr<Minion>> minions;
    minions.reserve(4);
    for (int i = 0; i < 4; ++i)
        minions.push_back(std::make_unique<Minion>("i-" + std::to_string(i), store, log, needs));
    store.put("op/config",
        Json({ { "Version", 1 }, { "Routes", { route("urgent", 0), route("serve", 2) } },
                 { "Services", { { { "Name", "svc" }, { "AdmissionCheck", true } } } },
                 { "Limits", { { "MaxBodyBytes", 262144 } } },
                 { "Tenants",
                     { { { "Name", "a" }, { "ApiKeys", { "key-a" } }, { "Guaranteed", { { "Gpu", 8 } } } },
                         { { "Name", "b" }, { "ApiKeys", { "key-b" } } } } } })
            .dump());
    std::vector<std::shared_ptr<Server>> ways;
    std::vector<std::unique_ptr<Edge>> edges;
    ways.reserve(2);
    edges.reserve(2);
    for (int i = 0; i < 2; ++i) {
        ways.push_back(store.serve(i));
        edges.push_back(std::make_unique<Edge>(i, directory, ways.back()->address()));
        edges.back()->start();
    }
    if (!waitFor(10000,
            [&] { return std::all_of(edges.begin(), edges.end(), [](const auto& edge) { return edge->ready(); }); }))
        return 2;
    pause(3000);

    const auto submit = [&](const std::string& path, const std::string& key, const Json& step) {
        Reply reply = call(
            edges[0]->front(), "POST", path, headers(key), Json({ { "Spec", "s" }, { "Steps", { step } } }).dump());
        note("%s answers %d to POST %s with %s: %s", edges[0]->name().c_str(), reply.status, path.c_str(), key.c_str(),
            step.dump().c_str());
        return reply;
    };
    const auto started = [&](const std::string& id, bool running) {
        std::set<std::string> tasks;
        for (const SeenRun& run : log.all())
            if (run.task.compare(0, 16, id) == 0 && (!running || run.endedAt < 0))
                tasks.insert(run.task);
        return static_cast<int>(tasks.size());
    };

    const int tasks = trouble ? 32 : 24;
    const Json step = { { "Cpu", 1000 }, { "RequestedMb", 1024 }, { "Gpu", 1 } };
    Json serving = step;
    serving.update({ { "Count", tasks }, { "LongRunning", true }, { "MayMiss", 8 } });
    if (submit("/serve/" + lasting, "key-b", serving).status != 200
        || !waitFor(8000, [&] { return started(lasting, true) == tasks; }))
        return 2;
    pause(8000);
    Json request = step;
    request.update({ { "Count", 4 }, { "EstimateMs", 2000 } });
    const Reply accepted = submit("/urgent/" + urgent, "key-a", request);
    if (accepted.status != 200)
        return 2;
    const bool inTime = waitFor(accepted.answeredAt + reclaimMs - now(), [&] { return started(urgent, false) == 4; });
    note("%d of 4 tasks have begun %.0f ms after the acknowledgement", started(urgent, false),
        now() - accepted.answeredAt);
    if (!inTime) {
        note("RECLAIM: the job needs 4 of the 8 accelerators that are guaranteed to its tenant");
        waitFor(watchFor, [&] { return started(urgent, false) == 4; });
        const Reply state = call(edges[0]->front(), "GET", "/urgent/" + urgent, headers("key-a"), "");
        note("%d of 4 tasks have begun %.0f ms after the acknowledgement; GET answers %d %s; %d lasting tasks run",
            started(urgent, false), now() - accepted.answeredAt, state.status, state.body.c_str(),
            started(lasting, true));
    }
    std::printf("%d of 4 tasks begun after %.0f ms\n", started(urgent, false), now() - accepted.answeredAt);
    for (const auto& edge : edges)
        edge->kill(SIGKILL);
    std::fflush(nullptr);
    ::_exit(inTime ? 0 : 1);
}
