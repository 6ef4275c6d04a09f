#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/generated/Messages.h"
#include "rosemarylink/state/MembershipChannel.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace rosemarylink::state {

struct MembershipOptions {
    Milliseconds suspectAfter { 3000 }; // time without a heartbeat until Silent
    Milliseconds deadAfter { 6000 }; // the membership lease: time without a heartbeat until Gone
    Milliseconds forgetAfter { 600000 }; // time without a heartbeat until an unlisted instance is removed
};

// The last known state of another instance.
struct Member {
    InstanceId id;
    std::optional<ListedInstance> listed; // absent when the platform does not list the instance
    messages::InstanceState state = messages::InstanceState::Starting;
    std::optional<messages::Heartbeat> heartbeat; // the last one received; absent before the first
    Milliseconds lastSeenAt { 0 }; // monotonic time of the last heartbeat, or of the first listing

    bool live() const { return state != messages::InstanceState::Gone; }
    ConfigVersion configVersion() const { return heartbeat ? heartbeat->config : ConfigVersion(0); }
};

// The other instances of the system, from the platform's list, which lags, and from heartbeats. A listed instance
// without a heartbeat is Starting until deadAfter; an unlisted instance that sends heartbeats has the state it reports.
// Thread-safe; no method blocks.
class Membership {
public:
    Membership(const InstanceId& self, const Clock&, const MembershipOptions& = {});

    // Replaces the platform's list; this instance's own entry is ignored.
    void setListed(const std::vector<ListedInstance>&);

    // Returns false when the heartbeat is ignored: it comes from this instance or an earlier incarnation, or reports a
    // state that an instance cannot report of itself (Silent, Gone).
    bool handleHeartbeat(const InstanceId& from, const messages::Heartbeat&);

    // Reports state changes due to elapsed time, and removes instances after forgetAfter. Call periodically.
    void tick();

    // Ordered by id. Includes Gone instances until forgetAfter.
    std::vector<Member> members() const;
    std::optional<Member> member(const InstanceId&) const;

    // The instances to stay connected to: all listed ones, whatever their state.
    std::vector<ListedInstance> peers() const;

    // False until the platform's list has been read for the first time; the members are incomplete until then.
    bool listKnown() const;

    // Called with each member whose state or incarnation has changed, on the thread whose call caused the change, with
    // no lock held. Call setListener before any other method.
    using Listener = std::function<void(const Member& now, messages::InstanceState before)>;
    void setListener(Listener);

private:
    struct Change {
        Member now;
        messages::InstanceState before;
        bool restarted = false;
    };

    messages::InstanceState stateAt(const Member&, Milliseconds now) const;
    // Recomputes the states of all members and returns the changes.
    std::vector<Change> updateStates(Milliseconds now);
    void report(const std::vector<Change>&) const;

    const InstanceId self_;
    const Clock& clock_;
    const MembershipOptions options_;
    Listener listener_;

    mutable std::mutex mutex_;
    std::map<InstanceId, Member> members_;
    bool listKnown_ = false;
};

} // namespace rosemarylink::state
