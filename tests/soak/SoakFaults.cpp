#include "Soak.h"

#include <csignal>

// The fault injection of the soak test.
namespace rosemarylink::soak {

namespace {

    // The pause between injections. Faults last up to 6 s, so that several overlap.
    constexpr int minimumPauseMs = 200;
    constexpr int maximumPauseMs = 1200;

} // namespace

void Soak::injectNext()
{
    if (faultInjectionEnded_)
        return;
    const int kind = randomIndex(faultRandom_, 16);
    if (kind < 6)
        injectProcessFault(kind);
    else if (kind < 9)
        injectProxyFault(*storeProxies_[static_cast<std::size_t>(randomIndex(faultRandom_, options_.instances))]);
    else if (kind < 11)
        injectProxyFault(
            *workers_.at(WorkerId("w" + std::to_string(randomIndex(faultRandom_, options_.workers)))).proxy);
    else if (kind < 14)
        injectStoreFault(kind - 11);
    else
        injectWorkerFault(kind - 14);
    schedule(randomDuration(faultRandom_, minimumPauseMs, maximumPauseMs), [this] { injectNext(); });
}

void Soak::injectProcessFault(int kind)
{
    EdgeInstance& instance = *instances_[static_cast<std::size_t>(randomIndex(faultRandom_, options_.instances))];
    switch (kind) {
    case 0:
        ++faultCounts_["kill"];
        instance.sendSignal(SIGKILL);
        return;
    case 1:
    case 2:
        ++faultCounts_["pause"];
        instance.sendSignal(SIGSTOP);
        schedule(randomDuration(faultRandom_, 200, 6000), [&instance] { instance.sendSignal(SIGCONT); });
        return;
    case 3:
        ++faultCounts_["terminate"];
        instance.sendSignal(SIGTERM);
        schedule(Milliseconds(6000), [&instance, start = instance.startCount()] {
            // The platform kills a process that still runs after the grace period, but not one that was started since.
            if (instance.startCount() == start)
                instance.sendSignal(SIGKILL);
        });
        return;
    case 4:
        ++faultCounts_["reload"];
        instance.writeSettings();
        instance.sendSignal(SIGHUP);
        return;
    default:
        if (randomIndex(faultRandom_, 3) > 0)
            return;
        ++faultCounts_["kill-all"];
        for (const auto& each : instances_)
            each->sendSignal(SIGKILL);
    }
}

template <typename Link> void Soak::injectProxyFault(Link& link)
{
    ProxyFault fault;
    switch (randomIndex(faultRandom_, 5)) {
    case 0:
        ++faultCounts_["delay"];
        fault.delay = randomDuration(faultRandom_, 50, 500);
        break;
    case 1:
        ++faultCounts_["reset"];
        link.breakConnections(/*reset=*/true);
        return;
    case 2:
        ++faultCounts_["silence"];
        link.breakConnections(/*reset=*/false);
        return;
    case 3:
        ++faultCounts_["cut"];
        fault.holdRequests = true;
        fault.holdAnswers = true;
        break;
    default:
        ++faultCounts_["one-way-cut"];
        (randomIndex(faultRandom_, 2) == 0 ? fault.holdRequests : fault.holdAnswers) = true;
    }
    link.setFault(fault);
    schedule(randomDuration(faultRandom_, 500, 5000), [&link] { link.setFault({}); });
}

void Soak::injectStoreFault(int kind)
{
    switch (kind) {
    case 0:
        ++faultCounts_["store-down"];
        store_.mode = randomIndex(faultRandom_, 2) == 0 ? jobs::SimStore::Mode::Refusing : jobs::SimStore::Mode::Silent;
        schedule(randomDuration(faultRandom_, 300, 4000), [this] { store_.mode = jobs::SimStore::Mode::Up; });
        return;
    case 1:
        ++faultCounts_["store-loses-answers"];
        store_.lostResponseShare = 0.3;
        store_.lostResponseWriteDelay = randomDuration(faultRandom_, 0, 3000);
        schedule(randomDuration(faultRandom_, 500, 3000), [this] { store_.lostResponseShare = 0; });
        return;
    default:
        ++faultCounts_["store-forgets"];
        store_.forgetHistory();
        storeConfiguration();
    }
}

void Soak::injectWorkerFault(int kind)
{
    if (kind == 0) {
        ++faultCounts_["late-orders"];
        fleet_.delayedCommandShare = 0.2;
        fleet_.commandDelay = randomDuration(faultRandom_, 500, 4000);
        schedule(randomDuration(faultRandom_, 500, 3000), [this] { fleet_.delayedCommandShare = 0; });
        return;
    }
    const WorkerId id("w" + std::to_string(randomIndex(faultRandom_, options_.workers)));
    const Milliseconds downFor = randomDuration(faultRandom_, 300, 2000);
    if (!fleet_.isUp(id))
        return;
    ++faultCounts_["worker-crash"];
    fleet_.crash(id);
    workers_.at(id).proxy->breakConnections(/*reset=*/true);
    schedule(downFor, [this, id] {
        if (fleet_.isUp(id))
            return;
        fleet_.restart(id);
        publishWorker(id);
    });
}

// Cuts a share of the workers off from the store and from all instances. They run on.
void Soak::cutOffNext()
{
    if (faultInjectionEnded_)
        return;
    ++faultCounts_["workers-cut-off"];
    const bool resets = randomIndex(cutRandom_, 2) == 0;
    const Milliseconds duration = randomDuration(cutRandom_, 4700, 8000);
    std::set<WorkerId> cut;
    for (const auto& [id, member] : workers_) {
        if (randomIndex(cutRandom_, options_.cutOneIn) > 0)
            continue;
        cutOff(id, resets, duration);
        cut.insert(id);
    }
    injectDuringCut(cut, duration);
    schedule(duration + randomDuration(cutRandom_, 500, 3000), [this] { cutOffNext(); });
}

void Soak::cutOff(const WorkerId& id, bool resets, Milliseconds duration)
{
    ProxyGroup& link = *workers_.at(id).proxy;
    link.setOpen(false);
    link.breakConnections(resets);
    if (duration > options_.registrationLife) {
        schedule(options_.registrationLife, [this, id] {
            if (!faultInjectionEnded_)
                store_.remove("servers/" + id.value());
        });
    }
    schedule(duration, [this, id, &link] {
        link.setOpen(true);
        if (fleet_.isUp(id))
            publishWorker(id);
    });
}

// Delays answers of all workers, each by itself, so that they overtake each other.
void Soak::delayAnswersNext()
{
    if (faultInjectionEnded_)
        return;
    ++faultCounts_["late-answers"];
    ProxyFault fault;
    fault.longestRandomDelay = randomDuration(cutRandom_, 20, 150);
    for (const auto& [id, member] : workers_)
        member.proxy->setFault(fault);
    schedule(randomDuration(cutRandom_, 1000, 4000), [this] {
        for (const auto& [id, member] : workers_)
            member.proxy->setFault({});
    });
    schedule(randomDuration(cutRandom_, 2000, 8000), [this] { delayAnswersNext(); });
}

} // namespace rosemarylink::soak
