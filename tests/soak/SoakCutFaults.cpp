#include "Soak.h"
#include "rosemarylink/jobs/Catalog.h"

#include <algorithm>
#include <csignal>
#include <sstream>

// The faults of the soak test that are injected while workers are cut off.
namespace rosemarylink::soak {

namespace {

    // Longer than the store lease of an owner, 1.8 s.
    constexpr int shortestOwnershipFaultMs = 1900;
    constexpr int longestOwnershipFaultMs = 4000;

    // How much sooner than the others the former owner reaches the store again.
    constexpr Milliseconds ownerAdvance { 400 };

    constexpr int longestWriteDelayMs = 1200; // exceeds the time-outs of writes

    // A write that is executed this late meets the next owner's records.
    constexpr Milliseconds lostWriteDelay { 8000 };

    constexpr int shortestShortCutMs = 300;
    constexpr int longestShortCutMs = 4400;
    constexpr int shortestDownTimeMs = 50;
    constexpr int longestDownTimeMs = 2500;

} // namespace

void Soak::injectDuringCut(const std::set<WorkerId>& cut, Milliseconds duration)
{
    for (CutFault& fault : cutFaults_) {
        const auto& with = options_.with;
        if (options_.cutsOnly && std::find(with.begin(), with.end(), fault.name) == with.end())
            continue;
        for (int count = 0; count < fault.perCut; ++count)
            (this->*fault.inject)({ fault.random, cut, duration });
    }
}

// Returns the instance that the store names as the owner, null if there is none.
EdgeInstance* Soak::findOwner()
{
    const jobs::Record* const record = store_.find(jobs::keys::ownership);
    const std::string name = record ? record->value.substr(0, record->value.find(' ')) : "";
    for (const auto& instance : instances_) {
        if (instance->name() == name)
            return instance.get();
    }
    return nullptr;
}

Proxy& Soak::storeLinkOf(const EdgeInstance& instance)
{
    const auto position = std::find_if(instances_.begin(), instances_.end(),
        [&instance](const auto& candidate) { return candidate.get() == &instance; });
    return *storeProxies_[static_cast<std::size_t>(position - instances_.begin())];
}

void Soak::holdLink(Proxy& link, Milliseconds duration)
{
    ProxyFault fault;
    fault.holdRequests = true;
    fault.holdAnswers = true;
    link.setFault(fault);
    schedule(duration, [&link] { link.setFault({}); });
}

// Makes the owner lose its ownership, or fail to store what it knows, without an end of its process.
void Soak::injectOwnershipFault(const CutPeriod& cut)
{
    const Milliseconds delay = randomDuration(cut.random, 0, static_cast<int>(cut.duration.count()));
    const Milliseconds duration = randomDuration(cut.random, shortestOwnershipFaultMs, longestOwnershipFaultMs);
    const int kind = randomIndex(cut.random, 6);
    WriteFault fault;
    fault.share = std::uniform_real_distribution<>(0.5, 1)(cut.random);
    const Milliseconds writeDelay = randomDuration(cut.random, 0, longestWriteDelayMs);
    schedule(delay, [this, kind, duration, fault, writeDelay] {
        EdgeInstance* const owner = findOwner();
        if (faultInjectionEnded_)
            return;
        if (kind < 2) {
            ++faultCounts_["store-down-for-all"];
            store_.mode = kind == 0 ? jobs::SimStore::Mode::Refusing : jobs::SimStore::Mode::Silent;
            schedule(duration, [this] { store_.mode = jobs::SimStore::Mode::Up; });
        } else if (kind == 2 && owner) {
            ++faultCounts_["owner-without-store"];
            holdLink(storeLinkOf(*owner), duration);
        } else if (kind == 3 && owner) {
            ++faultCounts_["owner-first-to-reach-store"];
            for (const auto& instance : instances_)
                holdLink(storeLinkOf(*instance), instance.get() == owner ? duration : duration + ownerAdvance);
        } else if (kind > 3) {
            ++faultCounts_[kind == 4 ? "writes-lose-answers" : "writes-late"];
            writeFault_ = fault;
            writeFault_.loseAnswers = kind == 4;
            (kind == 4 ? writeFault_.executionDelay : writeFault_.answerDelay) = writeDelay;
            schedule(duration, [this] { writeFault_ = {}; });
        }
    });
}

// Restarts workers under their ids while they are cut off, so that nobody sees it before the cut heals. Besides, cuts
// off others for shorter than a lease, of which some restart as well.
void Soak::injectRebirths(const CutPeriod& cut)
{
    const auto rebirth = [this, &cut](const WorkerId& id, Milliseconds cutFor) {
        const Milliseconds delay = randomDuration(cut.random, 0, static_cast<int>(cutFor.count()));
        const Milliseconds downFor = randomDuration(cut.random, shortestDownTimeMs, longestDownTimeMs);
        schedule(delay, [this, id, downFor] {
            if (faultInjectionEnded_ || !fleet_.isUp(id))
                return;
            ++faultCounts_["rebirth"];
            fleet_.crash(id);
            workers_.at(id).proxy->breakConnections(/*reset=*/true);
            schedule(downFor, [this, id] {
                if (fleet_.isUp(id))
                    return;
                fleet_.restart(id);
                if (workers_.at(id).proxy->isOpen())
                    publishWorker(id);
            });
        });
    };
    for (const WorkerId& id : cut.workers) {
        if (randomIndex(cut.random, 2) == 0)
            rebirth(id, cut.duration);
    }
    for (const auto& [id, member] : workers_) {
        if (cut.workers.count(id) > 0 || randomIndex(cut.random, 8) > 0)
            continue;
        const bool resets = randomIndex(cut.random, 2) == 0;
        const Milliseconds duration = randomDuration(cut.random, shortestShortCutMs, longestShortCutMs);
        const bool restarts = randomIndex(cut.random, 2) == 0;
        cutOff(id, resets, duration);
        if (restarts)
            rebirth(id, duration);
    }
}

// Gives an instance, mostly the owner, short slices of processor time. The stops are too short to end an ownership by
// themselves.
void Soak::injectLittleProcessorTime(const CutPeriod& cut)
{
    const Milliseconds delay = randomDuration(cut.random, 0, static_cast<int>(cut.duration.count()));
    const Milliseconds duration = randomDuration(cut.random, 2000, 6000);
    const Milliseconds stopped = randomDuration(cut.random, 100, 400);
    const Milliseconds running = randomDuration(cut.random, 20, 80);
    const bool choosesOwner = randomIndex(cut.random, 3) > 0;
    const int number = randomIndex(cut.random, options_.instances);
    schedule(delay, [this, duration, stopped, running, choosesOwner, number] {
        EdgeInstance* const owner = choosesOwner ? findOwner() : nullptr;
        ++faultCounts_["little-processor-time"];
        runInSlices(owner ? *owner : *instances_[static_cast<std::size_t>(number)], now() + duration, stopped, running);
    });
}

void Soak::runInSlices(EdgeInstance& instance, Milliseconds until, Milliseconds stopped, Milliseconds running)
{
    if (faultInjectionEnded_ || now() >= until)
        return;
    instance.sendSignal(SIGSTOP);
    schedule(stopped, [this, &instance, until, stopped, running] {
        instance.sendSignal(SIGCONT);
        schedule(
            running, [this, &instance, until, stopped, running] { runInSlices(instance, until, stopped, running); });
    });
}

// Lets workers stand still for 0.3 to 1.5 s, cut off or not.
void Soak::pauseWorkers(const CutPeriod& cut)
{
    for (const auto& [id, member] : workers_) {
        if (randomIndex(cut.random, 2) == 0)
            continue;
        const Milliseconds delay = randomDuration(cut.random, 0, static_cast<int>(cut.duration.count()));
        const Milliseconds duration = randomDuration(cut.random, 300, 1500);
        schedule(delay, [this, id = id, duration] {
            if (faultInjectionEnded_)
                return;
            ++faultCounts_["worker-pause"];
            fleet_.standStill(id, duration, Milliseconds(0));
        });
    }
}

// Cuts off further workers by a network that loses packets for a time and delivers all in the end, also the calls that
// their senders have given up.
void Soak::suspendLinks(const CutPeriod& cut)
{
    const Milliseconds delay = randomDuration(cut.random, 0, 1000);
    const Milliseconds duration = randomDuration(cut.random, 1000, 8000);
    std::vector<WorkerId> ids;
    for (const auto& [id, member] : workers_) {
        if (randomIndex(cut.random, 6) == 0 && cut.workers.count(id) == 0)
            ids.push_back(id);
    }
    schedule(delay, [this, ids, duration] {
        if (faultInjectionEnded_)
            return;
        ++faultCounts_["late-delivery"];
        for (const WorkerId& id : ids)
            workers_.at(id).proxy->setSuspended(true);
    });
    if (duration > options_.registrationLife) {
        schedule(delay + options_.registrationLife, [this, ids] {
            for (const WorkerId& id : ids) {
                if (!faultInjectionEnded_)
                    store_.remove("servers/" + id.value());
            }
        });
    }
    schedule(delay + duration, [this, ids] {
        for (const WorkerId& id : ids) {
            workers_.at(id).proxy->setSuspended(false);
            if (fleet_.isUp(id))
                publishWorker(id);
        }
    });
}

// Loses most writes of progress, then cuts off workers whose last ends the owner has seen and could not store, then
// takes its ownership: for longer than that of the others, or so that it wins the next one too.
void Soak::loseOwnershipWithUnsavedEnds(const CutPeriod& cut)
{
    // The next owner waits for workers that are cut off while they are idle, so the others are back by then.
    const Milliseconds delay = cut.duration - Milliseconds(1000);
    const Milliseconds writesLostFor = randomDuration(cut.random, 3600, 5000);
    const Milliseconds cutAfter = delay + randomDuration(cut.random, 500, 1500);
    const Milliseconds lossAfter = cutAfter + randomDuration(cut.random, 700, 2000);
    const Milliseconds lossDuration = randomDuration(cut.random, shortestOwnershipFaultMs, longestOwnershipFaultMs);
    const Milliseconds cutFor = randomDuration(cut.random, 5000, 8500);
    const bool ownerReturns = randomIndex(cut.random, 2) == 0;
    std::vector<WorkerId> ids;
    for (const auto& [id, member] : workers_) {
        if (randomIndex(cut.random, 6) == 0 && cut.workers.count(id) == 0)
            ids.push_back(id);
    }
    schedule(delay, [this, writesLostFor] {
        if (faultInjectionEnded_)
            return;
        writeFault_.share = 1;
        writeFault_.progressOnly = true;
        writeFault_.loseAnswers = true;
        writeFault_.executionDelay = lostWriteDelay;
        schedule(writesLostFor, [this] { writeFault_ = {}; });
    });
    schedule(cutAfter, [this, ids, cutFor] {
        for (const WorkerId& id : ids) {
            // The owner notices the cut of a worker with runs, and the next one waits long for others.
            if (!faultInjectionEnded_ && fleet_.runningOn(id) > 0)
                cutOff(id, /*resets=*/true, cutFor);
        }
    });
    schedule(lossAfter, [this, lossDuration, ownerReturns] {
        EdgeInstance* const owner = findOwner();
        if (faultInjectionEnded_ || !owner)
            return;
        ++faultCounts_["ownership-lost-with-unsaved-ends"];
        holdLink(storeLinkOf(*owner), lossDuration);
        for (const auto& instance : instances_) {
            if (ownerReturns && instance.get() != owner)
                holdLink(storeLinkOf(*instance), lossDuration + ownerAdvance);
        }
    });
}

void Soak::cutPath(std::size_t instance, const WorkerId& id, Milliseconds duration)
{
    Proxy& path = workers_.at(id).proxy->path(instance);
    path.setOpen(false);
    path.breakConnections(/*reset=*/false);
    schedule(duration, [&path] { path.setOpen(true); });
}

// Cuts the owner off from the store for longer than a lease, and the other instances off from a few workers with runs,
// which the owner reaches. Mostly, it reaches no others. The runs are long enough to be there at the end.
void Soak::splitFleet(const CutPeriod& cut)
{
    const Milliseconds delay = randomDuration(cut.random, 1500, 2500);
    const Milliseconds duration = options_.workerLease + randomDuration(cut.random, 3000, 8000);
    const bool ownerReachesOthers = randomIndex(cut.random, 3) == 0;
    const int keptOneIn = 2 + randomIndex(cut.random, 6);
    std::ostringstream name;
    name << std::hex << cut.random();
    jobs::JobSpec spec = jobs::oneStep(options_.workers / 2, 1, delay + duration, /*gang=*/false);
    spec.payload = "work";
    if (now() < splitUntil_)
        return;
    splitUntil_ = now() + delay + duration;
    add(name.str(), "batch", spec);
    schedule(delay, [this, duration, ownerReachesOthers, keptOneIn, &random = cut.random] {
        EdgeInstance* const owner = findOwner();
        if (faultInjectionEnded_ || !owner)
            return;
        ++faultCounts_[ownerReachesOthers ? "owner-without-store-and-dark-workers" : "fleet-split"];
        holdLink(storeLinkOf(*owner), duration);
        for (const auto& [id, member] : workers_) {
            const bool kept = fleet_.runningOn(id) > 0 && randomIndex(random, keptOneIn) == 0;
            for (std::size_t instance = 0; instance < instances_.size(); ++instance) {
                const bool isOwner = instances_[instance].get() == owner;
                if (kept != isOwner && (kept || !ownerReachesOthers))
                    cutPath(instance, id, duration);
            }
        }
    });
}

} // namespace rosemarylink::soak
