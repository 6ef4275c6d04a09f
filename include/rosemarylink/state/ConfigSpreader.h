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

// The configuration in force on this instance, and its exchange with the others. A version only ever replaces a lower
// one. An accepted version is announced to all peers at once; a peer pulls it from the one that announced it, or later
// from any whose heartbeat shows a higher version than its own. Works without the store. Safe to use from several
// threads; nothing blocks.
class ConfigSpreader {
public:
    ConfigSpreader(MembershipChannel&, const Clock&);

    // Called with each version that comes into force, in rising order and one at a time. The listener must not adopt a
    // version itself. Set before the first other call.
    using Listener = std::function<void(const config::ConfigInForce&)>;
    void setListener(Listener);

    // The configuration in force; null before the first one. A decision keeps the pointer, so that it is made under one
    // version although a later one comes into force meanwhile.
    std::shared_ptr<const config::ConfigInForce> inForce() const;

    // 0 before the first one.
    ConfigVersion version() const;

    // Puts a stored version into force here. False when it is not higher than the one in force.
    bool adopt(const config::ConfigInForce&);

    // Tells peers of the version in force, so that they pull it.
    void announce(const std::vector<InstanceId>& peers);

    // A peer shows this version, by an announcement or a heartbeat: pulls it when it is higher than the one in force.
    void peerShows(const InstanceId& peer, ConfigVersion);

    // Messages of the types below.
    Status handleAnnouncement(const InstanceId& from, const nlohmann::json&);
    Status handlePull(const InstanceId& from, const nlohmann::json&);
    Status handleTransfer(const InstanceId& from, const nlohmann::json&);

    static constexpr const char* announcementType = "config.announce";
    static constexpr const char* pullType = "config.pull";
    static constexpr const char* transferType = "config.transfer";

    // A pull that brought nothing within this time is repeated when a peer shows the version again.
    static constexpr Milliseconds pullTimeout { 500 };

private:
    MembershipChannel& channel_;
    const Clock& clock_;
    Listener listener_;

    std::mutex adoptMutex_; // held while a version is put into force, listener included

    mutable std::mutex mutex_; // protects the members below
    std::shared_ptr<const config::ConfigInForce> inForce_;
    ConfigVersion pulledVersion_;
    Milliseconds pulledAt_ { 0 };
};

} // namespace rosemarylink::state
