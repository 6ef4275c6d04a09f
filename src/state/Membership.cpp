#include "rosemarylink/state/Membership.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>

namespace rosemarylink::state {

using messages::InstanceState;

namespace {

    const Logger logger("membership");

    bool canBeReported(InstanceState state)
    {
        return state == InstanceState::Starting || state == InstanceState::Ready || state == InstanceState::Leaving;
    }

} // namespace

Membership::Membership(const InstanceId& self, const Clock& clock, const MembershipOptions& options)
    : self_(self)
    , clock_(clock)
    , options_(options)
{
}

void Membership::setListener(Listener listener) { listener_ = std::move(listener); }

InstanceState Membership::stateAt(const Member& member, Milliseconds now) const
{
    const Milliseconds silence = now - member.lastSeenAt;
    if (silence >= options_.deadAfter)
        return InstanceState::Gone;
    if (!member.heartbeat)
        return InstanceState::Starting;
    if (silence >= options_.suspectAfter)
        return InstanceState::Silent;
    if (member.listed && member.listed->leaving)
        return InstanceState::Leaving;
    return member.heartbeat->state;
}

void Membership::setListed(const std::vector<ListedInstance>& list)
{
    std::vector<Change> changes;
    {
        const std::lock_guard lock(mutex_);
        const Milliseconds now = clock_.monotonic();
        listKnown_ = true;
        for (auto& [id, member] : members_)
            member.listed.reset();
        for (const ListedInstance& instance : list) {
            if (instance.id == self_)
                continue;
            const auto [position, added] = members_.try_emplace(instance.id);
            if (added) {
                position->second.id = instance.id;
                position->second.lastSeenAt = now;
            }
            position->second.listed = instance;
        }
        changes = updateStates(now);
    }
    report(changes);
}

bool Membership::handleHeartbeat(const InstanceId& from, const messages::Heartbeat& heartbeat)
{
    if (from == self_ || !canBeReported(heartbeat.state))
        return false;
    std::vector<Change> changes;
    {
        const std::lock_guard lock(mutex_);
        const Milliseconds now = clock_.monotonic();
        const auto [position, added] = members_.try_emplace(from);
        Member& member = position->second;
        member.id = from;
        const auto& last = member.heartbeat;
        // The heartbeat comes from an earlier process, or from a concurrent process with the same id that started
        // earlier. It is accepted once the later process is Gone, because the wall clock, which gives incarnations, may
        // have been set back between the two starts.
        if (last && heartbeat.incarnation < last->incarnation && now - member.lastSeenAt < options_.deadAfter)
            return false;
        const bool restarted = last && heartbeat.incarnation != last->incarnation;
        const ConfigVersion lastVersion = last && !restarted ? last->config : ConfigVersion(0);
        member.heartbeat = heartbeat;
        // The version in force in one process never decreases, so a lower one means that heartbeats were reordered.
        member.heartbeat->config = std::max(lastVersion, heartbeat.config);
        member.lastSeenAt = now;
        changes = updateStates(now);
        if (restarted) {
            const auto existing = std::find_if(
                changes.begin(), changes.end(), [&](const Change& change) { return change.now.id == from; });
            if (existing == changes.end())
                changes.push_back({ member, member.state, true });
            else
                existing->restarted = true;
        }
    }
    report(changes);
    return true;
}

std::vector<Membership::Change> Membership::updateStates(Milliseconds now)
{
    std::vector<Change> changes;
    for (auto position = members_.begin(); position != members_.end();) {
        Member& member = position->second;
        const InstanceState before = member.state;
        member.state = stateAt(member, now);
        if (member.state != before)
            changes.push_back({ member, before });
        const bool forgotten = !member.listed && now - member.lastSeenAt >= options_.forgetAfter;
        position = forgotten ? members_.erase(position) : std::next(position);
    }
    return changes;
}

void Membership::report(const std::vector<Change>& changes) const
{
    for (const Change& change : changes) {
        const auto incarnation = change.now.heartbeat ? change.now.heartbeat->incarnation : Incarnation(0);
        logger.info(change.restarted ? "instance has restarted" : "instance changed its state",
            { { "instance", change.now.id }, { "state", messages::instanceStateName(change.now.state) },
                { "before", messages::instanceStateName(change.before) }, { "incarnation", incarnation } });
        if (listener_)
            listener_(change.now, change.before);
    }
}

void Membership::tick()
{
    std::vector<Change> changes;
    {
        const std::lock_guard lock(mutex_);
        changes = updateStates(clock_.monotonic());
    }
    report(changes);
}

std::vector<Member> Membership::members() const
{
    const std::lock_guard lock(mutex_);
    const Milliseconds now = clock_.monotonic();
    std::vector<Member> result;
    result.reserve(members_.size());
    for (const auto& [id, member] : members_) {
        result.push_back(member);
        result.back().state = stateAt(member, now);
    }
    return result;
}

std::optional<Member> Membership::member(const InstanceId& id) const
{
    const std::lock_guard lock(mutex_);
    const auto position = members_.find(id);
    if (position == members_.end())
        return std::nullopt;
    Member result = position->second;
    result.state = stateAt(result, clock_.monotonic());
    return result;
}

std::vector<ListedInstance> Membership::peers() const
{
    const std::lock_guard lock(mutex_);
    std::vector<ListedInstance> result;
    for (const auto& [id, member] : members_) {
        if (member.listed)
            result.push_back(*member.listed);
    }
    return result;
}

bool Membership::listKnown() const
{
    const std::lock_guard lock(mutex_);
    return listKnown_;
}

} // namespace rosemarylink::state
