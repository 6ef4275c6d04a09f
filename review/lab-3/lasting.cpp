// A lasting task that has failed is not started again although there is room for it.
//
// usage: lasting data-rack|gang RECORD DIRECTORY
//
// Two machines; four minions with 8 accelerators each in two racks. A lasting task of one accelerator, in the queue of
// priority 2, fails 15 s after its start (TROUBLE=0: it does not fail).
// data-rack: the task's data is in a rack that other work fills, and a waiting task of priority 1 takes its place; in
// the other rack 8 accelerators are free. gang: no task names a rack; a gang of priority 1 waits for 24 accelerators,
// of which 12 are free.
#include "lab.h"

using namespace lab;

namespace {

constexpr double failsAfter = 15000;
constexpr double watchFor = 45000; // after the failure
constexpr double graceAfterRun = 6000; // the rule holds from then on
constexpr double idleLimit = 3000;

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

} // namespace

int main(int count, char** argv)
{
    if (count != 4)
        return 2;
    const bool trouble = !std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0";
    const bool gang = std::string(argv[1]) == "gang";
    recordFile() = std::fopen(argv[2], "w");
    const std::string directory = argv[3];

    std::mutex mutex;
    std::map<std::string, TaskNeeds> jobs; // by id
    const std::string lasting = "00000000000000aa";
    const Needs needs = [&](const std::string& task, int) {
        const Lock lock(mutex);
        TaskNeeds found = jobs[task.substr(0, 16)];
        if (task.compare(0, 16, lasting) == 0)
            found = { untilStopped, 1000, 1024, 1, "failed" };
        return found;
    };
    std::atomic<bool> failed { false };

    Store store;
    RunLog log;
    std::vector<std::unique_ptr<Minion>> minions;
    minions.reserve(4);
    for (int i = 0; i < 4; ++i)
        minions.push_back(std::make_unique<Minion>(
            "i-" + std::to_string(i), store, log, needs, MinionLimits {}, i < 2 ? "r1-1" : "r1-2"));
    store.put("op/config",
        Json({ { "Version", 1 }, { "Routes", { route("urgent", 0), route("batch", 1), route("serve", 2) } },
                 { "Services", { { { "Name", "svc" }, { "AdmissionCheck", true } } } },
                 { "Limits", { { "MaxBodyBytes", 262144 } } },
                 { "Tenants", { { { "Name", "a" }, { "ApiKeys", { "key-a" } } } } } })
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

    int submitted = 0;
    const auto submit = [&](const std::string& queue, const std::string& id, Json step, double workMs) {
        {
            const Lock lock(mutex);
            jobs[id] = { workMs };
        }
        step["Cpu"] = 1000;
        step["RequestedMb"] = 1024;
        step["Gpu"] = 1;
        const Json body = { { "Spec", "s" }, { "Steps", { step } } };
        const Edge& edge = *edges[static_cast<std::size_t>(++submitted % 2)];
        const Reply reply = call(edge.front(), "POST", "/" + queue + "/" + id, headers(), body.dump());
        note("%s answers %d to POST /%s/%s %s", edge.name().c_str(), reply.status, queue.c_str(), id.c_str(),
            step.dump().c_str());
        return reply.status == 200;
    };
    const auto running = [&](const std::string& id) {
        const auto runs = log.all();
        return std::count_if(runs.begin(), runs.end(),
            [&](const SeenRun& run) { return run.task.compare(0, 16, id) == 0 && run.endedAt < 0; });
    };
    int next = 0x1000;
    const auto newId = [&next] {
        char text[17];
        std::snprintf(text, sizeof text, "%016x", ++next);
        return std::string(text);
    };

    Json step = { { "Count", 1 }, { "LongRunning", true }, { "EstimateMs", 3600000 } };
    if (!gang)
        step["Affinity"] = "r1-1";
    if (!submit("serve", lasting, step, untilStopped) || !waitFor(5000, [&] { return running(lasting) == 1; }))
        return 2;
    const double startedAt = now();
    // Other work, which takes as long as its client says and longer than the script watches.
    const std::string filler = newId();
    if (gang) {
        if (!submit("batch", filler, { { "Count", 19 }, { "EstimateMs", 90000 } }, 90000)
            || !waitFor(5000, [&] { return running(filler) == 19; })
            || !submit("batch", newId(), { { "Count", 24 }, { "EstimateMs", 10000 }, { "Gang", true } }, 10000))
            return 2;
    } else {
        if (!submit("batch", filler, { { "Count", 16 }, { "EstimateMs", 150000 }, { "Affinity", "r1-1" } }, 150000)
            || !submit("batch", newId(), { { "Count", 8 }, { "EstimateMs", 150000 }, { "Affinity", "r1-2" } }, 150000)
            || !waitFor(5000, [&] { return running(filler) == 15; }))
            return 2;
    }
    pause(startedAt + failsAfter - now());
    if (trouble) {
        for (const auto& minion : minions)
            minion->endRunsOf(lasting);
        note("the lasting task fails");
    }
    const double from = now();
    double idleSince = -1, longest = 0; // not at work, with room for it twice over
    while (now() < from + watchFor) {
        pause(10);
        int used = 0;
        bool works = false;
        double lastEnd = 0;
        for (const SeenRun& run : log.all()) {
            const bool isLasting = run.task.compare(0, 16, lasting) == 0;
            used += run.endedAt < 0 ? 1 : 0; // each task takes one accelerator, which binds before cores and memory
            works = works || (isLasting && run.endedAt < 0);
            if (isLasting)
                lastEnd = std::max(lastEnd, run.endedAt);
        }
        if (works || 32 - used < 2 || now() < lastEnd + graceAfterRun)
            idleSince = -1;
        else if (idleSince < 0)
            idleSince = now();
        if (idleSince >= 0 && now() - idleSince > longest) {
            if (longest < idleLimit && now() - idleSince >= idleLimit)
                note("LOST: for 3 s the lasting task has not run, more than 6 s after its last run, with %d of 32 "
                     "accelerators in use",
                    used);
            longest = now() - idleSince;
        }
    }
    const bool works = running(lasting) == 1;
    note("longest time without the lasting task, from 6 s after its last run, with room for it twice over: %.0f ms; it "
         "%s at the end",
        longest, works ? "runs" : "does not run");
    std::printf("%.0f ms\n", longest);
    for (const auto& edge : edges)
        edge->kill(SIGKILL);
    std::fflush(nullptr);
    ::_exit(longest >= idleLimit ? 1 : 0);
}
