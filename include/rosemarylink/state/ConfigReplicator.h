#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Config.h"
#include "rosemarylink/generated/Messages.h"
#include "rosemarylink/state/MembershipChannel.h"

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace rosemarylink::state {

// Holds the configuration in force on this instance and exchanges it with the peers. A version only replaces a lower
// one. An accepted version is announced to all peers immediately; a peer pulls it from the instance that announced it,
// or later from any instance whose heartbeat reports a higher version than its own. The store is not used. Thread-safe;
// no method blocks.
class ConfigReplicator {
public:
    ConfigReplicator(MembershipChannel&, const Clock&);

    // Called with each version that is put into force, in increasing order and never concurrently. The listener must
    // not call adopt. Call setListener before any other method.
    using Listener = std::function<void(const config::ConfigInForce&)>;
    void setListener(Listener);

    // Returns the configuration in force, or null before the first one. Keep the returned pointer for the whole of a
    // decision, so that the decision uses one version even when a later one is put into force concurrently.
    std::shared_ptr<const config::ConfigInForce> inForce() const;

    // The version in force; 0 before the first one.
    ConfigVersion version() const;

    // Puts a stored version into force on this instance. Returns false when it is not higher than the one in force.
    bool adopt(const config::ConfigInForce&);

    // Sends the number of the version in force to the peers, which then pull the version.
    void announce(const std::vector<InstanceId>& peers);

    // Pulls the version that a peer has reported, by announcement or heartbeat, when it is higher than the one in
    // force.
    void handlePeerVersion(const InstanceId& peer, ConfigVersion);

    // Handle messages of the types below. Fail when the message cannot be parsed.
    Status handleAnnouncement(const InstanceId& from, const nlohmann::json&);
    Status handlePull(const InstanceId& from, const nlohmann::json&);
    Status handleTransfer(const InstanceId& from, const nlohmann::json&);

    static constexpr const char* announcementType = "config.announce";
    static constexpr const char* pullType = "config.pull";
    static constexpr const char* transferType = "config.transfer";

    // A pull without a transfer within this time is retried when a peer reports the version again.
    static constexpr Milliseconds pullTimeout { 500 };

private:
    MembershipChannel& channel_;
    const Clock& clock_;
    Listener listener_;

    std::mutex adoptMutex_; // held while a version is put into force, listener included

    mutable std::mutex mutex_; // protects the members below
    std::shared_ptr<const config::ConfigInForce> inForce_;
    ConfigVersion requestedVersion_;
    Milliseconds requestedAt_ { 0 };
};

} // namespace rosemarylink::state
