#include "rosemarylink/transport/MembershipService.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/state/ConfigWatcher.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace rosemarylink::transport {

namespace {

    const Logger logger("membership");

    class LinksChannel final : public state::MembershipChannel {
    public:
        explicit LinksChannel(InstanceLinks& links)
            : links_(links)
        {
        }
        void notify(const InstanceId& to, const std::string& type, const nlohmann::json& body) override
        {
            links_.notify(to, type, body);
        }

    private:
        InstanceLinks& links_;
    };

    // Calls each step periodically on its own thread, so that a slow store does not delay heartbeats.
    class StepThreads {
    public:
        ~StepThreads() { stop(); }

        void add(Milliseconds interval, std::function<void()> step)
        {
            threads_.emplace_back([this, interval, step = std::move(step)] {
                do
                    step();
                while (!waitForStop(interval));
            });
        }

        void stop()
        {
            {
                const std::lock_guard lock(mutex_);
                stopping_ = true;
            }
            changed_.notify_all();
            for (std::thread& thread : threads_)
                thread.join();
            threads_.clear();
        }

    private:
        bool waitForStop(Milliseconds limit)
        {
            std::unique_lock lock(mutex_);
            return changed_.wait_for(lock, limit, [this] { return stopping_; });
        }

        std::mutex mutex_;
        std::condition_variable changed_;
        bool stopping_ = false;
        std::vector<std::thread> threads_;
    };

    // Between the steps of the duties and of the watch.
    constexpr Milliseconds stepInterval { 250 };

    Incarnation incarnationFrom(const Clock& clock) { return Incarnation(toMilliseconds(clock.now())); }

} // namespace

struct MembershipService::State {
    State(const MembershipServiceOptions& serviceOptions, InstanceLinks& instanceLinks, state::KeyValueStore& store,
        state::InstanceDirectory& instanceDirectory, const Clock& systemClock)
        : options(serviceOptions)
        , links(instanceLinks)
        , directory(instanceDirectory)
        , clock(systemClock)
        , channel(instanceLinks)
        , agent(serviceOptions.self, serviceOptions.role, incarnationFrom(systemClock), channel, systemClock)
        , configStore(store, systemClock)
        , auditLog(store)
        , watcher(store, systemClock, serviceOptions.self, agent)
        , retention(store, systemClock, serviceOptions.self, "audit-retention")
        , rateLimitedLog("membership", systemClock, Milliseconds(60000))
    {
    }

    void readList();
    void watchStep();
    void dutiesStep();

    MembershipServiceOptions options;
    InstanceLinks& links;
    state::InstanceDirectory& directory;
    const Clock& clock;
    LinksChannel channel;
    state::MembershipAgent agent;
    state::ConfigStore configStore;
    state::AuditLog auditLog;
    state::ConfigWatcher watcher;
    state::DutyLease retention;
    RepeatedLog rateLimitedLog;
    bool refreshed = false; // used by the watch thread only
    Milliseconds nextRetention { 0 }; // used by the duty thread only
    bool started = false;
    StepThreads threads;
};

void MembershipService::State::readList()
{
    const auto list = directory.list();
    if (!list) {
        rateLimitedLog.warning("the platform's list of instances cannot be read; the last one stays in use");
        return;
    }
    agent.membership().setListed(list.value());
    std::vector<PeerAddress> peers;
    for (const state::ListedInstance& instance : agent.membership().peers())
        peers.push_back({ instance.id, instance.host, instance.port });
    links.setPeers(peers);
}

void MembershipService::State::watchStep()
{
    if (!refreshed)
        refreshed = watcher.refresh().has_value();
    if (!watcher.watch(options.watchTimeout))
        rateLimitedLog.warning("the configuration cannot be read from the store; the version in force stays in force");
}

void MembershipService::State::dutiesStep()
{
    watcher.tickDuty();
    retention.tick();
    const Milliseconds now = clock.monotonic();
    if (!retention.held() || now < nextRetention)
        return;
    const auto removed = auditLog.removeExpired(clock.now());
    nextRetention = now + options.retentionInterval;
    if (removed && removed.value() > 0)
        logger.info("expired audit pages removed", { { "pages", removed.value() } });
}

MembershipService::MembershipService(const MembershipServiceOptions& options, InstanceLinks& links,
    state::KeyValueStore& store, state::InstanceDirectory& directory, const Clock& clock)
    : state_(std::make_shared<State>(options, links, store, directory, clock))
{
}

MembershipService::~MembershipService() { stop(); }

void MembershipService::registerHandlers()
{
    for (const std::string& type : state::MembershipAgent::messageTypes()) {
        state_->links.setHandler(
            type, [weak = std::weak_ptr<State>(state_), type](const InstanceId& from, const nlohmann::json& body) {
                const auto state = weak.lock();
                const Status handled = state ? state->agent.receive(from, type, body) : okStatus();
                return handled ? Result<nlohmann::json>(nlohmann::json::object())
                               : Result<nlohmann::json>(handled.error());
            });
    }
}

void MembershipService::start()
{
    State& state = *state_;
    state.started = true;
    state.threads.add(state.options.heartbeatInterval, [&state] { state.agent.sendHeartbeats(); });
    state.threads.add(state.options.listInterval, [&state] { state.readList(); });
    state.threads.add(stepInterval, [&state] { state.dutiesStep(); });
    state.threads.add(stepInterval, [&state] { state.watchStep(); });
}

void MembershipService::stop()
{
    if (!state_->started)
        return;
    state_->started = false;
    state_->threads.stop();
    state_->watcher.releaseDuty();
    state_->retention.release();
}

Result<state::ConfigAcceptance> MembershipService::propose(const state::ConfigProposal& proposal)
{
    BOOST_OUTCOME_TRY(accepted, state_->configStore.propose(proposal));
    state_->agent.adoptAndAnnounce(accepted.current);
    return std::move(accepted);
}

state::MembershipAgent& MembershipService::agent() { return state_->agent; }

state::ConfigStore& MembershipService::configStore() { return state_->configStore; }

state::AuditLog& MembershipService::auditLog() { return state_->auditLog; }

} // namespace rosemarylink::transport
