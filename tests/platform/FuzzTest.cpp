#include "CallerServer.h"
#include "PlatformCatalog.h"
#include "PlatformSettings.h"
#include "SimCluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <nlohmann/json.hpp>

#include <limits>
#include <random>

namespace rosemarylink::platform {

namespace {

    using Json = nlohmann::json;
    using Random = std::mt19937;

    int pick(Random& random, int count) { return std::uniform_int_distribution<>(0, count - 1)(random); }

    // A value of any type, with sizes and texts that are often handled badly.
    Json strangeValue(Random& random)
    {
        switch (pick(random, 9)) {
        case 0:
            return nullptr;
        case 1:
            return -1;
        case 2:
            return std::numeric_limits<std::int64_t>::max();
        case 3:
            return std::numeric_limits<std::int64_t>::min();
        case 4:
            return 1e300;
        case 5:
            return std::string(static_cast<std::size_t>(pick(random, 5000)), 'x');
        case 6:
            return Json::array({ -1, "text", nullptr });
        case 7:
            return Json::object({ { "Gpu", "many" } });
        default:
            return 0.5;
        }
    }

    void mutate(Random& random, Json& json)
    {
        if (json.is_structured() && !json.empty() && pick(random, 4) > 0) {
            auto position = json.begin();
            std::advance(position, pick(random, static_cast<int>(json.size())));
            mutate(random, *position);
            return;
        }
        if (json.is_object() && !json.empty() && pick(random, 2) == 0)
            json.erase(json.begin());
        else
            json = strangeValue(random);
    }

    // Some fields replaced or removed, and now and then some bytes of the text changed.
    std::string mutated(Random& random, Json json)
    {
        for (int change = pick(random, 3); change >= 0; --change)
            mutate(random, json);
        std::string text = json.dump();
        if (pick(random, 3) == 0) {
            for (int change = pick(random, 4); change >= 0 && !text.empty(); --change)
                text[static_cast<std::size_t>(pick(random, static_cast<int>(text.size())))]
                    = static_cast<char>(pick(random, 256));
        }
        return text;
    }

    Json submission()
    {
        return { { "Spec", "text" }, { "Repetitions", 3 }, { "StartAtMs", 1000 }, { "IntervalMs", 500 },
            { "Steps",
                { { { "Count", 2 }, { "Cpu", 1000 }, { "RequestedMb", 100 }, { "Gpu", 1 }, { "EstimateMs", 500 } },
                    { { "Count", 1 }, { "After", { 0 } }, { "Gang", true }, { "LocalitySensitive", true },
                        { "Requirements", "a" }, { "Affinity", "r1-1" }, { "AntiAffinity", 1 } } } } };
    }

    template <typename Value> bool isReadOrExplained(const Result<Value>& result)
    {
        return result.has_value() || !result.error().message.empty();
    }

    reactor::ServerRequest request(const std::string& method, const std::string& path, const std::string& body)
    {
        reactor::ServerRequest message;
        message.head.setMethod(method);
        message.head.setURI(path);
        message.head.set("Host", "host");
        message.head.set("Authorization", "Token key");
        message.body = body;
        return message;
    }

    std::string anyBytes(Random& random, int most)
    {
        std::string bytes(static_cast<std::size_t>(pick(random, most + 1)), ' ');
        for (char& byte : bytes)
            byte = static_cast<char>(1 + pick(random, 255));
        return bytes;
    }

} // namespace

// Guards against a caller whose request ends the process or takes all its memory: whatever arrives has one answer.
TEST_CASE("any request of a caller is answered once")
{
    jobs::SimCluster cluster(1);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(3000));
    rc::prop("answered", [&cluster](std::uint32_t seed) {
        Random random(seed);
        const std::string id
            = pick(random, 3) > 0 ? "0123456789abcde" + std::to_string(pick(random, 10)) : anyBytes(random, 300);
        const std::vector<std::string> methods { "POST", "POST", "POST", "GET", "DELETE", "PUT" };
        const std::string& method = methods[static_cast<std::size_t>(pick(random, 6))];
        int answers = 0;
        int status = 0;
        serveCaller(cluster.instances[0]->admission,
            request(
                method, "/batch/" + id, pick(random, 4) > 0 ? mutated(random, submission()) : anyBytes(random, 2000)),
            [&answers, &status](const reactor::ServerResponse& reply) {
                ++answers;
                status = reply.status;
                RC_ASSERT(!Json::parse(reply.body, nullptr, /*allow_exceptions=*/false).is_discarded());
            });
        cluster.world.run(Milliseconds(200));
        RC_ASSERT(answers == 1);
        RC_ASSERT(status >= 200 && status < 500);
    });
}

// Guards against an accepted job that the owner cannot hold in memory or read again.
TEST_CASE("a submission that is accepted is small enough and can be read again")
{
    rc::prop("readable", [](std::uint32_t seed) {
        Random random(seed);
        auto parsed = parseSubmission(mutated(random, submission()));
        if (!parsed)
            return;
        jobs::JobSpec spec = parsed.value();
        spec.id = JobId("0123456789abcdef");
        if (!jobs::checkJobSpec(spec))
            return;
        std::int64_t tasks = 0;
        for (const jobs::StepSpec& step : spec.steps)
            tasks += step.taskCount;
        RC_ASSERT(tasks * spec.occurrences <= 1000000);
        const auto again = jobs::parseJobSpec(Json::parse(jobs::toJson(spec).dump()));
        RC_ASSERT(again.has_value());
    });
}

// Guards against a foreign writer in the store that ends the process.
TEST_CASE("records of foreign writers are read or refused")
{
    const Json configuration = { { "Version", 3 },
        { "Tenants", { { { "Name", "a" }, { "ApiKeys", { "k" } }, { "Guaranteed", { { "Gpu", 8 } } } } } },
        { "Routes",
            { { { "Name", "q" }, { "Host", "h" }, { "Prefix", "/q/" }, { "Service", "s" }, { "Priority", 1 } } } },
        { "Limits", { { "MaxBodyBytes", 1000 } } } };
    const Json worker = { { "Address", "10.0.0.1:80" }, { "Service", "s" }, { "Zone", "z" }, { "State", "ready" },
        { "born", 12345 }, { "Labels", { "a", "r1-1" } }, { "Capacity", { { "Cpu", 1000 }, { "Gpu", 8 } } } };
    rc::prop("read or refused", [&](std::uint32_t seed) {
        Random random(seed);
        const PlatformCatalog catalog;
        const auto read = catalog.parseConfiguration({ "op/config", mutated(random, configuration), Revision(1) });
        RC_ASSERT(isReadOrExplained(read));
        const auto entry = catalog.parseWorker({ "servers/w", mutated(random, worker), Revision(1) });
        RC_ASSERT(isReadOrExplained(entry));
        jobs::JobSpec spec = jobs::oneStep(2, 1, Milliseconds(100), /*gang=*/true);
        jobs::Job job = jobs::makeJob(spec, Revision(1));
        const Json progress = { { "state", "active" }, { "steps", { { { "done", { 0 } } } } } };
        (void)jobs::applyProgressRecord(mutated(random, progress), job);
    });
}

TEST_CASE("settings files are read or refused")
{
    const Json settings = { { "NodeName", "n" }, { "Zone", "z" }, { "Ip", "10.0.0.1" },
        { "Listen", { { "Frontend", "10.0.0.1:80" }, { "Readiness", "10.0.0.1:81" } } },
        { "InternalPortRange", { 7000, 7015 } }, { "platform", { { "Address", "10.0.0.9:80" } } },
        { "Limits", { { "CpuShare", 0.25 }, { "LinkMbps", 100 } } },
        { "Bounds", { { "GraceS", 6 }, { "StopMs", 900 } } } };
    rc::prop("read or refused", [&settings](std::uint32_t seed) {
        Random random(seed);
        const auto read = parsePlatformSettings(mutated(random, settings));
        RC_ASSERT(isReadOrExplained(read));
    });
}

} // namespace rosemarylink::platform
