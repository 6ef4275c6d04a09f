#include "MembershipFakes.h"

#include <catch2/catch.hpp>

namespace rosemarylink::state {
namespace {

    using namespace fakes;

    constexpr Milliseconds inForceLimit { 8000 };

    void checkFaults(const FakeFleet& fleet)
    {
        for (const std::string& fault : fleet.faults)
            FAIL_CHECK(fault);
    }

    // Accepts the next version through an instance.
    ConfigVersion accept(FakeFleet& fleet, FakeInstance& instance, int number)
    {
        const auto outcome = fleet.propose(instance, makeProposal(fleet.highestAccepted(), number));
        REQUIRE(outcome);
        return outcome.value().version;
    }

    TEST_CASE("an accepted version is in force everywhere within one heartbeat")
    {
        FakeFleet fleet(7);
        const ConfigVersion version = accept(fleet, fleet.at(3), 1);
        CHECK_FALSE(fleet.everywhere(version));
        CHECK(fleet.timeUntilEverywhere(version, inForceLimit) <= Milliseconds(1500));
        checkFaults(fleet);
    }

    TEST_CASE("an accepted version reaches all instances while the store is down")
    {
        FakeFleet fleet(7);
        const ConfigVersion version = accept(fleet, fleet.at(0), 1);
        fleet.setStoreDown(true);
        CHECK(fleet.timeUntilEverywhere(version, inForceLimit) <= Milliseconds(1500));
        checkFaults(fleet);
    }

    TEST_CASE("a version is not reported in force everywhere before the list of instances is known")
    {
        ManualClock clock;
        FakeStoreBackend backend(clock);
        std::deque<LinkMessage> queue;
        FakeInstance alone(InstanceId("alone"), 0, queue, backend);
        REQUIRE(alone.agent.config().adopt({ ConfigVersion(1), OperationId("op"), clock.now(), makeDeclarations(1) }));
        CHECK_FALSE(alone.agent.coverage(ConfigVersion(1)).everywhere);
        CHECK_FALSE(alone.agent.upToDate());
        // A listed instance without a heartbeat may use another version until its lease has expired.
        alone.agent.membership().setListed(
            { { InstanceId("other"), "127.0.0.1", 1, RegionId("amman"), FailureDomainId("amman-1"), false } });
        CHECK_FALSE(alone.agent.coverage(ConfigVersion(1)).everywhere);
        CHECK_FALSE(alone.agent.upToDate());
        clock.advance(Milliseconds(6000));
        CHECK(alone.agent.coverage(ConfigVersion(1)).everywhere);
        CHECK(alone.agent.coverage(ConfigVersion(1)).expired == std::vector<InstanceId> { InstanceId("other") });
        CHECK(alone.agent.upToDate());
    }

    // The gateway crashes after storing the version and before announcing it.
    TEST_CASE("the watchers put a version into force that its gateway has not announced")
    {
        FakeFleet fleet(7);
        int watchers = 0;
        for (const auto& [id, instance] : fleet.instances)
            watchers += instance->watcher.holdsDuty() ? 1 : 0;
        CHECK(watchers == 2);
        for (auto& [id, instance] : fleet.instances) {
            if (instance->watcher.holdsDuty())
                continue;
            REQUIRE(instance->store.propose(makeProposal(ConfigVersion(0), 1)));
            fleet.kill(id);
            break;
        }
        CHECK(fleet.timeUntilEverywhere(ConfigVersion(1), inForceLimit) <= inForceLimit);
        checkFaults(fleet);
    }

    TEST_CASE("other instances become watchers when both watchers crash")
    {
        FakeFleet fleet(7);
        std::vector<InstanceId> watchers;
        for (const auto& [id, instance] : fleet.instances) {
            if (instance->watcher.holdsDuty())
                watchers.push_back(id);
        }
        REQUIRE(watchers.size() == 2);
        for (const InstanceId& id : watchers)
            fleet.kill(id);
        fleet.step(Milliseconds(9000));
        int now = 0;
        for (const auto& [id, instance] : fleet.instances)
            now += instance->watcher.holdsDuty() ? 1 : 0;
        CHECK(now == 2);
    }

    // A peer without heartbeats may delay a version until its membership lease has expired, and no longer.
    TEST_CASE("a silent, paused or crashed instance delays a version by at most its membership lease")
    {
        for (const char* fault : { "silent", "paused", "dead" }) {
            FakeFleet fleet(7);
            const InstanceId odd("instance-6");
            if (std::string(fault) == "dead")
                fleet.kill(odd);
            else
                (std::string(fault) == "silent" ? fleet.at(6).silent : fleet.at(6).paused) = true;
            const ConfigVersion version = accept(fleet, fleet.at(0), 1);
            INFO(fault);
            CHECK_FALSE(fleet.at(0).agent.coverage(version).everywhere);
            const Milliseconds begin = fleet.clock.monotonic();
            while (!fleet.at(0).agent.coverage(version).everywhere && fleet.clock.monotonic() - begin < inForceLimit)
                fleet.step(Milliseconds(250));
            const ConfigCoverage coverage = fleet.at(0).agent.coverage(version);
            CHECK(coverage.everywhere);
            CHECK(coverage.expired == std::vector<InstanceId> { odd });
            CHECK(fleet.clock.monotonic() - begin >= Milliseconds(3000));
            checkFaults(fleet);
        }
    }

    TEST_CASE("an instance that was silent or paused receives the version after it resumes")
    {
        for (const bool pause : { true, false }) {
            FakeFleet fleet(7);
            FakeInstance& odd = fleet.at(6);
            (pause ? odd.paused : odd.silent) = true;
            // Prevents the silent instance from reading the version from the store.
            odd.storeClient.down = true;
            const ConfigVersion version = accept(fleet, fleet.at(0), 1);
            fleet.step(Milliseconds(30000));
            CHECK(odd.agent.config().version() == ConfigVersion(0));
            odd.paused = false;
            odd.silent = false;
            CHECK(fleet.timeUntilEverywhere(version, inForceLimit) <= Milliseconds(2500));
            CHECK(odd.agent.config().version() == version);
            checkFaults(fleet);
        }
    }

    TEST_CASE("a restarted peer delays coverage until it has reported the version")
    {
        FakeFleet fleet(5);
        const ConfigVersion version = accept(fleet, fleet.at(0), 1);
        fleet.timeUntilEverywhere(version, inForceLimit);
        fleet.setStoreDown(true); // so that the restarted peer cannot read the version there
        fleet.kill(InstanceId("instance-4"));
        fleet.start(InstanceId("instance-4"), 0);
        CHECK_FALSE(fleet.at(4).agent.upToDate());
        CHECK(fleet.timeUntilEverywhere(version, inForceLimit) <= Milliseconds(4000));
        CHECK(fleet.at(4).agent.config().version() == version);
        checkFaults(fleet);
    }

    TEST_CASE("no version reverts when all instances are replaced one by one during a store outage")
    {
        FakeFleet fleet(6);
        accept(fleet, fleet.at(0), 1);
        const ConfigVersion version = accept(fleet, fleet.at(1), 2);
        fleet.timeUntilEverywhere(version, inForceLimit);
        fleet.setStoreDown(true);
        for (int number = 0; number < 6; ++number) {
            const InstanceId replacement("replacement-" + std::to_string(number));
            fleet.start(replacement, number % 2);
            FakeInstance& started = *fleet.instances.at(replacement);
            const Milliseconds begin = fleet.clock.monotonic();
            while (!started.agent.upToDate() && fleet.clock.monotonic() - begin < Milliseconds(20000))
                fleet.step(Milliseconds(250));
            REQUIRE(started.agent.upToDate());
            CHECK(started.agent.config().version() == version);
            const InstanceId old("instance-" + std::to_string(number));
            fleet.kill(old);
            fleet.step(Milliseconds(1000));
            fleet.listed.erase(old); // the list lags
        }
        // The membership lease of the last replaced instance expires.
        fleet.step(Milliseconds(6000));
        CHECK(fleet.everywhere(version));
        fleet.setStoreDown(false);
        FakeInstance& gateway = *fleet.instances.begin()->second;
        CHECK(accept(fleet, gateway, 3) == version + ConfigVersion(1));
        CHECK(fleet.timeUntilEverywhere(version + ConfigVersion(1), inForceLimit) <= Milliseconds(1500));
        checkFaults(fleet);
    }

    // The side without the store keeps its version; the other side reports the unreachable instances as expired.
    TEST_CASE("each side of a partition keeps one version and both converge to the higher one")
    {
        FakeFleet fleet(8);
        const ConfigVersion before = accept(fleet, fleet.at(0), 1);
        fleet.timeUntilEverywhere(before, inForceLimit);
        fleet.partitioned = true;
        for (auto& [id, instance] : fleet.instances)
            instance->storeClient.down = instance->part == 1;
        const ConfigVersion after = accept(fleet, fleet.at(0), 2);
        fleet.step(Milliseconds(10000));
        CHECK(fleet.at(2).agent.config().version() == after);
        CHECK(fleet.at(1).agent.config().version() == before);
        CHECK_FALSE(fleet.propose(fleet.at(1), makeProposal(before, 3)));
        CHECK(fleet.at(0).agent.coverage(after).expired.size() == 4);
        fleet.partitioned = false;
        CHECK(fleet.timeUntilEverywhere(after, inForceLimit) <= Milliseconds(2500));
        checkFaults(fleet);
    }

    // Both watchers may be on one side, so the other side must detect that it receives no watcher's heartbeats.
    TEST_CASE("all instances receive a new version in a partition that leaves the store reachable")
    {
        for (const int side : { 0, 1 }) {
            FakeFleet fleet(8);
            for (auto& [id, instance] : fleet.instances)
                instance->part = instance->watcher.holdsDuty() || id < InstanceId("instance-4") ? 0 : 1;
            fleet.partitioned = true;
            const ConfigVersion version = accept(fleet, fleet.at(side == 0 ? 0 : 7), 1);
            REQUIRE(fleet.at(7).part == 1);
            fleet.step(inForceLimit);
            for (const auto& [id, instance] : fleet.instances)
                CHECK(instance->agent.config().version() == version);
            checkFaults(fleet);
        }
    }

    TEST_CASE("only the two watchers read the record while their heartbeats arrive")
    {
        FakeFleet fleet(8);
        fleet.step(Milliseconds(10000));
        for (auto& [id, instance] : fleet.instances)
            instance->storeClient.reads = 0;
        fleet.step(Milliseconds(60000));
        for (const auto& [id, instance] : fleet.instances) {
            // Without a duty: reads of the two duty keys every 1.9 to 2.5 s. With a duty: the watch only.
            CHECK(instance->storeClient.reads <= (instance->watcher.holdsDuty() ? 1 : 64));
        }
    }

    TEST_CASE("concurrent changes through two gateways produce one version")
    {
        FakeFleet fleet(7);
        const ConfigVersion base = accept(fleet, fleet.at(0), 1);
        bool raced = false;
        fleet.at(1).storeClient.before = [&](const std::string& operation) {
            if (operation != "compareAndSwap" || raced)
                return;
            raced = true;
            REQUIRE(fleet.propose(fleet.at(2), makeProposal(base, 5, "bob")));
        };
        const auto loser = fleet.propose(fleet.at(1), makeProposal(base, 6, "alice"));
        REQUIRE_FALSE(loser);
        CHECK_THAT(loser.error().message, Catch::Contains("bob"));
        fleet.timeUntilEverywhere(base + ConfigVersion(1), inForceLimit);
        for (const auto& [id, instance] : fleet.instances)
            CHECK(instance->agent.config().inForce()->declarations.accounts[0].weight == 6.0);
        checkFaults(fleet);
    }

    TEST_CASE("a decision keeps using the version it started with")
    {
        FakeFleet fleet(2);
        accept(fleet, fleet.at(0), 1);
        const auto held = fleet.at(0).agent.config().inForce();
        accept(fleet, fleet.at(0), 2);
        CHECK(held->version == ConfigVersion(1));
        CHECK(fleet.at(0).agent.config().inForce()->version == ConfigVersion(2));
    }

    TEST_CASE("a lower version is never put into force, whatever its source")
    {
        FakeFleet fleet(2);
        accept(fleet, fleet.at(0), 1);
        accept(fleet, fleet.at(0), 2);
        const config::ConfigInForce earlier { ConfigVersion(1), OperationId("old"), fleet.clock.now(),
            makeDeclarations(9) };
        CHECK_FALSE(fleet.at(0).agent.adoptAndAnnounce(earlier));
        REQUIRE(fleet.at(0).agent.receive(InstanceId("instance-1"), ConfigReplicator::transferType, toJson(earlier)));
        CHECK(fleet.at(0).agent.config().version() == ConfigVersion(2));
        checkFaults(fleet);
    }

    TEST_CASE("a heartbeat carries state, cells with their load and busy slots")
    {
        FakeFleet fleet(2);
        fleet.at(0).agent.setLoad([] { return InstanceLoad { { { CellId("amman"), Accelerators(12), 3 } }, 44 }; });
        fleet.at(0).agent.setState(messages::InstanceState::Leaving);
        fleet.step(Milliseconds(250));
        const Member member = *fleet.at(1).agent.membership().member(InstanceId("instance-0"));
        CHECK(member.state == messages::InstanceState::Leaving);
        REQUIRE(member.heartbeat->cells.size() == 1);
        CHECK(member.heartbeat->cells[0].freeAccelerators == Accelerators(12));
        CHECK(member.heartbeat->cells[0].waitingJobs == 3);
        CHECK(member.heartbeat->busySlots == 44);
    }

} // namespace
} // namespace rosemarylink::state
