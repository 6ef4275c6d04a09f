#include "rosemarylink/standin/StandInPlatform.h"
#include "rosemarylink/transport/HttpClient.h"

#include <catch2/catch.hpp>

namespace rosemarylink::standin {
namespace {

    using nlohmann::json;

    struct PlatformFixture {
        ManualClock clock;
        std::unique_ptr<StandInPlatform> platform;
        std::unique_ptr<transport::HttpClient> client;

        PlatformFixture()
        {
            settings_standin::StandInSettings settings;
            settings.regions = { "amman", "irbid" };
            settings.workers = 4;
            settings.services = { "quotes" };
            settings.reports = Milliseconds(0);
            platform = std::make_unique<StandInPlatform>(settings, clock);
            REQUIRE(platform->start());
            client = std::make_unique<transport::HttpClient>("127.0.0.1:" + std::to_string(platform->port()));
        }

        Result<transport::HttpReply> send(const std::string& method, const std::string& path,
            const std::string& body = "", const transport::Headers& headers = {})
        {
            return client->send(method, path, headers, body, Milliseconds(5000));
        }

        Result<transport::HttpReply> write(const std::string& key, int expected, const std::string& body)
        {
            return send("PUT", "/kv/value/" + key, body, { { "If-Revision", std::to_string(expected) } });
        }

        int sendOrder(const std::string& name, const json& body)
        {
            return send("POST", "/workers/w0000/" + name, body.dump()).value().status;
        }
    };

    json reserveOrder(int token, const std::string& job, int accelerators, const std::string& command)
    {
        return { { "token", token }, { "job", job }, { "attempt", 1 }, { "tasks", 1 },
            { "perTask", { { "accelerators", accelerators } } }, { "command", command }, { "leaseMs", 10000 } };
    }

    json gangOrder(int token, const std::string& job)
    {
        return { { "token", token }, { "job", job }, { "attempt", 1 } };
    }

    TEST_CASE("a write takes effect only at the expected revision")
    {
        PlatformFixture test;
        CHECK(test.write("a/b", 0, "one").value().status == 200);
        CHECK(test.write("a/b", 0, "two").value().status == 409);
        const auto reply = test.send("GET", "/kv/value/a/b").value();
        CHECK(reply.body == "one");
        CHECK(test.write("a/b", std::stoi(reply.headers.at("Revision")), "two").value().status == 200);
        CHECK(json::parse(test.send("GET", "/kv/calls").value().body) == json({ { "read", 1 }, { "write", 3 } }));
    }

    TEST_CASE("a write whose reply is lost still takes effect")
    {
        PlatformFixture test;
        CHECK(test.send("PUT", "/faults", R"({"storeLoseReplies": 1})").value().status == 200);
        CHECK_FALSE(test.write("k", 0, "v"));
        CHECK(test.send("GET", "/kv/value/k").value().body == "v");
    }

    TEST_CASE("a value bound to a lease is deleted when the lease expires")
    {
        PlatformFixture test;
        const auto lease = json::parse(test.send("POST", "/kv/leases", R"({"ttlMs": 6000})").value().body)["lease"]
                               .get<std::string>();
        test.send("PUT", "/kv/value/l", "v", { { "If-Revision", "0" }, { "Lease", lease } }).value();
        test.clock.advance(Milliseconds(5000));
        CHECK(test.send("POST", "/kv/leases/" + lease + "/renew").value().status == 200);
        test.clock.advance(Milliseconds(5000));
        CHECK(test.send("GET", "/kv/value/l").value().status == 200);
        test.clock.advance(Milliseconds(2000));
        CHECK(test.send("GET", "/kv/value/l").value().status == 404);
        CHECK(test.send("POST", "/kv/leases/" + lease + "/renew").value().status == 404);
    }

    TEST_CASE("a worker refuses a lower fencing token and a reservation beyond its free capacity")
    {
        PlatformFixture test;
        CHECK(test.sendOrder("reserve", reserveOrder(5, "j1", 6, "run 1000")) == 200);
        CHECK(test.sendOrder("reserve", reserveOrder(5, "j2", 6, "run 1000")) == 429);
        CHECK(test.sendOrder("start", gangOrder(4, "j1")) == 409);
        CHECK(test.sendOrder("start", gangOrder(5, "j1")) == 200);
        CHECK(test.sendOrder("start", gangOrder(5, "j2")) == 404);
    }

    TEST_CASE("tasks end as their command says, when their lease expires or when the worker fails them")
    {
        PlatformFixture test;
        for (const char* job : { "short", "long" }) {
            const std::string command = std::string(job) == "short" ? "run 1000" : "run 60000";
            CHECK(test.sendOrder("reserve", reserveOrder(1, job, 1, command)) == 200);
            CHECK(test.sendOrder("start", gangOrder(1, job)) == 200);
        }
        test.clock.advance(Milliseconds(11000));
        CHECK(test.send("PUT", "/faults", R"({"failingWorkers": ["w0000"]})").value().status == 200);
        CHECK(test.sendOrder("reserve", reserveOrder(1, "broken", 1, "run 1000")) == 200);
        CHECK(test.sendOrder("start", gangOrder(1, "broken")) == 200);
        std::map<std::string, std::string> states;
        const json report = json::parse(test.send("GET", "/workers/w0000/report").value().body);
        for (const auto& task : report["tasks"])
            states[task["job"].get<std::string>()] = task["state"].get<std::string>();
        CHECK(states
            == std::map<std::string, std::string> {
                { "short", "completed" }, { "long", "stopped" }, { "broken", "failed" } });
    }

    TEST_CASE("an instance that is not announced again is removed from the list after its expiry")
    {
        PlatformFixture test;
        const char* entry = R"({"id": "g1", "role": "gateway", "address": "127.0.0.1:1"})";
        CHECK(test.send("PUT", "/instances/g1", entry).value().status == 200);
        CHECK(json::parse(test.send("GET", "/instances").value().body).size() == 1);
        test.clock.advance(Milliseconds(16000));
        CHECK(json::parse(test.send("GET", "/instances").value().body).empty());
    }

    TEST_CASE("an unknown fault is refused with the nearest known name")
    {
        PlatformFixture test;
        const auto reply = test.send("PUT", "/faults", R"({"storeDwon": true})").value();
        CHECK(reply.status == 400);
        CHECK(reply.body.find("did you mean \\\"storeDown\\\"") != std::string::npos);
    }

} // namespace
} // namespace rosemarylink::standin
