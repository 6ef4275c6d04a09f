#include "Soak.h"

#include <csignal>

// The faults that a soak injects from outside its processes.
namespace rosemarylink::soak {

namespace {

    // Faults come in overlapping series: each lasts up to some seconds, and the next comes after less.
    constexpr int shortestPause = 200; // ms
    constexpr int longestPause = 1200;

} // namespace

void Soak::injectNext()
{
    if (faultsOver_)
        return;
    const int kind = pick(faultRandom_, 16);
    if (kind < 6)
        injectProcessFault(kind);
    else if (kind < 9)
        injectLinkFault(*storeLinks_[static_cast<std::size_t>(pick(faultRandom_, options_.instances))]);
    else if (kind < 11)
        injectLinkFault(*workers_.at(WorkerId("w" + std::to_string(pick(faultRandom_, options_.workers)))).proxy);
    else if (kind < 14)
        injectStoreFault(kind - 11);
    else
        injectWorkerFault(kind - 14);
    later(between(faultRandom_, shortestPause, longestPause), [this] { injectNext(); });
}

void Soak::injectProcessFault(int kind)
{
    EdgeInstance& instance = *instances_[static_cast<std::size_t>(pick(faultRandom_, options_.instances))];
    switch (kind) {
    case 0:
        ++injected_["kill"];
        instance.signal(SIGKILL);
        return;
    case 1:
    case 2:
        ++injected_["pause"];
        instance.signal(SIGSTOP);
        later(between(faultRandom_, 200, 6000), [&instance] { instance.signal(SIGCONT); });
        return;
    case 3:
        ++injected_["terminate"];
        instance.signal(SIGTERM);
        later(Milliseconds(6000), [&instance, start = instance.starts()] {
            // The platform kills what is left after the time of grace; a process that was started since is another.
            if (instance.starts() == start)
                instance.signal(SIGKILL);
        });
        return;
    case 4:
        ++injected_["reload"];
        instance.writeSettings();
        instance.signal(SIGHUP);
        return;
    default:
        if (pick(faultRandom_, 3) > 0)
            return;
        ++injected_["kill-all"];
        for (const auto& each : instances_)
            each->signal(SIGKILL);
    }
}

void Soak::injectLinkFault(Proxy& link)
{
    LinkFault fault;
    switch (pick(faultRandom_, 5)) {
    case 0:
        ++injected_["delay"];
        fault.delay = between(faultRandom_, 50, 500);
        break;
    case 1:
        ++injected_["reset"];
        link.breakConnections(/*reset=*/true);
        return;
    case 2:
        ++injected_["silence"];
        link.breakConnections(/*reset=*/false);
        return;
    case 3:
        ++injected_["cut"];
        fault.holdRequests = true;
        fault.holdAnswers = true;
        break;
    default:
        ++injected_["one-way-cut"];
        (pick(faultRandom_, 2) == 0 ? fault.holdRequests : fault.holdAnswers) = true;
    }
    link.setFault(fault);
    later(between(faultRandom_, 500, 5000), [&link] { link.setFault({}); });
}

void Soak::injectStoreFault(int kind)
{
    switch (kind) {
    case 0:
        ++injected_["store-down"];
        store_.mode = pick(faultRandom_, 2) == 0 ? jobs::SimStore::Mode::Refusing : jobs::SimStore::Mode::Silent;
        later(between(faultRandom_, 300, 4000), [this] { store_.mode = jobs::SimStore::Mode::Up; });
        return;
    case 1:
        ++injected_["store-loses-answers"];
        store_.lostResponseShare = 0.3;
        store_.writeDelay = between(faultRandom_, 0, 3000);
        later(between(faultRandom_, 500, 3000), [this] { store_.lostResponseShare = 0; });
        return;
    default:
        ++injected_["store-forgets"];
        store_.forgetHistory();
        putConfiguration();
    }
}

void Soak::injectWorkerFault(int kind)
{
    if (kind == 0) {
        ++injected_["late-orders"];
        fleet_.delayedCommandShare = 0.2;
        fleet_.commandDelay = between(faultRandom_, 500, 4000);
        later(between(faultRandom_, 500, 3000), [this] { fleet_.delayedCommandShare = 0; });
        return;
    }
    const WorkerId id("w" + std::to_string(pick(faultRandom_, options_.workers)));
    const Milliseconds downFor = between(faultRandom_, 300, 2000);
    if (!fleet_.isUp(id))
        return;
    ++injected_["worker-crash"];
    fleet_.crash(id);
    workers_.at(id).proxy->breakConnections(/*reset=*/true);
    later(downFor, [this, id] {
        if (fleet_.isUp(id))
            return;
        fleet_.restart(id);
        publish(id);
    });
}

} // namespace rosemarylink::soak
