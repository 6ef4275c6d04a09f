#include "GatewayFixture.h"

#include "AttemptLog.h"

#include <rapidcheck/catch.h>

#include <atomic>
#include <stdexcept>

namespace rosemarylink::gateway::testing {
namespace {

    using internal::AttemptLog;

    // Ends the request's thread at one of the store's writes, as if the gateway had died there.
    struct DieAtWrite {
        explicit DieAtWrite(FakeStore& fakeStore, int which)
            : store(fakeStore)
        {
            store.onWrite([this, which] {
                if (++count == which)
                    throw std::runtime_error("the gateway dies here");
            });
        }
        ~DieAtWrite() { store.onWrite({}); }

        FakeStore& store;
        std::atomic<int> count { 0 };
    };

    TEST_CASE("a gateway that dies before the attempt is recorded leaves the key free and nothing runs")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        {
            TestGateway first(store, fleet.specs);
            const DieAtWrite death(store, 1);
            CHECK_FALSE(first.postOnce("run", "key"));
        }
        CHECK(fleet.totalExecutions() == 0);
        TestGateway second(store, fleet.specs, makeSettings("gateway-2"));
        CHECK(verdictOf(second.postOnce("run", "key").value()) == "Ran");
        CHECK(fleet.totalExecutions() == 1);
    }

    TEST_CASE("a gateway that dies before the outcome is recorded leaves the request in progress, then MayHaveRun")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        {
            TestGateway first(store, fleet.specs);
            const DieAtWrite death(store, 2);
            CHECK_FALSE(first.postOnce("run", "key"));
        }
        CHECK(fleet.totalExecutions() == 1);
        TestGateway second(store, fleet.specs, makeSettings("gateway-2"));
        const auto reply = second.postOnce("run", "key").value();
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

    TEST_CASE("the reply of either store write is lost and the request still runs once with its outcome")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        TestGateway gateway(store, fleet.specs);
        store.loseReplies(2);
        CHECK(verdictOf(gateway.postOnce("run", "key").value()) == "Ran");
        CHECK(verdictOf(gateway.outcomeOf("key").value()) == "Ran");
        CHECK(fleet.totalExecutions() == 1);
        CHECK(store.writes() == 2);
    }

    TEST_CASE("while the store is down non-idempotent requests are refused as NotRun and others are served")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        TestGateway gateway(store, fleet.specs);
        store.setDown(true);
        const auto refused = gateway.postOnce("run", "key").value();
        CHECK(refused.status == 503);
        CHECK(verdictOf(refused) == "NotRun");
        CHECK(transport::errorFromResponse(refused.status, refused.body).retryAfter > Milliseconds(0));
        CHECK(fleet.upstreams.totalArrivals() == 0);
        CHECK(gateway.post("photo").value().status == 200);
        CHECK(verdictOf(gateway.outcomeOf("key").value()) == "MayHaveRun");
        store.setDown(false);
        CHECK(verdictOf(gateway.postOnce("run", "key").value()) == "Ran");
    }

    TEST_CASE("the caller gets its answer when the store goes down before the outcome is recorded")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        TestGateway gateway(store, fleet.specs);
        std::atomic<int> writes { 0 };
        store.onWrite([&] {
            if (++writes == 2)
                store.setDown(true);
        });
        const auto reply = gateway.postOnce("run", "key").value();
        CHECK(verdictOf(reply) == "Ran");
        CHECK(reply.body == headerOf(reply, "Rosemarylink-Request-Id") + ":run");
        store.setDown(false);
        CHECK(gateway.postOnce("run", "key").value().status == 409);
        CHECK(fleet.totalExecutions() == 1);
    }

    TEST_CASE("an answer that is too long to be kept is reported as Ran without it")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        auto settings = makeSettings("gateway-1");
        settings.storedAnswer = 10;
        TestGateway gateway(store, fleet.specs, settings);
        CHECK(gateway.postOnce("a long body", "key").value().status == 200);
        const auto repeated = gateway.postOnce("a long body", "key").value();
        CHECK(repeated.status == 404);
        CHECK(verdictOf(repeated) == "Ran");
        CHECK(fleet.totalExecutions() == 1);
    }

    TEST_CASE("one key that callers send to two gateways at once runs once")
    {
        FakeStore store;
        UpstreamFleet fleet(2);
        TestGateway first(store, fleet.specs);
        TestGateway second(store, fleet.specs, makeSettings("gateway-2"));
        for (int round = 0; round < 20; ++round) {
            const std::string key = "key-" + std::to_string(round);
            std::atomic<int> honest { 0 };
            Callers(6, [&](int caller) {
                const auto reply = (caller % 2 ? first : second).postOnce("run", key);
                if (reply && (verdictOf(reply.value()) == "Ran" || verdictOf(reply.value()) == "MayHaveRun"))
                    ++honest;
            }).join();
            CHECK(honest == 6);
        }
        CHECK(fleet.totalExecutions() == 20);
    }

    TEST_CASE("of several starts of one key at most one succeeds, whichever replies are lost")
    {
        rc::prop("one start at most", [](const std::vector<bool>& losses) {
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
