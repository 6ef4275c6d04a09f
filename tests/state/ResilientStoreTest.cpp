#include "FakeKeyValueStore.h"

#include "rosemarylink/state/RecordCodec.h"
#include "rosemarylink/state/ResilientStore.h"

#include <catch2/catch.hpp>

namespace rosemarylink::state {
namespace {

    using fakes::FakeKeyValueStore;

    struct Fixture {
        explicit Fixture(StoreLimits limits = {})
            : inner(clock)
            , store(inner, clock, metrics, "test", limits, 7, [this](Milliseconds delay) {
                clock.advance(delay);
                slept += delay;
            })
        {
            clock.advance(Milliseconds(1000));
        }

        static std::string record(const std::string& operation)
        {
            return encodeCbor({ { "schemaVersion", 1 }, { "operation", operation } });
        }

        ManualClock clock;
        MetricsRegistry metrics;
        FakeKeyValueStore inner;
        Milliseconds slept { 0 };
        ResilientStore store;
    };

    TEST_CASE("a write whose reply was lost succeeds by its operation id and is not written twice")
    {
        Fixture fixture;
        fixture.inner.faults.loseReply = 1;
        const auto written = fixture.store.compareAndSwap("key", Revision(0), Fixture::record("a"));
        REQUIRE(written);
        CHECK(fixture.inner.writes == 1);
        CHECK(fixture.store.read("key").value()->revision == written.value());
        CHECK(fixture.metrics.renderPrometheus().find(
                  "rosemarylink_store_settled_total{outcome=\"effective\",role=\"test\"} 1")
            != std::string::npos);
    }

    TEST_CASE("a write without effect or reply is retried with the same revision")
    {
        Fixture fixture;
        fixture.inner.faults.failWrite = 1;
        REQUIRE(fixture.store.compareAndSwap("key", Revision(0), Fixture::record("a")));
        CHECK(fixture.inner.writes == 2);
        CHECK(fixture.slept > Milliseconds(0));
    }

    // Writes another writer's value in place of the caller's and loses the reply.
    class ReplacingStore final : public KeyValueStore {
    public:
        explicit ReplacingStore(FakeKeyValueStore& inner)
            : inner_(inner)
        {
        }
        Result<std::optional<StoredValue>> read(const std::string& key) override { return inner_.read(key); }
        Result<std::vector<KeyedValue>> list(const std::string& prefix) override { return inner_.list(prefix); }
        Result<Revision> compareAndSwap(
            const std::string& key, Revision expected, const std::string&, const std::optional<LeaseId>&) override
        {
            (void)inner_.compareAndSwap(key, expected, Fixture::record("other"));
            return unavailable("the reply was lost", Verdict::MayHaveRun);
        }
        Status remove(const std::string& key, Revision expected) override { return inner_.remove(key, expected); }
        Result<LeaseId> grantLease(Milliseconds ttl) override { return inner_.grantLease(ttl); }
        Status renewLease(const LeaseId& lease) override { return inner_.renewLease(lease); }
        Status revokeLease(const LeaseId& lease) override { return inner_.revokeLease(lease); }
        Result<std::vector<WatchEvent>> watch(const std::string& prefix, Revision after, Milliseconds timeout) override
        {
            return inner_.watch(prefix, after, timeout);
        }

    private:
        FakeKeyValueStore& inner_;
    };

    TEST_CASE("a write without a reply fails with Conflict when the key holds another writer's value")
    {
        ManualClock clock;
        MetricsRegistry metrics;
        FakeKeyValueStore inner(clock);
        ReplacingStore replacing(inner);
        ResilientStore store(replacing, clock, metrics, "test", {}, 1, [](Milliseconds) {});
        const auto written = store.compareAndSwap("key", Revision(0), Fixture::record("own"));
        REQUIRE_FALSE(written);
        CHECK(written.error().code == ErrorCode::Conflict);
        CHECK(inner.writes == 1);
    }

    TEST_CASE("a write with an unresolvable outcome or without an operation id fails with MayHaveRun")
    {
        Fixture fixture;
        fixture.inner.faults.slow = true;
        const auto slow = fixture.store.compareAndSwap("key", Revision(0), Fixture::record("a"));
        REQUIRE_FALSE(slow);
        CHECK(slow.error().verdict == Verdict::MayHaveRun);
        CHECK(fixture.inner.writes == 1);

        Fixture other;
        other.inner.faults.loseReply = 1;
        const auto plain = other.store.compareAndSwap("key", Revision(0), "no record");
        REQUIRE_FALSE(plain);
        CHECK(plain.error().verdict == Verdict::MayHaveRun);
        CHECK(other.inner.writes == 1);
    }

    TEST_CASE("a removal whose reply was lost succeeds once the key is absent")
    {
        Fixture fixture;
        const auto revision = fixture.store.compareAndSwap("key", Revision(0), Fixture::record("a")).value();
        fixture.inner.faults.loseReply = 1;
        CHECK(fixture.store.remove("key", revision));
        CHECK(fixture.inner.writes == 2);
    }

    TEST_CASE(
        "the breaker opens when the store is down, fails calls without reaching the store, and closes after one probe")
    {
        Fixture fixture;
        fixture.inner.faults.down = true;
        for (int index = 0; index < 20; ++index)
            CHECK_FALSE(fixture.store.read("key"));
        REQUIRE(fixture.store.isOpen());
        const std::int64_t before = fixture.inner.totalCalls();
        const auto refused = fixture.store.compareAndSwap("key", Revision(0), Fixture::record("a"));
        REQUIRE_FALSE(refused);
        CHECK(refused.error().verdict == Verdict::NotRun);
        CHECK(refused.error().retryAfter.has_value());
        CHECK(fixture.inner.totalCalls() == before);

        fixture.inner.faults.down = false;
        fixture.clock.advance(Milliseconds(10000));
        CHECK(fixture.store.compareAndSwap("key", Revision(0), Fixture::record("a")));
        CHECK_FALSE(fixture.store.isOpen());
    }

    TEST_CASE("replies after the deadline open the breaker, and no write follows a failed probe")
    {
        Fixture fixture;
        fixture.inner.faults.slow = true;
        while (!fixture.store.isOpen())
            CHECK_FALSE(fixture.store.read("key"));
        fixture.clock.advance(Milliseconds(10000));
        const std::int64_t writes = fixture.inner.writes;
        CHECK_FALSE(fixture.store.compareAndSwap("key", Revision(0), Fixture::record("a")));
        CHECK(fixture.inner.writes == writes);
    }

    TEST_CASE("retries stay within the retry budget")
    {
        StoreLimits limits;
        limits.failuresToOpen = 1000000; // so that only the budget limits retries
        limits.callsPerSecond = 1e9;
        limits.callBurst = 1e9;
        Fixture fixture(limits);
        fixture.inner.faults.down = true;
        for (int index = 0; index < 1000; ++index)
            CHECK_FALSE(fixture.store.read("key"));
        CHECK(fixture.inner.totalCalls() >= 1000);
        CHECK(fixture.inner.totalCalls() <= 1000 + 1000 * 0.1 + 10 + 1);
    }

    TEST_CASE("calls over the rate limit fail with NotRun, and leases can still be renewed")
    {
        StoreLimits limits;
        limits.callsPerSecond = 1;
        limits.callBurst = 5;
        Fixture fixture(limits);
        const LeaseId lease = fixture.store.grantLease(Milliseconds(6000)).value();
        std::int64_t accepted = 0;
        Result<std::optional<StoredValue>> last = std::optional<StoredValue> {};
        for (int index = 0; index < 20; ++index) {
            last = fixture.store.read("key");
            accepted += last ? 1 : 0;
        }
        CHECK(accepted == 4);
        REQUIRE_FALSE(last);
        CHECK(last.error().code == ErrorCode::ResourceExhausted);
        CHECK(last.error().verdict == Verdict::NotRun);
        CHECK(fixture.store.renewLease(lease));
    }

    TEST_CASE("calls are counted by kind")
    {
        Fixture fixture;
        CHECK(fixture.store.read("key"));
        CHECK(fixture.store.list("k"));
        CHECK(fixture.store.watch("k", Revision(0), Milliseconds(10)));
        const std::string text = fixture.metrics.renderPrometheus();
        for (const char* kind : { "read", "list", "watch" }) {
            const std::string line
                = "rosemarylink_store_calls_total{kind=\"" + std::string(kind) + "\",outcome=\"ok\",role=\"test\"} 1";
            CHECK(text.find(line) != std::string::npos);
        }
    }

} // namespace
} // namespace rosemarylink::state
