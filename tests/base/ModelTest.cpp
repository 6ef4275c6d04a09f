#include "rosemarylink/generated/Model.h"

#include <catch2/catch.hpp>

namespace rosemarylink {
namespace {

    nlohmann::json exampleJob()
    {
        return { { "id", "j1" }, { "account", "a" }, { "kind", "train" }, { "tasks", 8 },
            { "perTask", { { "cores", 4 }, { "accelerators", 1 } } }, { "declaredRunTime", 60000 } };
    }

    std::string failureOf(const nlohmann::json& json)
    {
        const auto job = model::parseJobSpec(json);
        return job ? "" : job.error().message;
    }

    TEST_CASE("a job is unchanged by a CBOR round trip")
    {
        const auto job = model::parseJobSpec(exampleJob()).value();
        const auto cbor = nlohmann::json::to_cbor(model::toJson(job));
        const auto again = model::parseJobSpec(nlohmann::json::from_cbor(cbor)).value();
        CHECK(model::toJson(again) == model::toJson(job));
        CHECK(again.adjacency == model::Adjacency::Region);
        CHECK_FALSE(again.region.has_value());
    }

    TEST_CASE("a job with an invalid value is refused with the path of the value")
    {
        auto json = exampleJob();
        json["tasks"] = 129;
        CHECK(failureOf(json) == "JobSpec.tasks is 129; it must be from 1 to 128");
        json = exampleJob();
        json["perTask"]["core"] = 1;
        CHECK(failureOf(json) == "JobSpec.perTask has the unknown key \"core\"; did you mean \"cores\"?");
        json = exampleJob();
        json.erase("kind");
        CHECK(failureOf(json) == "JobSpec lacks the required key \"kind\"");
        json = exampleJob();
        json["adjacency"] = "near";
        CHECK(failureOf(json)
            == "JobSpec.adjacency is \"near\"; it must be one of worker, rack, neighbouring-racks, region");
    }

} // namespace
} // namespace rosemarylink
