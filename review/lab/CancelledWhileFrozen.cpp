// A machine freezes with a submission in its socket, the client gives up and cancels through another machine, and the
// first machine wakes. Guards against tasks of a job whose cancelling was acknowledged (rule UNASKED).
#include "Script.h"

#include <csignal>

int main(int argc, char** argv)
{
    if (argc < 2)
        return 2;
    constexpr lab::Ms freeze = 3500;
    constexpr lab::Ms deadline = 3000;
    lab::Script script(argv[1]);
    if (!script.awaitReady())
        return script.cannotRun("the instances did not become ready");
    const int owner = script.owner();
    if (owner < 0)
        return script.cannotRun("there is no owner");
    const int count = static_cast<int>(script.edges.size());
    const int frozen = (owner + 1) % count;
    const int other = (owner + 2) % count;
    script.record.line("the owner is " + script.edges[static_cast<std::size_t>(owner)]->name());
    const lab::Edge& machine = *script.edges[static_cast<std::size_t>(frozen)];
    if (script.trouble()) {
        script.record.line("freezes: " + machine.name());
        machine.signal(SIGSTOP);
        script.loop.after(freeze, [&] {
            script.record.line("wakes: " + machine.name());
            machine.signal(SIGCONT);
        });
    }
    script.runFor(100);
    const std::string id = script.newId();
    script.callAndWait(frozen, "POST", id, lab::Script::job({ 3, 3, 3 }, 2500), deadline);
    const auto cancelled = script.callAndWait(other, "DELETE", id, "", deadline);
    const bool acknowledged = (cancelled.status >= 200 && cancelled.status < 300) || cancelled.status == 410;
    if (!acknowledged)
        return script.cannotRun("the cancelling was not acknowledged");
    script.runFor(12000);
    script.callAndWait(other, "GET", id, "", deadline);
    std::vector<std::string> breaches;
    for (const lab::Run& run : script.runs.all()) {
        if (run.task.compare(0, id.size(), id) == 0 && run.begin > cancelled.at + lab::cancelMs)
            breaches.push_back(run.task + " begins at " + std::to_string(run.begin) + " ms, "
                + std::to_string(run.begin - cancelled.at) + " ms after the cancelling was acknowledged with "
                + std::to_string(cancelled.status));
    }
    return script.finish("UNASKED", breaches);
}
