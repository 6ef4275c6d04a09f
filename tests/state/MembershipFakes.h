#pragma once

#include "ConfigFakes.h"

#include "rosemarylink/state/ConfigWatcher.h"
#include "rosemarylink/state/MembershipAgent.h"
#include "rosemarylink/transport/InstanceLinks.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::state::fakes {

struct LinkMessage {
    InstanceId from;
    InstanceId to;
    std::string type;
    nlohmann::json body;
};

// Links that put messages into a queue, which the test delivers. Supports notifications only; membership makes no
// calls.
class FakeLinks final : public transport::InstanceLinks {
public:
    FakeLinks(InstanceId self, std::deque<LinkMessage>& queue)
        : self_(std::move(self))
        , queue_(queue)
    {
    }

    void setHandler(const std::string& type, Handler handler) override { handlers_[type] = std::move(handler); }
    void setPeers(const std::vector<transport::PeerAddress>&) override { }
    void notify(const InstanceId& to, const std::string& type, const nlohmann::json& body) override
    {
        queue_.push_back({ self_, to, type, body });
    }
    Result<nlohmann::json> call(const InstanceId&, const std::string&, const nlohmann::json&, Milliseconds) override
    {
        return unavailable("calls are not supported here", Verdict::NotRun);
    }
    std::vector<InstanceId> connectedPeers() const override { return {}; }
    std::int64_t bytesTransferred() const override { return 0; }

    void deliver(const LinkMessage& message) { handled_ = handlers_.at(message.type)(message.from, message.body); }

private:
    InstanceId self_;
    std::deque<LinkMessage>& queue_;
    std::map<std::string, Handler> handlers_;
    Result<nlohmann::json> handled_ = nlohmann::json();
};

class FakeChannel final : public MembershipChannel {
public:
    explicit FakeChannel(transport::InstanceLinks& links)
        : links_(links)
    {
    }
    void notify(const InstanceId& to, const std::string& type, const nlohmann::json& body) override
    {
        links_.notify(to, type, body);
    }

private:
    transport::InstanceLinks& links_;
};

// One process of an instance.
struct FakeInstance {
    FakeInstance(const InstanceId& instance, int partOfFleet, std::deque<LinkMessage>& queue, FakeStoreBackend& backend)
        : id(instance)
        , part(partOfFleet)
        , storeClient(backend)
        , links(instance, queue)
        , channel(links)
        , agent(instance, messages::InstanceRole::Gateway, Incarnation(backend.clock().monotonic().count() + 1),
              channel, backend.clock())
        , store(storeClient, backend.clock())
        , watcher(storeClient, backend.clock(), instance, agent)
    {
        for (const std::string& type : MembershipAgent::messageTypes()) {
            links.setHandler(
                type, [this, type](const InstanceId& from, const nlohmann::json& body) -> Result<nlohmann::json> {
                    const Status handled = agent.receive(from, type, body);
                    if (!handled)
                        return handled.error();
                    return nlohmann::json::object();
                });
        }
    }

    InstanceId id;
    int part; // the region; a partition separates the parts
    bool paused = false; // executes nothing; messages to it are queued
    bool silent = false; // its connections stay open and lose all messages
    bool refreshed = false;
    FakeStoreClient storeClient;
    FakeLinks links;
    FakeChannel channel;
    MembershipAgent agent;
    ConfigStore store;
    ConfigWatcher watcher;
};

// Several instances with a common store and network, driven by a manual clock. Checks that no process lowers its
// version and that all processes have the same declarations under the same version.
class FakeFleet {
public:
    explicit FakeFleet(int instances)
    {
        for (int number = 0; number < instances; ++number)
            start(InstanceId("instance-" + std::to_string(number)), number % 2);
        step(Milliseconds(3000));
    }

    void start(const InstanceId& id, int part)
    {
        clock.advance(Milliseconds(1)); // a later start has a higher incarnation
        auto instance = std::make_unique<FakeInstance>(id, part, queue_, backend);
        instance->storeClient.down = storeDown;
        instance->agent.config().setListener([this, last = ConfigVersion(0)](const auto& config) mutable {
            if (config.version <= last)
                faults.push_back("a process lowered its version to " + std::to_string(config.version.value()));
            last = config.version;
            checkSameEverywhere(config);
        });
        instances[id] = std::move(instance);
        listed.insert(id);
    }

    void kill(const InstanceId& id) { instances.erase(id); }

    void setStoreDown(bool down)
    {
        storeDown = down;
        for (auto& [id, instance] : instances)
            instance->storeClient.down = down;
    }

    FakeInstance& at(int number) { return *instances.at(InstanceId("instance-" + std::to_string(number))); }

    // Proposes a change through one instance, as a gateway does.
    Result<ConfigAcceptance> propose(FakeInstance& instance, const ConfigProposal& proposal)
    {
        auto outcome = instance.store.propose(proposal);
        if (outcome) {
            recordAcceptance(outcome.value(), proposal);
            instance.agent.adoptAndAnnounce(outcome.value().current);
        }
        return outcome;
    }

    // Advances the time in steps of 250 ms; each instance sends heartbeats once a second.
    void step(Milliseconds duration)
    {
        for (Milliseconds passed { 0 }; passed < duration; passed += Milliseconds(250)) {
            for (auto& [id, instance] : instances) {
                if (!instance->paused)
                    run(*instance);
            }
            deliver();
            ++ticks_;
            clock.advance(Milliseconds(250));
        }
    }

    bool everywhere(ConfigVersion version)
    {
        return std::all_of(instances.begin(), instances.end(), [&](const auto& entry) {
            return entry.second->paused || entry.second->agent.coverage(version).everywhere;
        });
    }

    // Steps until every instance reports the version in force everywhere. Returns the elapsed time.
    Milliseconds timeUntilEverywhere(ConfigVersion version, Milliseconds limit)
    {
        const Milliseconds begin = clock.monotonic();
        while (!everywhere(version) && clock.monotonic() - begin <= limit)
            step(Milliseconds(250));
        return clock.monotonic() - begin;
    }

    ConfigVersion highestAccepted() const { return accepted.empty() ? ConfigVersion(0) : accepted.rbegin()->first; }

    ManualClock clock;
    FakeStoreBackend backend { clock };
    std::map<InstanceId, std::unique_ptr<FakeInstance>> instances;
    std::set<InstanceId> listed; // the platform's list; a stopped instance stays until the test removes it
    bool partitioned = false;
    bool storeDown = false;
    std::map<ConfigVersion, OperationId> accepted;
    std::vector<std::string> faults; // violated invariants; tests check that it is empty

private:
    void run(FakeInstance& instance)
    {
        if (ticks_ % 8 == 0)
            readList(instance);
        if (ticks_ % 4 == 0)
            instance.agent.sendHeartbeats();
        instance.watcher.tickDuty();
        if (!instance.refreshed)
            instance.refreshed = instance.watcher.refresh().has_value();
        const Status watched = instance.watcher.watch(Milliseconds(0));
        if (!watched && !instance.storeClient.down)
            faults.push_back("the watch failed: " + watched.error().message);
    }

    void readList(FakeInstance& instance)
    {
        std::vector<ListedInstance> list;
        for (const InstanceId& id : listed)
            list.push_back({ id, "127.0.0.1", 1, RegionId("region"), FailureDomainId("domain"), false });
        instance.agent.membership().setListed(list);
    }

    void deliver()
    {
        std::deque<LinkMessage> kept;
        while (!queue_.empty()) {
            const LinkMessage message = std::move(queue_.front());
            queue_.pop_front();
            const auto to = instances.find(message.to);
            const auto from = instances.find(message.from);
            if (to == instances.end() || to->second->silent)
                continue;
            if (from != instances.end()
                && (from->second->silent || (partitioned && from->second->part != to->second->part)))
                continue;
            if (to->second->paused)
                kept.push_back(message);
            else
                to->second->links.deliver(message);
        }
        queue_ = std::move(kept);
    }

    void recordAcceptance(const ConfigAcceptance& acceptance, const ConfigProposal& proposal)
    {
        if (!acceptance.changed)
            return;
        const auto [position, added] = accepted.emplace(acceptance.version, proposal.operation);
        if (!added && position->second != proposal.operation)
            faults.push_back("two changes accepted as version " + std::to_string(acceptance.version.value()));
    }

    void checkSameEverywhere(const config::ConfigInForce& config)
    {
        const auto declarations = toJson(config.declarations);
        const auto [position, added] = declarationsOf_.emplace(config.version, declarations);
        if (!added && position->second != declarations)
            faults.push_back("two presets under version " + std::to_string(config.version.value()));
    }

    std::deque<LinkMessage> queue_;
    std::map<ConfigVersion, nlohmann::json> declarationsOf_;
    int ticks_ = 0;
};

} // namespace rosemarylink::state::fakes
