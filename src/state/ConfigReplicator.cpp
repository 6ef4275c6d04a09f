#include "rosemarylink/state/ConfigReplicator.h"

#include "rosemarylink/base/Log.h"

namespace rosemarylink::state {

namespace {

    const Logger logger("config");

} // namespace

ConfigReplicator::ConfigReplicator(MembershipChannel& channel, const Clock& clock)
    : channel_(channel)
    , clock_(clock)
{
}

void ConfigReplicator::setListener(Listener listener) { listener_ = std::move(listener); }

std::shared_ptr<const config::ConfigInForce> ConfigReplicator::inForce() const
{
    const std::lock_guard lock(mutex_);
    return inForce_;
}

ConfigVersion ConfigReplicator::version() const
{
    const std::lock_guard lock(mutex_);
    return inForce_ ? inForce_->version : ConfigVersion(0);
}

bool ConfigReplicator::adopt(const config::ConfigInForce& config)
{
    const std::lock_guard adopting(adoptMutex_);
    const auto current = inForce();
    if (current && config.version <= current->version) {
        if (config.version == current->version && config.operation != current->operation)
            logger.error("two changes have the same version; the one in force is kept",
                { { "version", config.version }, { "kept", current->operation }, { "refused", config.operation } });
        return false;
    }
    {
        const std::lock_guard lock(mutex_);
        inForce_ = std::make_shared<const config::ConfigInForce>(config);
    }
    logger.info("version in force",
        { { "version", config.version }, { "preset", model::presetName(config.declarations.preset) } });
    if (listener_)
        listener_(config);
    return true;
}

void ConfigReplicator::announce(const std::vector<InstanceId>& peers)
{
    const ConfigVersion announced = version();
    if (announced == ConfigVersion(0))
        return;
    const auto body = messages::toJson(messages::ConfigAnnouncement { announced });
    for (const InstanceId& peer : peers)
        channel_.notify(peer, announcementType, body);
}

void ConfigReplicator::handlePeerVersion(const InstanceId& peer, ConfigVersion peerVersion)
{
    ConfigVersion ownVersion;
    {
        const std::lock_guard lock(mutex_);
        ownVersion = inForce_ ? inForce_->version : ConfigVersion(0);
        const Milliseconds now = clock_.monotonic();
        const bool pullPending = peerVersion <= requestedVersion_ && now - requestedAt_ < pullTimeout;
        if (peerVersion <= ownVersion || pullPending)
            return;
        requestedVersion_ = peerVersion;
        requestedAt_ = now;
    }
    channel_.notify(peer, pullType, messages::toJson(messages::ConfigPull { ownVersion }));
}

Status ConfigReplicator::handleAnnouncement(const InstanceId& from, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(announcement, messages::parseConfigAnnouncement(body));
    handlePeerVersion(from, announcement.version);
    return okStatus();
}

Status ConfigReplicator::handlePull(const InstanceId& from, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(pull, messages::parseConfigPull(body));
    const auto current = inForce();
    if (current && current->version > pull.have)
        channel_.notify(from, transferType, config::toJson(*current));
    return okStatus();
}

Status ConfigReplicator::handleTransfer(const InstanceId&, const nlohmann::json& body)
{
    BOOST_OUTCOME_TRY(transferred, config::parseConfigInForce(body));
    adopt(transferred);
    return okStatus();
}

} // namespace rosemarylink::state
