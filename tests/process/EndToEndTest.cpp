#include "Cluster.h"

#include <atomic>
#include <thread>

namespace rosemarylink::process {
namespace {

    using nlohmann::json;

    json gangSubmission(int tasks, const std::string& command)
    {
        return { { "kind", "sorting" }, { "tasks", tasks }, { "perTask", { { "accelerators", 1 } } },
            { "declaredRunTime", 5000 }, { "command", command }, { "region", "amman" } };
    }

    std::string submit(Cluster& cluster, const std::string& gateway, const std::string& key, const json& submission)
    {
        const auto reply = cluster.send(
            gateway, "POST", "/v1/jobs", submission.dump(), { { "Idempotency-Key", key } }, Cluster::accountKey);
        if (!reply || reply.value().status != 201)
            return "";
        return json::parse(reply.value().body)["job"]["id"].get<std::string>();
    }

    std::string stateOf(Cluster& cluster, const std::string& gateway, const std::string& job)
    {
        return cluster.get(gateway, "/v1/jobs/" + job).value("state", "");
    }

    // Guards against a gang that is stopped, or started a second time, in part or in full, when its cell's owner
    // crashes during the run.
    TEST_CASE("a gang completes once and in full when its cell's owner crashes")
    {
        Cluster cluster;
        cluster.startGateway("g1");
        for (const char* id : { "s1", "s2" })
            cluster.startScheduler(id);
        cluster.configure("g1");
        const std::string job = submit(cluster, "g1", "k", gangSubmission(16, "run 9000"));
        REQUIRE(eventually([&] { return stateOf(cluster, "g1", job) == "running"; }));
        const std::string owner = cluster.ownerOf("g1", "amman-1");
        cluster.killScheduler(owner);
        REQUIRE(eventually([&] {
            const std::string now = cluster.ownerOf("g1", "amman-1");
            return !now.empty() && now != owner;
        }));
        REQUIRE(eventually([&] { return stateOf(cluster, "g1", job) == "completed"; }));
        const json gangs = cluster.platformGet("/workers/gangs");
        REQUIRE(gangs.size() == 1);
        CHECK(gangs[0]["started"] == 16);
        CHECK(gangs[0]["completed"] == 16);
        CHECK(gangs[0]["stopped"] == 0);
    }

    // Guards against a duplicate job when the store's reply to the first submission is lost, or the repeated submission
    // is sent to another gateway.
    TEST_CASE("a job that is submitted again after a lost store reply exists once")
    {
        Cluster cluster;
        cluster.startGateway("g1");
        cluster.startGateway("g2");
        cluster.startScheduler("s1");
        cluster.configure("g1");
        cluster.setFaults({ { "storeLoseReplies", 2 } });
        const std::string first = submit(cluster, "g1", "same", gangSubmission(4, "run 60000"));
        CHECK_FALSE(first.empty());
        CHECK(submit(cluster, "g2", "same", gangSubmission(4, "run 60000")) == first);
        CHECK(cluster.get("g2", "/v1/jobs")["jobs"].size() == 1);
    }

    // Guards against accepting a job that is not stored: while the store is down, jobs must be refused with NotRun.
    TEST_CASE("jobs are refused with NotRun while the store is down, and running gangs continue")
    {
        Cluster cluster;
        cluster.startGateway("g1");
        cluster.startScheduler("s1");
        cluster.configure("g1");
        const std::string job = submit(cluster, "g1", "before", gangSubmission(8, "run 8000"));
        REQUIRE(eventually([&] { return stateOf(cluster, "g1", job) == "running"; }));
        cluster.setFaults({ { "storeDown", true } });
        const auto refused = cluster.send("g1", "POST", "/v1/jobs", gangSubmission(1, "run 100").dump(),
            { { "Idempotency-Key", "during" } }, Cluster::accountKey);
        REQUIRE(refused);
        CHECK(refused.value().status == 503);
        CHECK(refused.value().headers.at("Rosemarylink-Verdict") == "NotRun");
        CHECK(cluster.send("g1", "POST", "/v1/requests/quotes", "q", {}, Cluster::accountKey).value().status == 200);
        REQUIRE(eventually([&] {
            const json gangs = cluster.platformGet("/workers/gangs");
            return gangs.size() == 1 && gangs[0]["completed"] == 8;
        }));
        cluster.setFaults(json::object());
        CHECK(eventually([&] { return stateOf(cluster, "g1", job) == "completed"; }));
        CHECK(eventually([&] { return !submit(cluster, "g1", "during", gangSubmission(1, "run 100")).empty(); }));
    }

    // Guards against an older configuration version, or two presets, in force during a rolling replacement.
    TEST_CASE("a configuration stays in force while all instances are replaced one by one")
    {
        Cluster cluster;
        cluster.startGateway("g1");
        for (const char* id : { "s1", "s2" })
            cluster.startScheduler(id);
        cluster.configure("g1");
        const auto changed = cluster.send("g1", "PUT", "/v1/preset", R"({"preset": "peak"})").value();
        REQUIRE(changed.status == 200);
        const auto isInForce = [&](const std::string& gateway) {
            const json status = cluster.get(gateway, "/v1/status");
            return status.value("configVersion", 0) == 2 && status.value("preset", "") == "peak"
                && status["inForce"].value("everywhere", false);
        };
        REQUIRE(eventually([&] { return isInForce("g1"); }));
        cluster.startGateway("g2");
        REQUIRE(eventually([&] { return isInForce("g2"); }));
        CHECK(cluster.stopGateway("g1"));
        for (const std::string number : { "1", "2" }) {
            cluster.startScheduler("t" + number);
            CHECK(cluster.stopScheduler("s" + number));
        }
        CHECK(eventually([&] { return isInForce("g2") && cluster.ownedCells("g2") == 2; }));
        CHECK(cluster.get("g2", "/v1/audit")["entries"].size() == 2);
    }

    // Guards against a crash at the end of a process: the node's thread may be in its listener while the scheduler is
    // destroyed. Its first tick begins with the start, so that a scheduler destroyed at once meets it.
    TEST_CASE("a scheduler is destroyed while its node's thread is in the listener")
    {
        Cluster cluster;
        cluster.startGateway("g1");
        for (int round = 0; round < 40; ++round) {
            cluster.startScheduler("s1");
            cluster.killScheduler("s1");
        }
        CHECK(cluster.send("g1", "GET", "/healthz").value().status == 200);
    }

    // Guards against connections that close without a response when a gateway shuts down under load.
    TEST_CASE("a gateway that shuts down responds to every request in progress")
    {
        Cluster cluster;
        cluster.startGateway("g1");
        cluster.startScheduler("s1");
        cluster.configure("g1");
        std::atomic<bool> stop { false };
        std::atomic<int> answered { 0 };
        std::atomic<int> closedWithoutResponse { 0 };
        std::vector<std::thread> callers;
        callers.reserve(4);
        for (int caller = 0; caller < 4; ++caller) {
            callers.emplace_back([&] {
                while (!stop) {
                    const auto reply = cluster.send("g1", "POST", "/v1/requests/quotes", "q", {}, Cluster::accountKey);
                    if (reply && reply.value().status == 200)
                        ++answered;
                    else if (!reply)
                        ++closedWithoutResponse;
                    else
                        return; // refused with NotRun; a load balancer would send the next request to another gateway
                }
            });
        }
        REQUIRE(eventually([&] { return answered > 50; }));
        // The client is kept, so that the callers' requests get the closed port.
        CHECK(cluster.stopGatewayKeepingClient("g1"));
        stop = true;
        for (std::thread& caller : callers)
            caller.join();
        CHECK(closedWithoutResponse == 0); // each request got a response or NotRun before its connection closed
    }

    // Guards against a configuration that is applied in part: one impossible guarantee must refuse all of it and be
    // named.
    TEST_CASE("guarantees that cannot be placed together are refused with the name of the guarantee")
    {
        Cluster cluster;
        cluster.startGateway("g1");
        cluster.startScheduler("s1");
        cluster.configure("g1");
        json declarations = Cluster::declarations("ordinary");
        declarations["guarantees"][0]["gangs"] = 100;
        const auto reply
            = cluster.send("g1", "PUT", "/v1/config", declarations.dump(), { { "If-Match", "1" } }).value();
        CHECK(reply.status == 400);
        CHECK(reply.body.find("sorting") != std::string::npos);
        CHECK(cluster.get("g1", "/v1/config")["version"] == 1);
    }

} // namespace
} // namespace rosemarylink::process
