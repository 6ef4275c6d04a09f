#include "rosemarylink/control/DeclarationFiles.h"

#include "CommandRunner.h"

#include <fstream>
#include <map>
#include <set>

// These tests must run in the root of the repository.
namespace rosemarylink::control {
namespace {

    std::vector<model::WorkerSpec> readWorkers(const std::string& deployment)
    {
        std::ifstream input("deploy/" + deployment + "/workers.json");
        std::vector<model::WorkerSpec> workers;
        for (const auto& json : nlohmann::json::parse(input))
            workers.push_back(model::parseWorkerSpec(json).value());
        return workers;
    }

    std::map<RegionId, std::int64_t> acceleratorsByRegion(const std::vector<model::WorkerSpec>& workers)
    {
        std::map<RegionId, std::int64_t> sums;
        for (const model::WorkerSpec& worker : workers)
            sums[worker.region] += worker.capacity.accelerators.value();
        return sums;
    }

    std::set<RegionId> regionsOf(const std::string& deployment)
    {
        if (deployment == "tidyroom")
            return { RegionId("amman"), RegionId("irbid"), RegionId("aqaba") };
        return { RegionId("palermo"), RegionId("catania"), RegionId("siracusa") };
    }

    // Guards against sample declarations that violate the rules or exceed the capacity of their workers.
    TEST_CASE("the sample deployments are valid and their guarantees fit their regions")
    {
        for (const std::string deployment : { "tidyroom", "frescura" }) {
            CAPTURE(deployment);
            const auto declarations = readDeclarationDirectory("deploy/" + deployment + "/declarations");
            REQUIRE(declarations);
            CHECK(declarations.value().accounts.size() == 4);
            const auto workers = readWorkers(deployment);
            CHECK(workers.size() == 48);
            auto left = acceleratorsByRegion(workers);
            for (const model::GuaranteedShape& shape : declarations.value().guarantees)
                left[shape.region] -= shape.gangs * shape.tasks * shape.perTask.accelerators.value();
            std::set<RegionId> regions;
            for (const auto& [region, accelerators] : left) {
                CAPTURE(region);
                CHECK(accelerators >= 0);
                regions.insert(region);
            }
            CHECK(regions == regionsOf(deployment));
        }
    }

    TEST_CASE("each sample rack has 8 workers of 8 accelerators")
    {
        for (const std::string deployment : { "tidyroom", "frescura" }) {
            std::map<RackId, int> racks;
            std::set<WorkerId> ids;
            for (const model::WorkerSpec& worker : readWorkers(deployment)) {
                CHECK(worker.capacity.accelerators == Accelerators(8));
                ++racks[worker.rack];
                ids.insert(worker.id);
            }
            CHECK(ids.size() == 48);
            CHECK(racks.size() == 6);
            for (const auto& [rack, workers] : racks)
                CHECK(workers == 8);
        }
    }

    TEST_CASE("the sample settings of rosemarylinkctl are valid")
    {
        CommandRunner run;
        for (const std::string deployment : { "tidyroom", "frescura" })
            CHECK(run.runArguments({ "--check-settings", "--settings", "deploy/" + deployment + "/ctl.ini" }).exitCode
                == 0);
    }

    TEST_CASE("the sample declarations can be applied")
    {
        for (const std::string deployment : { "tidyroom", "frescura" }) {
            CommandRunner run;
            CHECK(run({ "apply", "deploy/" + deployment + "/declarations" }).exitCode == 0);
            CHECK(run.fixture.backend.currentConfig().value().declarations.accounts.size() == 4);
        }
    }

} // namespace
} // namespace rosemarylink::control
