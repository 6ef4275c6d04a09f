#include "GatewayFixture.h"

#include "AttemptLog.h"

#include <rapidcheck/catch.h>

#include <atomic>
#include <stdexcept>

namespace rosemarylink::gateway::testing {
namespace {

    using internal::AttemptLog;

    // Throws in one of the store's writes, which ends the request there as a crash of the gateway would.
    struct CrashAtWrite {
        explicit CrashAtWrite(FakeStore& fakeStore, int which)
            : store(fakeStore)
        {
            store.onWrite([this, which] {
                if (++count == which)
                    throw std::runtime_error("simulated crash of the gateway");
            });
        }
        ~CrashAtWrite() { store.onWrite({}); }

        FakeStore& store;
        std::atomic<int> count { 0 };
    };

    TEST_CASE("a gateway crash before the attempt is recorded runs nothing and leaves the key unused")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        {
            TestGateway first(store, fleet.specs);
            const CrashAtWrite crash(store, 1);
            CHECK_FALSE(first.postNonIdempotent("run", "key"));
        }
        CHECK(fleet.totalExecutions() == 0);
        TestGateway second(store, fleet.specs, makeSettings("gateway-2"));
        CHECK(verdictOf(second.postNonIdempotent("run", "key").value()) == "Ran");
        CHECK(fleet.totalExecutions() == 1);
    }

    TEST_CASE("a gateway crash before the outcome is recorded leaves the request in progress, then MayHaveRun")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        {
            TestGateway first(store, fleet.specs);
            const CrashAtWrite crash(store, 2);
            CHECK_FALSE(first.postNonIdempotent("run", "key"));
        }
        CHECK(fleet.totalExecutions() == 1);
        TestGateway second(store, fleet.specs, makeSettings("gateway-2"));
        const auto reply = second.postNonIdempotent("run", "key").value();
        CHECK(reply.status == 409);
        CHECK(verdictOf(reply) == "MayHaveRun");
        CHECK(fleet.totalExecutions() == 1);

        const auto stored = AttemptLog(store).read(AccountId("franchise"), IdempotencyKey("key")).value();
        const auto& record = stored->record;
        CHECK(internal::unfinishedAttemptError(record, record.deadline).code == ErrorCode::Conflict);
        const Error late = internal::unfinishedAttemptError(record, record.deadline + Milliseconds(60000));
        CHECK(late.code == ErrorCode::DeadlineExceeded);
        CHECK(late.verdict == Verdict::MayHaveRun);
    }

    TEST_CASE("a non-idempotent request runs once and keeps its outcome when the replies of both store writes are lost")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        TestGateway gateway(store, fleet.specs);
        store.loseReplies(2);
        CHECK(verdictOf(gateway.postNonIdempotent("run", "key").value()) == "Ran");
        CHECK(verdictOf(gateway.outcomeOf("key").value()) == "Ran");
        CHECK(fleet.totalExecutions() == 1);
        CHECK(store.writes() == 2);
    }

    TEST_CASE("while the store is down, non-idempotent requests are refused with NotRun and idempotent ones are served")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        TestGateway gateway(store, fleet.specs);
        store.setDown(true);
        const auto refused = gateway.postNonIdempotent("run", "key").value();
        CHECK(refused.status == 503);
        CHECK(verdictOf(refused) == "NotRun");
        CHECK(transport::errorFromResponse(refused.status, refused.body).retryAfter > Milliseconds(0));
        CHECK(fleet.upstreams.totalArrivals() == 0);
        CHECK(gateway.post("photo").value().status == 200);
        CHECK(verdictOf(gateway.outcomeOf("key").value()) == "MayHaveRun");
        store.setDown(false);
        CHECK(verdictOf(gateway.postNonIdempotent("run", "key").value()) == "Ran");
    }

    TEST_CASE("the caller gets its response when the store fails before the outcome is recorded")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        TestGateway gateway(store, fleet.specs);
        std::atomic<int> writes { 0 };
        store.onWrite([&] {
            if (++writes == 2)
                store.setDown(true);
        });
        const auto reply = gateway.postNonIdempotent("run", "key").value();
        CHECK(verdictOf(reply) == "Ran");
        CHECK(reply.body == headerOf(reply, "Rosemarylink-Request-Id") + ":run");
        store.setDown(false);
        CHECK(gateway.postNonIdempotent("run", "key").value().status == 409);
        CHECK(fleet.totalExecutions() == 1);
    }

    TEST_CASE("a repeated request whose response was too long to store is reported as Ran without the response")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        auto settings = makeSettings("gateway-1");
        settings.storedAnswer = 10;
        TestGateway gateway(store, fleet.specs, settings);
        CHECK(gateway.postNonIdempotent("a long body", "key").value().status == 200);
        const auto repeated = gateway.postNonIdempotent("a long body", "key").value();
        CHECK(repeated.status == 404);
        CHECK(verdictOf(repeated) == "Ran");
        CHECK(fleet.totalExecutions() == 1);
    }

    TEST_CASE("a key that is sent to two gateways concurrently runs once")
    {
        FakeStore store;
        UpstreamFleet fleet(2);
        TestGateway first(store, fleet.specs);
        TestGateway second(store, fleet.specs, makeSettings("gateway-2"));
        for (int round = 0; round < 20; ++round) {
            const std::string key = "key-" + std::to_string(round);
            std::atomic<int> validVerdicts { 0 };
            CallerThreads(6, [&](int caller) {
                const auto reply = (caller % 2 ? first : second).postNonIdempotent("run", key);
                if (reply && (verdictOf(reply.value()) == "Ran" || verdictOf(reply.value()) == "MayHaveRun"))
                    ++validVerdicts;
            }).join();
            CHECK(validVerdicts == 6);
        }
        CHECK(fleet.totalExecutions() == 20);
    }

    TEST_CASE("at most one start of an attempt succeeds for each key, whichever store replies are lost")
    {
        rc::prop("exactly one attempt starts", [](const std::vector<bool>& losses) {
            FakeStore store;
            AttemptLog log(store);
            int started = 0;
            for (const bool lost : losses) {
                attempts::AttemptRecord record;
                record.request = RequestId("request");
                record.service = ServiceId("invoices");
                record.bodySha256 = std::string(64, '0');
                record.gateway = InstanceId("gateway");
                store.loseReplies(lost ? 1 : 0);
                const auto result = log.start(AccountId("franchise"), IdempotencyKey("key"), record);
                started += result ? 1 : 0;
                const bool expected = result || result.error().code == ErrorCode::Conflict;
                RC_ASSERT(expected);
            }
            RC_ASSERT(started == (losses.empty() ? 0 : 1));
        });
    }

} // namespace
} // namespace rosemarylink::gateway::testing
