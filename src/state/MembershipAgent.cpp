#include "rosemarylink/state/MembershipAgent.h"

#include <algorithm>

namespace rosemarylink::state {

using messages::InstanceState;

MembershipAgent::MembershipAgent(const InstanceId& self, messages::InstanceRole role, Incarnation incarnation,
    MembershipChannel& channel, const Clock& clock, const MembershipOptions& options)
    : self_(self)
    , role_(role)
    , incarnation_(incarnation)
    , channel_(channel)
    , membership_(self, clock, options)
    , config_(channel, clock)
{
}

void MembershipAgent::setLoad(std::function<InstanceLoad()> load) { load_ = std::move(load); }

void MembershipAgent::setState(InstanceState state)
{
    {
        const std::lock_guard lock(mutex_);
        state_ = state;
    }
    sendHeartbeats();
}

InstanceState MembershipAgent::state() const
{
    const std::lock_guard lock(mutex_);
    return state_;
}

void MembershipAgent::setWatching(bool watching)
{
    const std::lock_guard lock(mutex_);
    watching_ = watching;
}

bool MembershipAgent::hasLiveWatcher() const
{
    const auto members = membership_.members();
    return std::any_of(members.begin(), members.end(), [](const Member& member) {
        return member.live() && member.state != InstanceState::Silent && member.heartbeat && member.heartbeat->watching;
    });
}

std::vector<InstanceId> MembershipAgent::recipients() const
{
    std::vector<InstanceId> result;
    for (const Member& member : membership_.members()) {
        if (member.listed || member.live())
            result.push_back(member.id);
    }
    return result;
}

void MembershipAgent::sendHeartbeats()
{
    membership_.tick();
    const InstanceLoad load = load_ ? load_() : InstanceLoad {};
    messages::Heartbeat heartbeat;
    heartbeat.incarnation = incarnation_;
    heartbeat.role = role_;
    {
        const std::lock_guard lock(mutex_);
        heartbeat.state = state_;
        heartbeat.watching = watching_;
    }
    heartbeat.config = config_.version();
    heartbeat.cells = load.cells;
    heartbeat.busySlots = load.busySlots;
    const auto body = messages::toJson(heartbeat);
    for (const InstanceId& peer : recipients())
        channel_.notify(peer, heartbeatType, body);
}

const std::vector<std::string>& MembershipAgent::messageTypes()
{
    static const std::vector<std::string> types { heartbeatType, ConfigReplicator::announcementType,
        ConfigReplicator::pullType, ConfigReplicator::transferType };
    return types;
}

Status MembershipAgent::receive(const InstanceId& from, const std::string& type, const nlohmann::json& body)
{
    if (type == ConfigReplicator::announcementType)
        return config_.handleAnnouncement(from, body);
    if (type == ConfigReplicator::pullType)
        return config_.handlePull(from, body);
    if (type == ConfigReplicator::transferType)
        return config_.handleTransfer(from, body);
    BOOST_OUTCOME_TRY(heartbeat, messages::parseHeartbeat(body));
    if (membership_.handleHeartbeat(from, heartbeat))
        config_.handlePeerVersion(from, heartbeat.config);
    return okStatus();
}

bool MembershipAgent::adoptAndAnnounce(const config::ConfigInForce& config)
{
    if (!config_.adopt(config))
        return false;
    config_.announce(recipients());
    return true;
}

ConfigCoverage MembershipAgent::coverage(ConfigVersion version) const
{
    ConfigCoverage coverage;
    coverage.version = version;
    if (config_.version() < version)
        coverage.behind.push_back(self_);
    for (const Member& member : membership_.members()) {
        if (member.configVersion() >= version)
            continue;
        (member.live() ? coverage.behind : coverage.expired).push_back(member.id);
    }
    coverage.everywhere = membership_.listKnown() && coverage.behind.empty();
    return coverage;
}

bool MembershipAgent::upToDate() const
{
    const ConfigVersion own = config_.version();
    if (own == ConfigVersion(0) || !membership_.listKnown())
        return false;
    for (const Member& member : membership_.members()) {
        if (!member.live())
            continue;
        if (!member.heartbeat || member.configVersion() > own)
            return false;
    }
    return true;
}

} // namespace rosemarylink::state
