// A timed job of priority 0 whose occurrences overlap needs more than the service has for a while. Guards against
// occurrences that stop each other in turn, so that none of them ends and other tenants' guaranteed jobs do not begin
// (rule RECLAIM).
#include "Script.h"

#include <chrono>

int main(int argc, char** argv)
{
    if (argc < 2)
        return 2;
    // Of meter-statement: at most 18 tasks of at most 8 accelerators and 8 s, 6 times, every 2 s.
    constexpr int width = 18;
    constexpr int times = 6;
    constexpr lab::Ms work = 8000;
    constexpr lab::Ms overlapping = 2000;
    constexpr lab::Ms apart = 10000;
    constexpr lab::Ms reclaimMs = 2900;
    constexpr lab::Ms watched = 75000;
    lab::Script script(argv[1]);
    lab::Minion::room = 1; // each task needs all accelerators of a minion
    lab::Minion::workOf = [&](const std::string&) { return work; };
    if (!script.awaitReady())
        return script.cannotRun("the instances did not become ready");
    const auto job = [&](int count, int repetitions, lab::Ms interval) {
        lab::Json body = { { "Spec", "review" },
            { "Steps",
                { { { "Count", count }, { "Cpu", 7500 }, { "RequestedMb", 31000 }, { "Gpu", 8 },
                    { "EstimateMs", work } } } } };
        if (repetitions > 0) {
            const auto unixNow = std::chrono::system_clock::now().time_since_epoch();
            body["Repetitions"] = repetitions;
            body["IntervalMs"] = interval;
            body["StartAtMs"] = std::chrono::duration_cast<std::chrono::milliseconds>(unixNow).count() + 200;
        }
        return body.dump();
    };
    const std::string timed = script.newId();
    const std::string other = script.newId();
    lab::Ms acceptedAt = -1;
    bool timedAccepted = false;
    script.callAs(0, "POST", "/statement/" + timed, "key-1", job(width, times, script.trouble() ? overlapping : apart),
        3000, [&](const lab::Script::Answer& answer) { timedAccepted = answer.status == 200; });
    script.loop.after(10000, [&] {
        script.callAs(
            1, "POST", "/statement/" + other, "key-2", job(4, 0, 0), 3000, [&](const lab::Script::Answer& answer) {
                if (answer.status == 200)
                    acceptedAt = answer.at;
            });
    });
    script.runFor(watched);
    if (!timedAccepted || acceptedAt < 0)
        return script.cannotRun("a job was not accepted");
    for (const auto& [id, key] : { std::make_pair(timed, "key-1"), std::make_pair(other, "key-2") })
        script.callAs(2, "GET", "/statement/" + id, key, "", 3000, [](const lab::Script::Answer&) {});
    script.runFor(500);
    std::map<std::string, lab::Ms> begun; // first begin of each of the other job's tasks
    std::map<std::string, int> ends; // of the timed job's runs
    for (const lab::Run& run : script.runs.all()) {
        if (run.task.compare(0, other.size(), other) == 0)
            begun.emplace(run.task, run.begin);
        else
            ++ends[run.end < 0 ? "still runs" : run.how];
    }
    for (const auto& [how, count] : ends)
        script.record.line("runs of the timed job: " + std::to_string(count) + " " + how);
    std::vector<std::string> breaches;
    lab::Ms last = 0;
    for (const auto& [task, at] : begun)
        last = std::max(last, at);
    if (begun.size() < 4)
        breaches.push_back("of 4 tasks of the other tenant's job " + std::to_string(begun.size())
            + " have begun within " + std::to_string(script.record.time() - acceptedAt) + " ms of its acknowledgement");
    else if (last > acceptedAt + reclaimMs)
        breaches.push_back("the last of 4 tasks of the other tenant's job begins " + std::to_string(last - acceptedAt)
            + " ms after its acknowledgement");
    return script.finish("RECLAIM", breaches);
}
