// A minion has more ends to report than fit into one report, because the store is slow to take note of them. Guards
// against runs that count as lost because they are neither running nor among the first 500 ends (rule TWICE).
#include "Script.h"

#include <random>

int main(int argc, char** argv)
{
    if (argc < 2)
        return 2;
    constexpr int tasks = 620;
    constexpr int milliCores = 100; // of each task; a minion has 64 cores
    constexpr int megabytes = 256;
    constexpr unsigned spread = 800; // of the tasks' work, in milliseconds
    constexpr lab::Ms slowAnswer = 60 * lab::storeAnswerMs;
    constexpr lab::Ms slowFor = 4500;
    std::mt19937 random(std::random_device {}());
    lab::Minion::room = 64000 / milliCores;
    lab::Script script(argv[1]);
    lab::Minion::workOf = [&](const std::string&) { return lab::Ms(2500 + random() % spread); };
    bool slow = false;
    script.store.interceptor = [&](const lab::Message&, const lab::Respond&, const std::function<void()>& serve) {
        if (!slow)
            return false;
        script.loop.after(slowAnswer - lab::storeAnswerMs, serve);
        return true;
    };
    if (!script.awaitReady())
        return script.cannotRun("the instances did not become ready");
    const lab::Json job = { { "Spec", "review" },
        { "Steps",
            { { { "Count", tasks }, { "Cpu", milliCores }, { "RequestedMb", megabytes }, { "EstimateMs", 2500 } } } } };
    const auto accepted = script.callAndWait(0, "POST", script.newId(), job.dump(), 3000);
    if (accepted.status != 200)
        return script.cannotRun("the job was not accepted");
    script.runFor(1000);
    if (script.trouble()) {
        slow = true;
        script.record.line("the store is slow");
        script.loop.after(slowFor, [&] {
            slow = false;
            script.record.line("the store is as usual");
        });
    }
    script.runFor(15000);
    std::map<std::string, int> perMinion;
    for (const lab::Run& run : script.runs.all())
        ++perMinion[run.minion];
    for (const auto& [minion, count] : perMinion)
        script.record.line(std::to_string(count) + " runs on " + minion);
    return script.finish("TWICE", script.runs.doubles);
}
