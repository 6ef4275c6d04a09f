#include "CommandRunner.h"

namespace rosemarylink::control {
namespace {

    TEST_CASE("check works without a gateway and reports each problem with exit code 2")
    {
        CommandRunner run;
        const std::string valid = run.declarations("valid", sampleDeclarations());
        const auto good = run.runArguments({ "check", valid });
        CHECK(good.exitCode == 0);
        CHECK(contains(good.output, "valid, 2 client accounts, 2 guarantees, preset ordinary"));
        run.directory.makeSubdirectory("wrong");
        run.directory.write("wrong/a.ini", "[preset]\nname = calm\n[account a]\nweight = -1\n");
        const auto bad = run.runArguments({ "check", run.directory.path() + "/wrong" });
        CHECK(bad.exitCode == 2);
        CHECK(contains(bad.errors, "a.ini:2: [preset] key \"name\" has the value \"calm\""));
        CHECK(contains(bad.errors, "a.ini:4: [account a] key \"weight\" has the value \"-1\""));
    }

    TEST_CASE("diff, apply and export are consistent, and a second apply changes nothing")
    {
        CommandRunner run;
        const std::string changed = run.declarations("changed", withHarborWeight(4));
        const auto diff = run({ "diff", changed });
        CHECK(diff.exitCode == 0);
        CHECK(diff.output == "differences from version 1:\n  account harbor: weight 3.0 -> 4.0\n");
        const auto dryRun = run({ "apply", changed, "--dry-run" });
        CHECK(dryRun.exitCode == 0);
        CHECK(contains(dryRun.output, "would change version 1; nothing is stored"));
        CHECK(run.fixture.backend.proposals == 0);
        const auto applied = run({ "apply", changed });
        CHECK(applied.exitCode == 0);
        CHECK(applied.output == "version 2 is accepted:\n  account harbor: weight 3.0 -> 4.0\n");
        CHECK(run({ "apply", changed }).output == "nothing differs from version 2\n");
        CHECK(run.fixture.backend.proposals == 1);

        const std::string exported = run.directory.path() + "/exported";
        CHECK(run({ "export", exported }).exitCode == 0);
        CHECK(run({ "diff", exported }).output == "nothing differs from version 2\n");
        CHECK(model::toJson(readDeclarationDirectory(exported).value()) == model::toJson(withHarborWeight(4)));
        CHECK(run({ "export", exported }).exitCode == 2);
        CHECK(run({ "export", exported, "--replace" }).exitCode == 0);
    }

    TEST_CASE("invalid declarations are refused before a gateway is called")
    {
        CommandRunner run;
        run.directory.makeSubdirectory("wrong");
        run.directory.write("wrong/a.ini", "[account a]\nweight = 1\n");
        const auto result = run({ "apply", run.directory.path() + "/wrong" });
        CHECK(result.exitCode == 2);
        CHECK(contains(result.errors, "the section [preset] is missing"));
        CHECK(contains(run({ "apply", run.directory.path() + "/none" }).errors, "cannot be read"));
        CHECK(run.fixture.backend.proposals == 0);
    }

    TEST_CASE("guarantees that do not fit the fleet are refused with exit code 1 and the reason")
    {
        CommandRunner run;
        run.fixture.backend.feasibilityFailure = invalidArgument("guarantee harbor/night: 2 gangs lack racks in amman");
        const auto result = run({ "apply", run.declarations("changed", withHarborWeight(4)) });
        CHECK(result.exitCode == 1);
        CHECK(contains(result.errors, "guarantee harbor/night: 2 gangs lack racks in amman"));
        CHECK(run.fixture.backend.currentConfig().value().version == ConfigVersion(1));
    }

    TEST_CASE("a change for a version that is no longer current is a conflict with exit code 4")
    {
        CommandRunner run;
        const std::string changed = run.declarations("changed", withHarborWeight(4));
        run.fixture.backend.storeAs("layla", withHarborWeight(5));
        const auto result = run({ "apply", changed, "--expect", "1" });
        CHECK(result.exitCode == 4);
        CHECK(contains(result.errors, "version 2 was accepted from layla at 1970-01-01T00:00:00Z"));
        run.fixture.backend.concurrentChangesBeforePropose = 1;
        CHECK(run({ "apply", changed }).exitCode == 4);
        CHECK(run.fixture.backend.currentConfig().value().declarations.accounts[1].weight == 5);
        CHECK(run({ "apply", changed, "--expect", "soon" }).exitCode == 2);
    }

    TEST_CASE("--wait reports the instances that are behind and ends when the version is in force everywhere")
    {
        CommandRunner run;
        run.fixture.backend.pollsUntilInForce = 8;
        run.fixture.backend.behind = { { InstanceId("s2"), ConfigVersion(1) } };
        const auto result = run({ "apply", run.declarations("changed", withHarborWeight(4)), "--wait" });
        CHECK(result.exitCode == 0);
        CHECK(result.errors == "version 2: 1 instances are behind: s2 has version 1\n");
        CHECK(contains(result.output, "version 2 is in force everywhere"));
        CHECK(run.clock.monotonic() == Milliseconds(8 * 250));
    }

    TEST_CASE("--wait ends with exit code 5 when an instance stays behind, and the version stays accepted")
    {
        CommandRunner run;
        run.fixture.backend.pollsUntilInForce = 1000000;
        run.fixture.backend.behind = { { InstanceId("s2"), ConfigVersion(1) } };
        const auto result = run({ "preset", "set", "peak", "--wait", "--wait-timeout", "20000" });
        CHECK(result.exitCode == 5);
        CHECK(contains(result.errors,
            "version 2 is accepted, but was not in force everywhere after 20 s; 1 instances are "
            "behind: s2 has version 1"));
        CHECK(run.clock.monotonic() == Milliseconds(20000));
        CHECK(run.fixture.backend.currentConfig().value().declarations.preset == model::Preset::Peak);
    }

    TEST_CASE("the preset is shown and set, and an invalid name is refused before a gateway is called")
    {
        CommandRunner run;
        CHECK(run({ "preset", "show" }).output == "ordinary (version 1)\n");
        CHECK(run({ "preset", "set", "maintenance" }).exitCode == 0);
        CHECK(run({ "preset", "show" }).output == "maintenance (version 2)\n");
        CHECK(run({ "preset", "set", "maintenance" }).output == "nothing differs from version 2\n");
        const auto wrong = run({ "preset", "set", "calm" });
        CHECK(wrong.exitCode == 2);
        CHECK(contains(wrong.errors, "PRESET is \"calm\"; it must be one of ordinary, peak, maintenance"));
    }

    TEST_CASE("--format json prints one object that matches schema/api.json")
    {
        CommandRunner run;
        const std::string changed = run.declarations("changed", withHarborWeight(4));
        const auto applied = run({ "apply", changed, "--wait", "--format", "json" });
        const auto change = api::parseConfigChange(nlohmann::json::parse(applied.output)).value();
        CHECK(change.version == ConfigVersion(2));
        CHECK(change.inForce->everywhere);
        CHECK(api::parseStatusView(nlohmann::json::parse(run({ "status", "--format", "json" }).output)));
        CHECK(api::parseAuditList(nlohmann::json::parse(run({ "audit", "--format", "json" }).output))
                  .value()
                  .entries.size()
            == 2);
    }

} // namespace
} // namespace rosemarylink::control
