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
    constexpr Milliseconds tickInterval { 1000 };

    // Covers two heartbeats of the peers and the delay of the platform's instance list.
    constexpr Milliseconds membershipSettleTime { 4000 };

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

    // The platform's list of instances, plus the peers from the settings that it does not list. Reading the list also
    // announces this instance to the platform when that is due.
    class PlatformDirectory final : public state::InstanceDirectory {
    public:
        PlatformDirectory(const InstanceNodeOptions& options, transport::PlatformClient& platform,
            const transport::WebSocketLinks& links, const Clock& clock)
            : options_(options)
            , platform_(platform)
            , links_(links)
            , clock_(clock)
        {
        }

        Result<std::vector<state::ListedInstance>> list() override
        {
            if (!leaving_)
                announce();
            BOOST_OUTCOME_TRY(entries, platform_.listInstances());
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
            for (const state::ListedInstance& peer : options_.peers) {
                const auto isPeer = [&peer](const state::ListedInstance& instance) { return instance.id == peer.id; };
                if (std::none_of(listed.begin(), listed.end(), isPeer))
                    listed.push_back(peer);
            }
            return listed;
        }

        // Called before the departure is announced, since a later announcement would revert it.
        void stopAnnouncing() { leaving_ = true; }

    private:
        void announce()
        {
            const Milliseconds now = clock_.monotonic();
            if (announcedAt_ && now - *announcedAt_ < announcementInterval)
                return;
            platform::InstanceEntry entry;
            entry.id = options_.self;
            entry.role = std::string(messages::instanceRoleName(options_.role));
            entry.address = options_.host + ":" + std::to_string(links_.port());
            entry.region = options_.region;
            entry.failureDomain = options_.failureDomain;
            if (platform_.announceInstance(entry))
                announcedAt_ = now;
        }

        const InstanceNodeOptions& options_;
        transport::PlatformClient& platform_;
        const transport::WebSocketLinks& links_;
        const Clock& clock_;
        std::optional<Milliseconds> announcedAt_;
        std::atomic<bool> leaving_ { false };
    };

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
    , directory_(std::make_unique<PlatformDirectory>(options_, platform_, *links_, clock))
{
    transport::MembershipServiceOptions service;
    service.self = options.self;
    service.role = options.role;
    service.listInterval = options.refreshInterval;
    service_ = std::make_unique<transport::MembershipService>(service, *links_, store, *directory_, clock);
    service_->registerHandlers();
}

InstanceNode::~InstanceNode() { stop(); }

void InstanceNode::stop()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
        stopRequested_.notify_all();
    }
    if (thread_.joinable())
        thread_.join();
    service_->stop();
    links_->stop();
}

void InstanceNode::setHandler(const std::string& type, transport::InstanceLinks::Handler handler)
{
    links_->setHandler(type, std::move(handler));
}

void InstanceNode::setLoad(std::function<state::InstanceLoad()> load) { agent().setLoad(std::move(load)); }

void InstanceNode::setConfigListener(state::ConfigReplicator::Listener listener)
{
    agent().config().setListener(std::move(listener));
}

void InstanceNode::setTickListener(std::function<void()> listener) { tickListener_ = std::move(listener); }

Status InstanceNode::start()
{
    BOOST_OUTCOME_TRYV(links_->start());
    service_->start();
    thread_ = std::thread([this] { run(); });
    logger().info("instance links listening", { { "instance", options_.self }, { "port", links_->port() } });
    return okStatus();
}

void InstanceNode::leave()
{
    agent().setState(messages::InstanceState::Leaving);
    static_cast<PlatformDirectory&>(*directory_).stopAnnouncing();
    if (const auto status = platform_.announceLeaving(options_.self); !status)
        logger().warning("departure not announced to the platform", { { "error", status.error().message } });
}

std::vector<InstanceId> InstanceNode::readyInstances(messages::InstanceRole role) const
{
    std::vector<InstanceId> ready;
    if (role == options_.role && agent().state() != messages::InstanceState::Leaving)
        ready.push_back(options_.self);
    for (const state::Member& member : agent().membership().members()) {
        if (member.heartbeat && member.heartbeat->role == role && isReady(member.state))
            ready.push_back(member.id);
    }
    std::sort(ready.begin(), ready.end());
    return ready;
}

bool InstanceNode::membershipSettled() const
{
    const Milliseconds since = readySince_;
    return since.count() > 0 && clock_.monotonic() - since >= membershipSettleTime;
}

void InstanceNode::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        lock.unlock();
        tick();
        lock.lock();
        stopRequested_.wait_for(lock, tickInterval, [this] { return stopping_; });
    }
}

void InstanceNode::tick()
{
    // An instance accepts work once no peer is known to have a later configuration.
    if (agent().state() == messages::InstanceState::Starting && agent().upToDate()) {
        agent().setState(messages::InstanceState::Ready);
        readySince_ = clock_.monotonic();
        logger().info("instance ready", { { "instance", options_.self }, { "version", agent().config().version() } });
    }
    exportMetrics();
    if (tickListener_)
        tickListener_();
}

void InstanceNode::exportMetrics()
{
    exportProcessUsage(metrics_);
    metrics_.gauge("rosemarylink_config_version", "Configuration version in force on this instance.")
        .set(static_cast<double>(agent().config().version().value()));
    metrics_.gauge("rosemarylink_link_bytes", "Bytes sent and received over the instance links.")
        .set(static_cast<double>(links_->bytesTransferred()));
    metrics_.gauge("rosemarylink_connected_peers", "Instances with a working link.")
        .set(static_cast<double>(links_->connectedPeers().size()));
}

} // namespace rosemarylink::node
