#include "SimCluster.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>

namespace rosemarylink::jobs {

namespace {

    constexpr double smallLink = 1250; // bytes per millisecond, 10 Mbit/s

    // The store's limit on a value. Its transfer takes 1.1 s on the small link.
    constexpr std::size_t largestConfiguration = 1048000;

    constexpr std::size_t largestTransfer = largestConfiguration * 4 / 3; // of the configuration, in base64

    // An instance that has not confirmed its configuration for this long reports that it is not ready.
    constexpr Milliseconds longestReadyAge { 2500 };

    // Within this time after its acknowledgment a configuration must be in force.
    constexpr Milliseconds applyTime { 4000 };

    constexpr Milliseconds callInterval { 200 };

    JobSpec smallJob() { return oneStep(2, 1, Milliseconds(500), /*gang=*/false); }

    // A cluster whose second instance has a small link and serves a stored job, "a1".
    class SmallLinkCluster : public SimCluster {
    public:
        SmallLinkCluster()
        {
            world.run(Milliseconds(300));
            submit("batch", "a1", smallJob());
            small().store.link.bytesPerMillisecond = smallLink;
        }

        SimInstance& small() { return *instances.at(1); }

        void growConfiguration(std::size_t bytes)
        {
            configurationPadding = bytes;
            putConfiguration();
        }

        // Asks the instance with the small link for the job's state again and again.
        void queryFor(Milliseconds duration)
        {
            for (const Milliseconds end = world.now() + duration; world.now() < end;) {
                query("batch", "a1", 1);
                world.run(callInterval);
            }
        }

        // Hands in jobs at the same time to the instance with the small link.
        void submitTogether(int count)
        {
            for (int number = 0; number < count; ++number) {
                small().admission.submit(
                    { "host", "/batch/together" + std::to_string(number), "key", Milliseconds(3000) },
                    []() -> Result<JobSpec> { return smallJob(); }, [](const AdmissionResponse&) {});
            }
        }

        // Hands in `count` jobs one after the other and returns how many of them are accepted within their callers'
        // time.
        int submitSteadily(int count, Milliseconds interval)
        {
            const auto accepted = std::make_shared<int>(0);
            for (int number = 0; number < count; ++number) {
                small().admission.submit(
                    { "host", "/batch/steady" + std::to_string(number), "key", Milliseconds(3000) },
                    []() -> Result<JobSpec> { return smallJob(); },
                    [accepted](const AdmissionResponse& response) {
                        *accepted += response.outcome == AdmissionOutcome::Accepted ? 1 : 0;
                    });
                world.run(interval);
            }
            world.run(Milliseconds(3000));
            return *accepted;
        }

        bool servesQueries() { return query("batch", "a1", 1).outcome == AdmissionOutcome::Accepted; }
    };

} // namespace

// Guards against instances that lose the store for good because a grown configuration does not reach them within the
// time limit of a call (inc1).
TEST_CASE("an instance on a small link stays in service while the configuration grows")
{
    const std::size_t bytes = GENERATE(std::size_t(600000), largestConfiguration);
    SmallLinkCluster cluster;
    cluster.growConfiguration(bytes);
    cluster.queryFor(applyTime);
    for (int turn = 0; turn < 20; ++turn) {
        INFO("turn " << turn << ", " << bytes << " bytes");
        REQUIRE(cluster.servesQueries());
        REQUIRE(cluster.small().config.current()->version == 2);
        REQUIRE(cluster.small().config.age().value().count() <= longestReadyAge.count());
        cluster.queryFor(Milliseconds(1000));
    }
}

// Guards against confirming an unchanged configuration by transferring it, which takes up a small link.
TEST_CASE("an unchanged configuration is confirmed without transferring it")
{
    SmallLinkCluster cluster;
    cluster.growConfiguration(largestConfiguration);
    cluster.queryFor(applyTime * 2);
    const double carried = cluster.small().store.link.bytesCarried;
    cluster.queryFor(Milliseconds(10000));
    CHECK(cluster.small().store.link.bytesCarried - carried < largestConfiguration / 10);
    CHECK(cluster.servesQueries());
}

// Guards against overlapping transfers of the configuration when the store returns after an outage in which the
// configuration has grown.
TEST_CASE("an instance on a small link is back in service soon after an outage in which the configuration grew")
{
    SmallLinkCluster cluster;
    cluster.small().store.disconnected = true;
    cluster.queryFor(Milliseconds(3000));
    cluster.growConfiguration(largestConfiguration);
    cluster.queryFor(Milliseconds(3000));
    cluster.small().store.disconnected = false;
    cluster.queryFor(applyTime);
    CHECK(cluster.servesQueries());
    CHECK(cluster.small().config.current()->version == 2);
}

// Guards against losing the store because each submission that names the replaced configuration receives the new one.
TEST_CASE("an instance on a small link accepts submissions soon after the configuration has grown")
{
    SmallLinkCluster cluster;
    cluster.growConfiguration(largestConfiguration);
    cluster.submitTogether(5);
    cluster.world.run(applyTime);
    CHECK(cluster.submit("batch", "c1", smallJob(), 1).outcome == AdmissionOutcome::Accepted);
    CHECK(cluster.servesQueries());
}

// Guards against transferring the configuration for each repeated submission, as the record of a failed precondition.
TEST_CASE("a repeated submission is accepted without transferring a large configuration")
{
    SmallLinkCluster cluster;
    cluster.growConfiguration(largestConfiguration);
    cluster.queryFor(applyTime * 2);
    const double carried = cluster.small().store.link.bytesCarried;
    for (int turn = 0; turn < 5; ++turn)
        CHECK(cluster.submit("batch", "a1", smallJob(), 1).outcome == AdmissionOutcome::Accepted);
    CHECK(cluster.small().store.link.bytesCarried - carried < largestTransfer / 10);
}

// Guards against slowing the transfer of a new version by further transfers of it.
TEST_CASE("a new version of a large configuration is transferred once")
{
    SmallLinkCluster cluster;
    cluster.growConfiguration(largestConfiguration);
    cluster.queryFor(applyTime * 2);
    const double carried = cluster.small().store.link.bytesCarried;
    cluster.putConfiguration();
    cluster.queryFor(applyTime);
    CHECK(cluster.small().config.current()->version == 3);
    CHECK(cluster.small().store.link.bytesCarried - carried < largestTransfer * 3 / 2);
}

// Guards against transferring versions that have been replaced meanwhile.
TEST_CASE("versions of a large configuration that come faster than the link carries them do not accumulate")
{
    constexpr int versions = 12;
    SmallLinkCluster cluster;
    cluster.growConfiguration(largestConfiguration);
    cluster.queryFor(applyTime * 2);
    for (int number = 0; number < versions; ++number) {
        cluster.putConfiguration();
        cluster.world.run(Milliseconds(330));
    }
    cluster.world.run(applyTime);
    CHECK(cluster.small().config.current()->version == 2 + versions);
    CHECK(cluster.servesQueries());
}

// Guards against submissions that each receive a new version because they name the replaced one, and that delay the
// confirmation which would prevent it.
TEST_CASE("submissions are accepted on a small link while a large configuration changes now and then")
{
    SmallLinkCluster cluster;
    cluster.growConfiguration(largestConfiguration);
    cluster.queryFor(applyTime * 2);
    for (int change = 1; change <= 3; ++change)
        cluster.world.after(Milliseconds(5000) * change, [&cluster] { cluster.putConfiguration(); });
    CHECK(cluster.submitSteadily(100, Milliseconds(200)) == 100);
    CHECK(cluster.small().config.age().value().count() <= longestReadyAge.count());
}

// Guards against decisions under a version that was replaced while it was being transferred.
TEST_CASE("a version that was replaced during its transfer is not handed out as confirmed")
{
    SmallLinkCluster cluster;
    cluster.small().store.link.bytesPerMillisecond = smallLink / 5;
    cluster.growConfiguration(largestConfiguration);
    cluster.world.run(Milliseconds(20000));
    cluster.putConfiguration();
    cluster.world.run(Milliseconds(1500));
    cluster.putConfiguration();
    std::optional<std::int64_t> version;
    cluster.small().config.whenConfirmed(
        [&version](const Configuration* configuration) { version = configuration ? configuration->version : 0; });
    cluster.world.run(Milliseconds(20000));
    REQUIRE(version.has_value());
    CHECK(*version != 3);
    cluster.small().config.whenConfirmed([&version](const Configuration* configuration) {
        REQUIRE(configuration != nullptr);
        version = configuration->version;
    });
    cluster.world.run(Milliseconds(1000));
    CHECK(*version == 4);
}

// Guards against losing the configuration with the store's writes, on which its confirmation depends when it is large,
// and against transferring it again and again meanwhile.
TEST_CASE("an instance with a large configuration stays in service while the store serves reads only")
{
    const bool lost = GENERATE(true, false);
    const int shareOfLink = GENERATE(1, 2);
    SmallLinkCluster cluster;
    cluster.small().store.link.bytesPerMillisecond = smallLink / shareOfLink;
    cluster.growConfiguration(largestConfiguration);
    cluster.queryFor(applyTime * 3);
    cluster.store.lostResponseShare = lost ? 1 : 0;
    cluster.store.refusesWrites = !lost;
    const double carried = cluster.small().store.link.bytesCarried;
    int served = 0;
    for (int turn = 0; turn < 40; ++turn) {
        served += cluster.servesQueries() ? 1 : 0;
        REQUIRE(cluster.small().config.age().value().count() <= longestReadyAge.count());
        cluster.world.run(callInterval);
    }
    CHECK(served >= (lost ? 20 : 39));
    CHECK(cluster.small().store.link.bytesCarried - carried < largestTransfer / 10);
}

// Guards against transferring a large configuration again and again because its confirmations time out.
TEST_CASE("a large configuration is confirmed without transferring it while the store is slow")
{
    SmallLinkCluster cluster;
    cluster.growConfiguration(largestConfiguration);
    cluster.queryFor(applyTime * 2);
    cluster.store.oneWayLatency = Milliseconds(260);
    cluster.world.run(Milliseconds(3000));
    const double carried = cluster.small().store.link.bytesCarried;
    for (int turn = 0; turn < 40; ++turn) {
        REQUIRE(cluster.small().config.age().value().count() <= longestReadyAge.count());
        cluster.world.run(Milliseconds(500));
    }
    CHECK(cluster.small().store.link.bytesCarried - carried < largestTransfer / 10);
}

// Guards against handlers that are kept for as long as the configuration changes faster than the link carries it.
TEST_CASE("a confirmation that cannot be had in time is reported")
{
    SmallLinkCluster cluster;
    cluster.small().store.link.bytesPerMillisecond = smallLink / 5;
    cluster.growConfiguration(largestConfiguration);
    cluster.world.run(Milliseconds(20000));
    int called = 0;
    for (int change = 0; change < 10; ++change) {
        cluster.putConfiguration();
        cluster.world.run(Milliseconds(1100));
        cluster.small().config.whenConfirmed([&called](const Configuration*) { ++called; });
        cluster.world.run(Milliseconds(1900));
    }
    CHECK(called >= 5);
}

// Guards against refusing a stored job: the configuration that removes its queue arrives while the write of the
// submission is unresolved, between two confirmations.
TEST_CASE("a stored submission is not refused under a version that took long to arrive")
{
    for (Milliseconds delay(0); delay <= Milliseconds(6000); delay += Milliseconds(200)) {
        SmallLinkCluster cluster;
        cluster.growConfiguration(largestConfiguration);
        cluster.queryFor(applyTime * 2);
        cluster.small().config.whenJustConfirmed([](const Configuration*) {});
        cluster.world.run(Milliseconds(30));
        std::optional<AdmissionOutcome> outcome;
        cluster.small().admission.submit(
            { "host", "/batch/s1", "key", Milliseconds(12000) }, []() -> Result<JobSpec> { return smallJob(); },
            [&outcome](const AdmissionResponse& response) { outcome = response.outcome; });
        cluster.world.run(Milliseconds(1));
        cluster.store.lostResponseShare = 1;
        cluster.world.after(delay, [&cluster] { cluster.putConfiguration("key", "urgent"); });
        cluster.world.after(delay + Milliseconds(300), [&cluster] { cluster.store.lostResponseShare = 0; });
        cluster.world.run(Milliseconds(20000));
        INFO("queue removed after " << delay.count() << " ms");
        REQUIRE(outcome.has_value());
        const bool stored = cluster.storedState("s1").has_value();
        CHECK(stored == (*outcome == AdmissionOutcome::Accepted || *outcome == AdmissionOutcome::MayHaveRun));
    }
}

} // namespace rosemarylink::jobs
