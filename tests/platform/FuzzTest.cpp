#include "CallerServer.h"
#include "PlatformCatalog.h"
#include "PlatformSettings.h"
#include "SimCluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <nlohmann/json.hpp>

#include <limits>
#include <random>
#include <set>

namespace rosemarylink::platform {

namespace {

    using Json = nlohmann::json;
    using Random = std::mt19937;

    int pick(Random& random, int count) { return std::uniform_int_distribution<>(0, count - 1)(random); }

    // Returns a value of a random type, chosen to provoke overflows and type errors.
    Json extremeValue(Random& random)
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
            json = extremeValue(random);
    }

    // Serializes the JSON after replacing or removing some fields, and sometimes changes some bytes of the text.
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

    template <typename Value> bool isParsedOrHasError(const Result<Value>& result)
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

    std::string randomBytes(Random& random, int most)
    {
        std::string bytes(static_cast<std::size_t>(pick(random, most + 1)), ' ');
        for (char& byte : bytes)
            byte = static_cast<char>(1 + pick(random, 255));
        return bytes;
    }

} // namespace

// Guards against requests that crash the process or exhaust its memory.
TEST_CASE("every request of a caller gets exactly one response")
{
    jobs::SimCluster cluster(1);
    cluster.addWorkers(1, 2);
    cluster.world.run(Milliseconds(3000));
    std::set<std::string> cancelled; // ids of which a cancellation found no job
    rc::prop("answered", [&cluster, &cancelled](std::uint32_t seed) {
        Random random(seed);
        const std::string id
            = pick(random, 3) > 0 ? "0123456789abcde" + std::to_string(pick(random, 10)) : randomBytes(random, 300);
        const std::vector<std::string> methods { "POST", "POST", "POST", "GET", "DELETE", "PUT" };
        const std::string& method = methods[static_cast<std::size_t>(pick(random, 6))];
        int responses = 0;
        int status = 0;
        serveCaller(cluster.instances[0]->admission,
            request(method, "/batch/" + id,
                pick(random, 4) > 0 ? mutated(random, submission()) : randomBytes(random, 2000)),
            [&responses, &status](const reactor::ServerResponse& response) {
                ++responses;
                status = response.status;
                RC_ASSERT(!Json::parse(response.body, nullptr, /*allow_exceptions=*/false).is_discarded());
            });
        cluster.world.run(Milliseconds(200));
        RC_ASSERT(responses == 1);
        if (method == "DELETE" && status == 410)
            cancelled.insert(id);
        // A submission after the cancellation of its job is refused as not run.
        const bool refused = status == 503 && method == "POST" && cancelled.count(id) > 0;
        RC_ASSERT(refused || (status >= 200 && status < 500));
    });
}

// Guards against accepting a job that exhausts the owner's memory or whose record cannot be parsed.
TEST_CASE("a valid submission is limited in size and its record can be parsed")
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

// Guards against malformed records in the store that crash the process.
TEST_CASE("malformed records are parsed or rejected")
{
    const Json configuration = { { "Version", 3 },
        { "Tenants", { { { "Name", "a" }, { "ApiKeys", { "k" } }, { "Guaranteed", { { "Gpu", 8 } } } } } },
        { "Routes",
            { { { "Name", "q" }, { "Host", "h" }, { "Prefix", "/q/" }, { "Service", "s" }, { "Priority", 1 } } } },
        { "Limits", { { "MaxBodyBytes", 1000 } } } };
    const Json worker = { { "Address", "10.0.0.1:80" }, { "Service", "s" }, { "Zone", "z" }, { "State", "ready" },
        { "born", 12345 }, { "Labels", { "a", "r1-1" } }, { "Capacity", { { "Cpu", 1000 }, { "Gpu", 8 } } } };
    rc::prop("parsed or rejected", [&](std::uint32_t seed) {
        Random random(seed);
        const PlatformCatalog catalog;
        const auto read = catalog.parseConfiguration({ "op/config", mutated(random, configuration), Revision(1) });
        RC_ASSERT(isParsedOrHasError(read));
        const auto entry = catalog.parseWorker({ "servers/w", mutated(random, worker), Revision(1) });
        RC_ASSERT(isParsedOrHasError(entry));
        jobs::JobSpec spec = jobs::oneStep(2, 1, Milliseconds(100), /*gang=*/true);
        jobs::Job job = jobs::makeJob(spec, Revision(1));
        const Json progress = { { "state", "active" }, { "steps", { { { "done", { 0 } } } } } };
        (void)jobs::applyProgressRecord(mutated(random, progress), job);
    });
}

// Guards against malformed settings that crash the process.
TEST_CASE("malformed settings are parsed or rejected")
{
    const Json settings = { { "NodeName", "n" }, { "Zone", "z" }, { "Ip", "10.0.0.1" },
        { "Listen", { { "Frontend", "10.0.0.1:80" }, { "Readiness", "10.0.0.1:81" } } },
        { "InternalPortRange", { 7000, 7015 } }, { "platform", { { "Address", "10.0.0.9:80" } } },
        { "Limits", { { "CpuShare", 0.25 }, { "LinkMbps", 100 } } },
        { "Bounds", { { "GraceS", 6 }, { "StopMs", 900 } } } };
    rc::prop("parsed or rejected", [&settings](std::uint32_t seed) {
        Random random(seed);
        const auto read = parsePlatformSettings(mutated(random, settings));
        RC_ASSERT(isParsedOrHasError(read));
    });
}

} // namespace rosemarylink::platform
