// After the loss of one minion and a change of the owner, no job goes on for a lease.
//
// Three machines; eight minions with 8 accelerators each. A lasting task runs on one of the minions. That minion is
// lost for good, and some time later (1.5 s) the process that orders the starts is killed and started again (TROUBLE=0:
// neither). Just before the kill a client hands in a job of one task.
#include "lab.h"

using namespace lab;

namespace {

constexpr double restartedAfter = 200;
constexpr double calmBefore = 4000;
constexpr double graceAfterRun = 6000; // for a task that lasts
constexpr double idleLimit = 3000;
constexpr double watchFor = 20000;

Json route(const std::string& name, int priority)
{
    return { { "Name", "r-" + name }, { "Host", "nony24.example" }, { "Prefix", "/" + name + "/" },
        { "Kind", "non_idempotent" }, { "TimeoutMs", 3000 }, { "TargetLatencyMs", 3000 }, { "Priority", priority },
        { "Service", "svc" }, { "MaxAttempts", 3 }, { "StretchFactor", 3.0 }, { "Public", false } };
}

std::map<std::string, std::string> headers()
{
    return { { "Host", "nony24.example" }, { "Authorization", "Token key-a" }, { "X-Deadline-Ms", "3000" } };
}

const std::string lasting = "00000000000000aa", brief = "00000000000000bb";

bool isOf(const SeenRun& run, const std::string& id) { return run.task.compare(0, 16, id) == 0; }

} // namespace

int main(int count, char** argv)
{
    if (count != 3 && count != 4)
        return 2;
    const double killedAfter = count == 4 ? std::stod(argv[3]) : 1500; // after the loss of the minion
    const bool trouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    recordFile() = std::fopen(argv[1], "w");
    const std::string directory = argv[2];
    const Needs needs = [&](const std::string& task, int) {
        return task.compare(0, 16, lasting) == 0 ? TaskNeeds { untilStopped } : TaskNeeds { 2000 };
    };

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
    std::map<std::string, std::unique_ptr<Minion>> minions;
    for (int i = 0; i < 8; ++i) {
        const std::string id = "i-" + std::to_string(i);
        minions[id] = std::make_unique<Minion>(id, store, log, needs);
    }
    store.put("op/config",
        Json({ { "Version", 1 }, { "Routes", { route("batch", 1), route("serve", 2) } },
                 { "Services", { { { "Name", "svc" }, { "AdmissionCheck", true } } } },
                 { "Limits", { { "MaxBodyBytes", 262144 } } },
                 { "Tenants", { { { "Name", "a" }, { "ApiKeys", { "key-a" } } } } } })
            .dump());
    std::vector<std::shared_ptr<Server>> ways;
    std::vector<std::unique_ptr<Edge>> edges;
    ways.reserve(3);
    edges.reserve(3);
    for (int i = 0; i < 3; ++i) {
        ways.push_back(store.serve(i));
        edges.push_back(std::make_unique<Edge>(i, directory, ways.back()->address()));
        edges.back()->start();
    }
    if (!waitFor(10000,
            [&] { return std::all_of(edges.begin(), edges.end(), [](const auto& edge) { return edge->ready(); }); }))
        return 2;
    pause(3000);

    const auto submit = [&](Edge& edge, const std::string& queue, const std::string& id, Json step) {
        step.update({ { "Count", 1 }, { "Cpu", 1000 }, { "RequestedMb", 1024 }, { "Gpu", 1 } });
        const Json body = { { "Spec", "s" }, { "Steps", { step } } };
        const Reply reply = call(edge.front(), "POST", "/" + queue + "/" + id, headers(), body.dump());
        note("%s answers %d to POST /%s/%s %s", edge.name().c_str(), reply.status, queue.c_str(), id.c_str(),
            step.dump().c_str());
        return reply.status == 200;
    };
    SeenRun first;
    if (!submit(*edges[0], "serve", lasting, { { "LongRunning", true } }) || !waitFor(5000, [&] {
            for (const SeenRun& run : log.all())
                first = run;
            return first.run > 0;
        }))
        return 2;
    int owner = 0;
    {
        const Lock lock(mutex);
        if (!writers.count(first.token))
            return 2;
        owner = writers[first.token];
    }
    note("the starts are ordered by %s", edges[static_cast<std::size_t>(owner)]->name().c_str());
    Edge& killed = *edges[static_cast<std::size_t>(owner)];
    Edge& other = *edges[static_cast<std::size_t>((owner + 1) % 3)];
    pause(8000);
    if (trouble)
        minions[first.minion]->losePower();
    pause(killedAfter);
    double acceptedAt = 0;
    std::thread client([&] {
        if (submit(other, "batch", brief, { { "EstimateMs", 2000 } }))
            acceptedAt = now();
    });
    if (trouble) {
        killed.kill(SIGKILL);
        pause(restartedAfter);
        killed.start();
    }
    const double calmFrom = now();
    client.join();
    if (acceptedAt == 0)
        return 2;

    // The longest time without a run, with at least 54 of 56 accelerators free.
    double idle[2] = { 0, 0 };
    const double from = now();
    while (now() < from + watchFor) {
        pause(10);
        double lastEnd[2] = { 0, acceptedAt };
        bool works[2] = { false, false };
        for (const SeenRun& run : log.all()) {
            const int which = isOf(run, lasting) ? 0 : 1;
            works[which] = works[which] || run.endedAt < 0 || (which == 1 && run.how == "done");
            lastEnd[which] = std::max(lastEnd[which], run.endedAt);
        }
        const double judgedFrom[2] = { std::max(lastEnd[0] + graceAfterRun, calmFrom + calmBefore),
            std::max(lastEnd[1], calmFrom + calmBefore) };
        for (int which = 0; which < 2; ++which)
            if (!works[which])
                idle[which] = std::max(idle[which], now() - judgedFrom[which]);
    }
    note("the lasting task did not run for %.0f ms, from 6 s after its last run and 4 s after the last disruption on",
        idle[0]);
    note("the job of one task did not run for %.0f ms, from 4 s after the last disruption on", idle[1]);
    std::printf("%.0f ms lasting, %.0f ms accepted\n", idle[0], idle[1]);
    for (const auto& edge : edges)
        edge->kill(SIGKILL);
    std::fflush(nullptr);
    ::_exit(idle[0] >= idleLimit ? 1 : 0); // the rule names lasting tasks for any time of the day
}
