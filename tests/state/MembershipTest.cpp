#include "rosemarylink/state/Membership.h"

#include <catch2/catch.hpp>

namespace rosemarylink::state {
namespace {

    using messages::InstanceState;

    const InstanceId self("self");
    const InstanceId peer("peer");

    ListedInstance listed(const InstanceId& id, bool leaving = false)
    {
        return { id, "127.0.0.1", 1, RegionId("amman"), FailureDomainId("amman-1"), leaving };
    }

    messages::Heartbeat heartbeat(
        std::int64_t incarnation, std::int64_t config = 1, InstanceState state = InstanceState::Ready)
    {
        messages::Heartbeat result;
        result.incarnation = Incarnation(incarnation);
        result.config = ConfigVersion(config);
        result.state = state;
        return result;
    }

    struct Fixture {
        ManualClock clock;
        Membership membership { self, clock };

        InstanceState stateOfPeer() const { return membership.member(peer)->state; }
    };

    TEST_CASE("a member is suspected after 3 s and gone after 6 s without a heartbeat")
    {
        Fixture fixture;
        fixture.membership.handleHeartbeat(peer, heartbeat(1));
        fixture.clock.advance(Milliseconds(2999));
        CHECK(fixture.stateOfPeer() == InstanceState::Ready);
        fixture.clock.advance(Milliseconds(1));
        CHECK(fixture.stateOfPeer() == InstanceState::Silent);
        CHECK(fixture.membership.member(peer)->live());
        fixture.clock.advance(Milliseconds(2999));
        CHECK(fixture.stateOfPeer() == InstanceState::Silent);
        fixture.clock.advance(Milliseconds(1));
        CHECK(fixture.stateOfPeer() == InstanceState::Gone);
        CHECK_FALSE(fixture.membership.member(peer)->live());
        // A silent peer is live again after its next heartbeat.
        fixture.membership.handleHeartbeat(peer, heartbeat(1));
        CHECK(fixture.stateOfPeer() == InstanceState::Ready);
    }

    // The list lags: it still contains stopped instances and does not yet contain those that have just started.
    TEST_CASE("the platform's list alone neither keeps an instance alive nor hides one")
    {
        Fixture fixture;
        CHECK_FALSE(fixture.membership.listKnown());
        fixture.membership.setListed({ listed(self), listed(peer) });
        CHECK(fixture.membership.listKnown());
        CHECK(fixture.membership.members().size() == 1);
        CHECK(fixture.stateOfPeer() == InstanceState::Starting);
        fixture.clock.advance(Milliseconds(6000));
        fixture.membership.setListed({ listed(self), listed(peer) });
        CHECK(fixture.stateOfPeer() == InstanceState::Gone);
        CHECK(fixture.membership.peers().size() == 1); // a connection is still tried

        const InstanceId unlisted("unlisted");
        fixture.membership.handleHeartbeat(unlisted, heartbeat(1, 1, InstanceState::Starting));
        CHECK(fixture.membership.member(unlisted)->state == InstanceState::Starting);
        fixture.membership.setListed({});
        CHECK(fixture.membership.member(unlisted)->live());
        CHECK(fixture.membership.peers().empty());
    }

    TEST_CASE("an instance is leaving once it or the platform reports it")
    {
        Fixture fixture;
        fixture.membership.setListed({ listed(peer) });
        fixture.membership.handleHeartbeat(peer, heartbeat(1));
        fixture.membership.setListed({ listed(peer, true) });
        CHECK(fixture.stateOfPeer() == InstanceState::Leaving);
        fixture.membership.setListed({ listed(peer) });
        CHECK(fixture.stateOfPeer() == InstanceState::Ready);
        fixture.membership.handleHeartbeat(peer, heartbeat(1, 1, InstanceState::Leaving));
        CHECK(fixture.stateOfPeer() == InstanceState::Leaving);
    }

    TEST_CASE("a new incarnation replaces the report of the earlier one")
    {
        Fixture fixture;
        messages::Heartbeat owner = heartbeat(1, 9);
        owner.cells.push_back({ CellId("amman"), Accelerators(4), 2 });
        fixture.membership.handleHeartbeat(peer, owner);
        CHECK(fixture.membership.handleHeartbeat(peer, heartbeat(2, 0, InstanceState::Starting)));
        const Member member = *fixture.membership.member(peer);
        CHECK(member.state == InstanceState::Starting);
        CHECK(member.configVersion() == ConfigVersion(0));
        CHECK(member.heartbeat->cells.empty());
    }

    // A late heartbeat of a replaced process would restore its outdated cells and version.
    TEST_CASE("a heartbeat of an earlier incarnation is ignored")
    {
        Fixture fixture;
        fixture.membership.handleHeartbeat(peer, heartbeat(2, 3));
        CHECK_FALSE(fixture.membership.handleHeartbeat(peer, heartbeat(1, 9)));
        CHECK(fixture.membership.member(peer)->configVersion() == ConfigVersion(3));
        // Once the later process is Gone, a lower incarnation is accepted: the wall clock was set back.
        fixture.clock.advance(Milliseconds(6000));
        CHECK(fixture.membership.handleHeartbeat(peer, heartbeat(1, 9)));
        CHECK(fixture.stateOfPeer() == InstanceState::Ready);
    }

    TEST_CASE("a reordered heartbeat does not lower the reported version")
    {
        Fixture fixture;
        fixture.membership.handleHeartbeat(peer, heartbeat(1, 5));
        fixture.membership.handleHeartbeat(peer, heartbeat(1, 4));
        CHECK(fixture.membership.member(peer)->configVersion() == ConfigVersion(5));
    }

    TEST_CASE("an instance cannot report itself silent or gone, and own heartbeats are ignored")
    {
        Fixture fixture;
        CHECK_FALSE(fixture.membership.handleHeartbeat(peer, heartbeat(1, 1, InstanceState::Gone)));
        CHECK_FALSE(fixture.membership.handleHeartbeat(peer, heartbeat(1, 1, InstanceState::Silent)));
        CHECK_FALSE(fixture.membership.handleHeartbeat(self, heartbeat(1)));
        CHECK(fixture.membership.members().empty());
    }

    TEST_CASE("state changes and restarts are reported once each")
    {
        Fixture fixture;
        std::vector<InstanceState> seen;
        fixture.membership.setListener([&](const Member& now, InstanceState) { seen.push_back(now.state); });
        fixture.membership.setListed({ listed(peer) });
        fixture.membership.handleHeartbeat(peer, heartbeat(1));
        fixture.membership.handleHeartbeat(peer, heartbeat(1));
        fixture.membership.handleHeartbeat(peer, heartbeat(2));
        fixture.clock.advance(Milliseconds(3000));
        fixture.membership.tick();
        fixture.membership.tick();
        fixture.clock.advance(Milliseconds(3000));
        fixture.membership.tick();
        CHECK(seen
            == std::vector<InstanceState> {
                InstanceState::Ready, InstanceState::Ready, InstanceState::Silent, InstanceState::Gone });
    }

    // 150 replacements a day with new ids must not grow the table without bound.
    TEST_CASE("an instance that is gone and no longer listed is removed")
    {
        Fixture fixture;
        fixture.membership.handleHeartbeat(peer, heartbeat(1));
        fixture.clock.advance(Milliseconds(599999));
        fixture.membership.tick();
        CHECK(fixture.membership.members().size() == 1);
        fixture.clock.advance(Milliseconds(1));
        fixture.membership.tick();
        CHECK(fixture.membership.members().empty());
    }

} // namespace
} // namespace rosemarylink::state
