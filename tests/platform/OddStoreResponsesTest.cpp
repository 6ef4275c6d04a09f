#include "FixedResponse.h"
#include "StoreClient.h"

#include <catch2/catch.hpp>

#include <string>

namespace rosemarylink::platform {

namespace {

    constexpr Milliseconds callTimeout { 1000 };

    jobs::StoreResponse list(const std::string& prefix, const std::string& body)
    {
        FixedResponse store(200, body);
        MetricsRegistry metrics;
        StoreClient client(store.http(), store.address(), metrics);
        jobs::StoreResponse result;
        const int calls = store.handlerCalls([&](const std::function<void()>& handled) {
            client.list(prefix, callTimeout, [&result, handled](const jobs::StoreResponse& response) {
                result = response;
                handled();
            });
        });
        CHECK(calls == 1);
        return result;
    }

    jobs::StoreResponse read(const std::string& body)
    {
        FixedResponse store(200, body);
        MetricsRegistry metrics;
        StoreClient client(store.http(), store.address(), metrics);
        jobs::StoreResponse result;
        const int calls = store.handlerCalls([&](const std::function<void()>& handled) {
            client.read("own/pools", callTimeout, [&result, handled](const jobs::StoreResponse& response) {
                result = response;
                handled();
            });
        });
        CHECK(calls == 1);
        return result;
    }

    // Makes a call to a store that answers with the body, and returns the response.
    jobs::StoreResponse call(
        const std::string& body, const std::function<void(StoreClient&, const jobs::StoreHandler&)>& make)
    {
        FixedResponse store(200, body);
        MetricsRegistry metrics;
        StoreClient client(store.http(), store.address(), metrics);
        jobs::StoreResponse result;
        const int calls = store.handlerCalls([&](const std::function<void()>& handled) {
            make(client, [&result, handled](const jobs::StoreResponse& response) {
                result = response;
                handled();
            });
        });
        CHECK(calls == 1);
        return result;
    }

} // namespace

// Guards against an owner that no longer learns of workers because one entry among theirs cannot be read.
TEST_CASE("a worker entry that cannot be read is left out and the others hold")
{
    for (const char* const odd : { "5", "null", "{}", R"({"Value":"e30=","Revision":3})",
             R"({"Key":5,"Value":"e30=","Revision":3})", R"({"Key":"servers/b","Value":"e30=","Revision":"3"})",
             R"({"Key":"servers/b","Value":"e30=","Revision":1e300})",
             R"({"Key":"servers/b","Value":"e30=","Revision":18446744073709551615})",
             R"({"Key":"servers/b","Value":"e30","Revision":3})", R"({"Key":"servers/b","Value":"{}","Revision":3})",
             R"({"Key":"servers/b","Value":5,"Revision":3})", R"({"Key":"servers/b","Revision":3})" }) {
        INFO(odd);
        const std::string items = R"([{"Key":"servers/a","Value":"e30=","Revision":2},)" + std::string(odd)
            + R"(,{"Key":"servers/c","Value":"e30=","Revision":4}])";
        const jobs::StoreResponse workers = list("servers/", R"({"CurrentRev":9,"items":)" + items + "}");
        CHECK(workers.done());
        REQUIRE(workers.records.size() == 2);
        CHECK(workers.records[0].key == "servers/a");
        CHECK(workers.records[1].key == "servers/c");
        CHECK(workers.records[1].value == "{}");
        // Without one of the system's own records, a job could run twice.
        CHECK_FALSE(list("run/", R"({"CurrentRev":9,"items":)" + items + "}").done());
    }
}

// Guards against callers that use the record of a response that has none.
TEST_CASE("a response of the store without a readable record is not a success")
{
    for (const char* const body : { "", "null", "[]", "5", "{", "{}", R"({"Key":"own/pools"})",
             R"({"Key":"own/pools","Revision":3})", R"({"Key":"own/pools","Value":"e3","Revision":3})" }) {
        INFO(body);
        CHECK(read(body).outcome == jobs::StoreOutcome::Unknown);
    }
    const jobs::StoreResponse valid = read(R"({"Key":"own/pools","Value":"e30=","Revision":3,"CurrentRev":9})");
    REQUIRE(valid.done());
    CHECK(valid.records.at(0).value == "{}");
    CHECK(read(R"({"Key":"own/pools","Value":"","Revision":3,"CurrentRev":9})").done());
}

// Guards against a success without its content: a fencing token 0, an ownership record that no lease ever removes, or a
// list of workers that looks empty.
TEST_CASE("a success of the store without the revision or lease is not a success")
{
    const auto commit = [](StoreClient& client, const jobs::StoreHandler& handler) {
        jobs::Batch batch;
        batch.puts = { { "own/pools", "x" } };
        client.commit(batch, callTimeout, handler);
    };
    const auto confirm = [](StoreClient& client, const jobs::StoreHandler& handler) {
        jobs::Batch batch;
        batch.preconditions = { { "op/config", Revision(3) } };
        client.commit(batch, callTimeout, handler);
    };
    const auto grant = [](StoreClient& client, const jobs::StoreHandler& handler) {
        client.grantLease(callTimeout, callTimeout, handler);
    };
    const auto listWorkers
        = [](StoreClient& client, const jobs::StoreHandler& handler) { client.list("servers/", callTimeout, handler); };
    for (const char* const body : { "", "null", "[]", "5", "{", "{}" }) {
        INFO(body);
        CHECK(call(body, commit).outcome == jobs::StoreOutcome::Unknown);
        CHECK(call(body, grant).outcome == jobs::StoreOutcome::Unknown);
        CHECK(call(body, listWorkers).outcome == jobs::StoreOutcome::Unknown);
        if (body != std::string("{}"))
            CHECK(call(body, confirm).outcome == jobs::StoreOutcome::Unknown);
    }
    CHECK(call(R"({"Revision":0})", commit).outcome == jobs::StoreOutcome::Unknown);
    CHECK(call(R"({"Lease":0,"TtlMs":1800})", grant).outcome == jobs::StoreOutcome::Unknown);
    CHECK(call(R"({"Revision":4})", commit).done());
    CHECK(call(R"({"Revision":4})", confirm).done());
    CHECK(call(R"({"Lease":7,"TtlMs":1800})", grant).lease == 7);
    CHECK(call(R"({"items":[],"CurrentRev":4})", listWorkers).done());
}

} // namespace rosemarylink::platform
