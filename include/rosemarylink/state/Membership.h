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
    Milliseconds suspectAfter { 3000 }; // without a heartbeat: Silent
    Milliseconds deadAfter { 6000 }; // without a heartbeat: Gone; the membership lease has run out
    Milliseconds forgetAfter { 600000 }; // a Gone instance that the platform no longer lists
};

// What is known of one other instance.
struct Member {
    InstanceId id;
    std::optional<ListedInstance> listed; // absent: not, or no longer, in the platform's list
    messages::InstanceState state = messages::InstanceState::Starting;
    std::optional<messages::Heartbeat> heartbeat; // the last one; absent: none yet
    Milliseconds heardAt { 0 }; // monotonic time of the last heartbeat, or of the first listing

    bool live() const { return state != messages::InstanceState::Gone; }
    ConfigVersion configVersion() const { return heartbeat ? heartbeat->config : ConfigVersion(0); }
};

// The other instances of the system: the platform's lagging list joined with heartbeats. An instance that is listed but
// has not been heard counts as starting until deadAfter; one that is heard but not listed counts as what it says. Safe
// to use from several threads; nothing blocks.
class Membership {
public:
    Membership(const InstanceId& self, const Clock&, const MembershipOptions& = {});

    // Replaces the platform's list; this instance's own entry is ignored.
    void setListed(const std::vector<ListedInstance>&);

    // False when the heartbeat is ignored: it comes from an earlier incarnation, or reports a state that an instance
    // cannot report of itself.
    bool handleHeartbeat(const InstanceId& from, const messages::Heartbeat&);

    // Logs and reports changes that come with time, and forgets instances that are long gone.
    void tick();

    // Ordered by id, Gone ones included until they are forgotten.
    std::vector<Member> members() const;
    std::optional<Member> member(const InstanceId&) const;

    // Instances to keep a connection to: those listed, whatever their state.
    std::vector<ListedInstance> peers() const;

    // False until the platform's list has been read for the first time; the members are incomplete until then.
    bool listKnown() const;

    // Called with each member whose state or incarnation has changed, from the thread that brought the change and
    // without a lock. Set before the first other call.
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
    std::vector<Change> refresh(Milliseconds now);
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
