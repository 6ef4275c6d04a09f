#pragma once

#include "rosemarylink/state/ConfigSpreader.h"
#include "rosemarylink/state/Membership.h"

#include <functional>
#include <vector>

namespace rosemarylink::state {

// What the instance reports of itself with each heartbeat.
struct InstanceLoad {
    std::vector<messages::CellLoad> cells; // owned cells
    std::int64_t busySlots = 0; // request slots of upstreams in use
};

// How far a configuration version has come.
struct ConfigCoverage {
    ConfigVersion version;
    // True when every live instance has reported the version or a later one, this one included. Never true before the
    // platform's list of instances is known.
    bool everywhere = false;
    std::vector<InstanceId> behind; // live instances that have not reported it yet
    std::vector<InstanceId> lapsed; // instances whose membership lease ran out before they reported it
};

// The membership and configuration part that every instance runs: sends and receives heartbeats, joins them with the
// platform's list, and keeps the configuration in force up to date. It has no thread; beat is called once in a
// heartbeat interval. Safe to use from several threads; nothing blocks.
class MembershipAgent {
public:
    // The incarnation must be higher than that of every earlier process with the same id; wall-clock milliseconds at
    // the start serve.
    MembershipAgent(const InstanceId& self, messages::InstanceRole, Incarnation, MembershipChannel&, const Clock&,
        const MembershipOptions& = {});

    // Called for each heartbeat. Set before the first beat.
    void setLoad(std::function<InstanceLoad()>);

    // Starting, Ready or Leaving; peers are told at once.
    void setState(messages::InstanceState);
    messages::InstanceState state() const;

    // Sends a heartbeat to every other instance that is listed or live.
    void beat();

    // Handles a message of one of messageTypes.
    Status receive(const InstanceId& from, const std::string& type, const nlohmann::json& body);
    static const std::vector<std::string>& messageTypes();

    // Puts a stored version into force here and announces it to all others. False when it is not higher.
    bool adoptAndAnnounce(const config::ConfigInForce&);

    // Set by the watcher; carried by the next heartbeat.
    void setWatching(bool);

    // True when a live peer has reported that it watches the configuration record.
    bool watcherHeard() const;

    ConfigCoverage coverage(ConfigVersion) const;

    // True when a configuration is in force and no live peer shows a higher version; peers that are listed but not
    // heard yet count as unknown until their lease has run out. An instance that starts during a store outage must not
    // take work before this holds.
    bool upToDate() const;

    Membership& membership() { return membership_; }
    const Membership& membership() const { return membership_; }
    ConfigSpreader& config() { return config_; }
    const ConfigSpreader& config() const { return config_; }

    static constexpr const char* heartbeatType = "heartbeat";
    static constexpr Milliseconds heartbeatInterval { 1000 };

private:
    std::vector<InstanceId> recipients() const;

    const InstanceId self_;
    const messages::InstanceRole role_;
    const Incarnation incarnation_;
    MembershipChannel& channel_;
    std::function<InstanceLoad()> load_;
    Membership membership_;
    ConfigSpreader config_;

    mutable std::mutex mutex_;
    messages::InstanceState state_ = messages::InstanceState::Starting;
    bool watching_ = false;
};

} // namespace rosemarylink::state
