#pragma once

#include "rosemarylink/state/ConfigReplicator.h"
#include "rosemarylink/state/Membership.h"

#include <functional>
#include <vector>

namespace rosemarylink::state {

// The load that the instance reports with each heartbeat.
struct InstanceLoad {
    std::vector<messages::CellLoad> cells; // owned cells
    std::int64_t busySlots = 0; // request slots of upstreams in use
};

// The instances that a configuration version has and has not reached.
struct ConfigCoverage {
    ConfigVersion version;
    // True when every live instance, including this one, has reported the version or a later one. Always false before
    // the platform's list of instances is known.
    bool everywhere = false;
    std::vector<InstanceId> behind; // live instances that have not reported it yet
    std::vector<InstanceId> expired; // instances whose membership lease ran out before they reported it
};

// Tracks the other instances and the configuration in force: sends and receives heartbeats, combines them with the
// platform's list, and pulls later configuration versions. It has no thread of its own: the owner calls sendHeartbeats
// once per heartbeatInterval. Thread-safe; no method blocks.
class MembershipAgent {
public:
    // The incarnation must be higher than that of every earlier process with the same id, such as the wall-clock time
    // of the start in milliseconds.
    MembershipAgent(const InstanceId& self, messages::InstanceRole, Incarnation, MembershipChannel&, const Clock&,
        const MembershipOptions& = {});

    // Sets the function that sendHeartbeats calls for the load. Call it before the first sendHeartbeats.
    void setLoad(std::function<InstanceLoad()>);

    // Sets the state to Starting, Ready or Leaving and sends it to the peers immediately.
    void setState(messages::InstanceState);
    messages::InstanceState state() const;

    // Sends a heartbeat to every other instance that is listed or live.
    void sendHeartbeats();

    // Handles a message whose type is one of messageTypes. Fails when the body cannot be parsed.
    Status receive(const InstanceId& from, const std::string& type, const nlohmann::json& body);
    static const std::vector<std::string>& messageTypes();

    // Puts a stored version into force on this instance and announces it to all others. Returns false when it is not
    // higher than the one in force.
    bool adoptAndAnnounce(const config::ConfigInForce&);

    // Sets whether this instance watches the configuration record; sent with the next heartbeat.
    void setWatching(bool);

    // True when a live peer has reported that it watches the configuration record.
    bool hasLiveWatcher() const;

    ConfigCoverage coverage(ConfigVersion) const;

    // True when a configuration is in force, the platform's list is known, and every live peer has reported a version
    // that is not higher. A listed peer without a heartbeat keeps this false until its lease has expired. An instance
    // that starts during a store outage must not accept work before this is true.
    bool upToDate() const;

    Membership& membership() { return membership_; }
    const Membership& membership() const { return membership_; }
    ConfigReplicator& config() { return config_; }
    const ConfigReplicator& config() const { return config_; }

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
    ConfigReplicator config_;

    mutable std::mutex mutex_;
    messages::InstanceState state_ = messages::InstanceState::Starting;
    bool watching_ = false;
};

} // namespace rosemarylink::state
