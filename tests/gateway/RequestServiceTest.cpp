#include "GatewayFixture.h"

namespace rosemarylink::gateway::testing {
namespace {

    TEST_CASE("an idempotent request returns the complete response to its own body")
    {
        FakeStore store;
        UpstreamFleet fleet(3);
        TestGateway gateway(store, fleet.specs);
        for (int index = 0; index < 20; ++index) {
            const std::string body = "body " + std::to_string(index);
            const auto reply = gateway.post(body).value();
            CHECK(reply.status == 200);
            CHECK(reply.body == headerOf(reply, "Rosemarylink-Request-Id") + ":" + body);
            CHECK(verdictOf(reply) == "Ran");
        }
        CHECK(fleet.totalExecutions() == 20);
        CHECK(store.writes() == 0);
    }

    TEST_CASE("a repeated non-idempotent request runs once and returns the first outcome from any gateway")
    {
        FakeStore store;
        UpstreamFleet fleet(3);
        TestGateway first(store, fleet.specs);
        TestGateway second(store, fleet.specs, makeSettings("gateway-2"));
        const auto reply = first.postNonIdempotent("run 7", "statement-7").value();
        CHECK(reply.status == 200);
        for (const auto& repeated : { first.postNonIdempotent("run 7", "statement-7"),
                 second.postNonIdempotent("run 7", "statement-7"), second.outcomeOf("statement-7") }) {
            CHECK(repeated.value().status == 200);
            CHECK(repeated.value().body == reply.body);
            CHECK(verdictOf(repeated.value()) == "Ran");
        }
        CHECK(fleet.totalExecutions() == 1);
        CHECK(store.writes() == 2);
        CHECK(second.postNonIdempotent("another body", "statement-7").value().status == 400);
    }

    TEST_CASE("invalid requests are refused with NotRun")
    {
        FakeStore store;
        UpstreamFleet fleet(1);
        TestGateway gateway(store, fleet.specs);
        const auto check = [](const Result<transport::HttpReply>& reply, int status) {
            CHECK(reply.value().status == status);
            CHECK(verdictOf(reply.value()) == "NotRun");
        };
        check(gateway.post("x", { { "Authorization", "Bearer other" } }), 401);
        check(gateway.post("x", { { "Authorization", "key-of-franchise" } }), 401);
        check(gateway.post("x", {}, "no-such-service"), 404);
        check(gateway.post("x", { { "Rosemarylink-Idempotent", "maybe" } }), 400);
        check(gateway.post("x", { { "Rosemarylink-Timeout-Ms", "0" } }), 400);
        check(gateway.postNonIdempotent("x", "a/b"), 400);
        CHECK(fleet.upstreams.totalArrivals() == 0);
    }

} // namespace
} // namespace rosemarylink::gateway::testing
