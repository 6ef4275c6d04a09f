#include "rosemarylink/node/InstanceNode.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/base/ProcessUsage.h"

#include <Poco/NumberParser.h>

#include <algorithm>

namespace rosemarylink::node {

namespace {

    const Logger& logger()
    {
        static const Logger log("node");
        return log;
    }

    constexpr Milliseconds platformTimeout { 2000 };
    constexpr Milliseconds announcementInterval { 5000 };
    constexpr Milliseconds dutyInterval { 500 };

    // Waiting watches count as one call each; a long wait keeps their number low.
    constexpr Milliseconds watchTimeout { 10000 };

    // Between tries to read the configuration while the store is down.
    constexpr Milliseconds watchRetry { 1000 };

    // Two heartbeats of the others and the platform's lag.
    constexpr Milliseconds settleTime { 4000 };

    class LinkChannel final : public state::MembershipChannel {
    public:
        explicit LinkChannel(transport::InstanceLinks& links)
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

    transport::LinkOptions linkOptions(const InstanceNodeOptions& options)
    {
        transport::LinkOptions links;
        links.self = options.self;
        links.host = options.host;
        links.port = options.linkPort;
        return links;
    }

    std::optional<state::ListedInstance> parseAddress(const std::string& address)
    {
        const auto colon = address.rfind(':');
        unsigned port = 0;
        if (colon == std::string::npos || !Poco::NumberParser::tryParseUnsigned(address.substr(colon + 1), port)
            || port == 0 || port > 65535)
            return std::nullopt;
        state::ListedInstance instance;
        instance.host = address.substr(0, colon);
        instance.port = static_cast<int>(port);
        return instance;
    }

    std::vector<state::ListedInstance> toListed(const std::vector<platform::InstanceEntry>& entries)
    {
        std::vector<state::ListedInstance> listed;
        for (const platform::InstanceEntry& entry : entries) {
            auto instance = parseAddress(entry.address);
            if (!instance)
                continue;
            instance->id = entry.id;
            instance->region = entry.region;
            instance->failureDomain = entry.failureDomain;
            instance->leaving = entry.leaving;
            listed.push_back(*instance);
        }
        return listed;
    }

    bool isReady(messages::InstanceState state)
    {
        return state == messages::InstanceState::Ready || state == messages::InstanceState::Silent;
    }

} // namespace

Result<std::vector<state::ListedInstance>> parsePeers(const std::vector<std::string>& texts)
{
    std::vector<state::ListedInstance> peers;
    for (const std::string& text : texts) {
        const auto at = text.find('@');
        auto instance = at == std::string::npos ? std::nullopt : parseAddress(text.substr(at + 1));
        if (!instance || at == 0)
            return invalidArgument("[links] key \"peers\" has the value \"" + text + "\"; it must be id@host:port");
        instance->id = InstanceId(text.substr(0, at));
        peers.push_back(*instance);
    }
    return peers;
}

InstanceNode::InstanceNode(
    const InstanceNodeOptions& options, state::KeyValueStore& store, const Clock& clock, MetricsRegistry& metrics)
    : options_(options)
    , clock_(clock)
    , metrics_(metrics)
    , platform_(options.platformAddress, platformTimeout)
    , links_(std::make_unique<transport::WebSocketLinks>(linkOptions(options)))
    , channel_(std::make_unique<LinkChannel>(*links_))
    , agent_(std::make_unique<state::MembershipAgent>(
          options.self, options.role, Incarnation(toMilliseconds(clock.now())), *channel_, clock))
    , configStore_(store, clock)
    , watcher_(std::make_unique<state::ConfigWatcher>(store, clock, options.self, *agent_))
{
    for (const std::string& type : state::MembershipAgent::messageTypes()) {
        links_->setHandler(
            type, [this, type](const InstanceId& from, const nlohmann::json& body) -> Result<nlohmann::json> {
                BOOST_OUTCOME_TRYV(agent_->receive(from, type, body));
                return nlohmann::json::object();
            });
    }
}

InstanceNode::~InstanceNode()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        stopRequested_.notify_all();
    }
    for (std::thread& thread : threads_)
        thread.join();
    links_->stop();
}

void InstanceNode::setHandler(const std::string& type, transport::InstanceLinks::Handler handler)
{
    links_->setHandler(type, std::move(handler));
}

void InstanceNode::setLoad(std::function<state::InstanceLoad()> load) { agent_->setLoad(std::move(load)); }

void InstanceNode::setConfigListener(state::ConfigSpreader::Listener listener)
{
    agent_->config().setListener(std::move(listener));
}

void InstanceNode::setBeatListener(std::function<void()> listener) { beatListener_ = std::move(listener); }

Status InstanceNode::start()
{
    BOOST_OUTCOME_TRYV(links_->start());
    if (!options_.peers.empty()) {
        agent_->membership().setListed(options_.peers);
        refreshInstances();
    }
    startThread(state::MembershipAgent::heartbeatInterval, [this] { beat(); });
    startThread(options_.refreshInterval, [this] { refreshInstances(); });
    startThread(dutyInterval, [this] { watcher_->tickDuty(); });
    startThread(Milliseconds(0), [this] { watchConfig(); });
    logger().info("links open", { { "instance", options_.self }, { "port", links_->port() } });
    return okStatus();
}

void InstanceNode::leave()
{
    agent_->setState(messages::InstanceState::Leaving);
    if (const auto status = platform_.announceLeaving(options_.self); !status)
        logger().warning("the platform was not told of the departure", { { "error", status.error().message } });
    watcher_->releaseDuty();
}

std::vector<InstanceId> InstanceNode::readyInstances(messages::InstanceRole role) const
{
    std::vector<InstanceId> ready;
    if (role == options_.role && agent_->state() != messages::InstanceState::Leaving)
        ready.push_back(options_.self);
    for (const state::Member& member : agent_->membership().members()) {
        if (member.heartbeat && member.heartbeat->role == role && isReady(member.state))
            ready.push_back(member.id);
    }
    std::sort(ready.begin(), ready.end());
    return ready;
}

bool InstanceNode::settled() const
{
    const Milliseconds since = readySince_;
    return since.count() > 0 && clock_.monotonic() - since >= settleTime;
}

void InstanceNode::startThread(Milliseconds interval, std::function<void()> task)
{
    threads_.emplace_back([this, interval, task = std::move(task)] {
        do {
            task();
        } while (waitFor(interval));
    });
}

bool InstanceNode::waitFor(Milliseconds duration)
{
    std::unique_lock lock(mutex_);
    return !stopRequested_.wait_for(lock, duration, [this] { return stopping_; });
}

void InstanceNode::beat()
{
    agent_->beat();
    agent_->membership().tick();
    // An instance takes work once it knows that no peer has a later configuration.
    if (agent_->state() == messages::InstanceState::Starting && agent_->upToDate()) {
        agent_->setState(messages::InstanceState::Ready);
        readySince_ = clock_.monotonic();
        logger().info("ready", { { "instance", options_.self }, { "version", agent_->config().version() } });
    }
    exportMetrics();
    if (beatListener_)
        beatListener_();
}

void InstanceNode::refreshInstances()
{
    const Milliseconds now = clock_.monotonic();
    if (agent_->state() != messages::InstanceState::Leaving
        && (lastAnnouncement_.count() == 0 || now - lastAnnouncement_ >= announcementInterval)) {
        platform::InstanceEntry entry;
        entry.id = options_.self;
        entry.role = std::string(messages::instanceRoleName(options_.role));
        entry.address = options_.host + ":" + std::to_string(links_->port());
        entry.region = options_.region;
        entry.failureDomain = options_.failureDomain;
        if (platform_.announceInstance(entry))
            lastAnnouncement_ = now;
    }
    // While the platform does not answer, the last list stays.
    if (const auto listed = platform_.listInstances())
        agent_->membership().setListed(toListed(listed.value()));
    std::vector<transport::PeerAddress> addresses;
    for (const state::ListedInstance& peer : agent_->membership().peers())
        addresses.push_back({ peer.id, peer.host, peer.port });
    links_->setPeers(addresses);
}

void InstanceNode::watchConfig()
{
    const bool first = agent_->config().version() == ConfigVersion(0);
    Status status = okStatus();
    if (first && !watcher_->onDuty())
        status = watcher_->refresh();
    else if (watcher_->onDuty())
        status = watcher_->watch(watchTimeout);
    const bool reachable = status.has_value();
    if (storeReachable_.exchange(reachable) && !reachable)
        logger().warning("the configuration cannot be read", { { "error", status.error().message } });
    if (!reachable || !watcher_->onDuty())
        waitFor(watchRetry);
}

void InstanceNode::exportMetrics()
{
    exportProcessUsage(metrics_);
    metrics_.gauge("rosemarylink_config_version", "Configuration version in force on this instance.")
        .set(static_cast<double>(agent_->config().version().value()));
    metrics_.gauge("rosemarylink_link_bytes", "Bytes sent and received over the instance links.")
        .set(static_cast<double>(links_->bytesTransferred()));
    metrics_.gauge("rosemarylink_connected_peers", "Instances with a working link.")
        .set(static_cast<double>(links_->connectedPeers().size()));
    metrics_.gauge("rosemarylink_store_reachable", "1 while the store answers the configuration watch.")
        .set(storeReachable_ ? 1 : 0);
}

} // namespace rosemarylink::node
