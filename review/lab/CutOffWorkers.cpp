// Minions are cut off from the store and from all machines of the system, and run on. Their entries lapse before their
// leases do. Guards against work that is started elsewhere while it still runs (rule TWICE).
#include "Script.h"

int main(int argc, char** argv)
{
    if (argc < 2)
        return 2;
    lab::Script script(argv[1]);
    lab::Minion::workOf = [](const std::string&) { return lab::Ms(7600); }; // of arrears-sweep
    if (!script.awaitReady())
        return script.cannotRun("the instances did not become ready");
    // Four sweeps of 24 tasks: about a quarter of the accelerators.
    int accepted = 0;
    for (int i = 0; i < 4; ++i)
        accepted += script.callAndWait(i, "POST", script.newId(), lab::Script::job({ 24 }, 7600), 3000).status == 200
            ? 1
            : 0;
    if (accepted < 4)
        return script.cannotRun("a job was not accepted");
    script.runFor(1000);
    // 8 of the 48 minions, a sixth: those with the most tasks.
    std::map<std::string, int> load;
    for (const lab::Run& run : script.runs.all())
        load[run.minion] += run.end < 0 ? 1 : 0;
    std::vector<lab::Minion*> byLoad;
    for (const auto& minion : script.minions)
        byLoad.push_back(minion.get());
    std::stable_sort(byLoad.begin(), byLoad.end(), [&](auto* a, auto* b) { return load[a->id()] > load[b->id()]; });
    byLoad.resize(8);
    if (script.trouble()) {
        for (lab::Minion* minion : byLoad) {
            script.record.line("cut off: " + minion->id() + " with " + std::to_string(load[minion->id()]) + " tasks");
            minion->setCutOff(true);
        }
    }
    constexpr lab::Ms fromStore = 5000; // the longest srv_cut
    constexpr lab::Ms fromMachines = 5500; // the longest node_cut of servers
    script.runFor(fromStore);
    if (script.trouble()) {
        for (lab::Minion* minion : byLoad)
            minion->setCutOffFromStore(false);
        script.record.line("the cut from the store has healed");
    }
    script.runFor(fromMachines - fromStore);
    if (script.trouble()) {
        for (lab::Minion* minion : byLoad)
            minion->setCutOffFromMachines(false);
        script.record.line("the cut from the machines has healed");
    }
    script.runFor(14000);
    return script.finish("TWICE", script.runs.doubles);
}
