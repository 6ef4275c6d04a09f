#include "rosemarylink/control/DeclarationFiles.h"
#include "rosemarylink/control/DeclarationRules.h"
#include "rosemarylink/control/TimeText.h"

#include "Command.h"
#include "ConfigWait.h"

namespace rosemarylink::control::internal {

namespace po = boost::program_options;

namespace {

    Outcome<api::ConfigView> fetchConfig(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/config"));
        return checkedAnswer(api::parseConfigView(json));
    }

    std::string matchHeader(ConfigVersion version) { return "\"" + std::to_string(version.value()) + "\""; }

    void printChanges(const CommandContext& context, const std::vector<std::string>& changes)
    {
        for (const std::string& change : changes)
            context.out() << "  " << change << "\n";
    }

    void printChange(const CommandContext& context, const api::ConfigChange& change)
    {
        if (context.json()) {
            context.printJson(api::toJson(change));
            return;
        }
        const std::string version = "version " + std::to_string(change.version.value());
        if (!change.changed)
            context.out() << "nothing differs from " << version << "\n";
        else if (change.dryRun)
            context.out() << "would change " << version << "; nothing is stored:\n";
        else
            context.out() << version << " is accepted:\n";
        printChanges(context, change.changes);
        if (change.inForce && change.inForce->everywhere)
            context.out() << version << " is in force everywhere\n";
    }

    // Sends a change with the version that it is based on. Retrying is safe: if the first attempt was stored, the
    // server finds no difference, or reports a conflict with a later version of another operator.
    Outcome<void> sendChange(
        CommandContext& context, const std::string& path, ConfigVersion expected, const nlohmann::json& body)
    {
        const bool dryRun = context.flag("dry-run");
        BOOST_OUTCOME_TRY(json,
            context.client->send("PUT", path + (dryRun ? "?dryRun=true" : ""),
                { { "If-Match", matchHeader(expected) } }, body, RetrySafety::Safe));
        BOOST_OUTCOME_TRY(change, checkedAnswer(api::parseConfigChange(json)));
        if (context.flag("wait") && !dryRun) {
            BOOST_OUTCOME_TRY(inForce, waitUntilInForce(context, change.version));
            change.inForce = inForce;
        }
        printChange(context, change);
        return boost::outcome_v2::success();
    }

    void addChangeOptions(po::options_description& options)
    {
        options.add_options()("dry-run", po::bool_switch(), "Check everything at a gateway and store nothing.");
        options.add_options()("wait", po::bool_switch(),
            "Return when the version is in force everywhere; progress goes to standard error.");
    }

    void addApplyOptions(po::options_description& options)
    {
        addChangeOptions(options);
        options.add_options()("expect", po::value<std::string>()->value_name("VERSION"),
            "Refuse unless this is the current version, such as the one that diff printed.");
    }

    Outcome<void> runCheck(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(declarations, checkedInput(readDeclarationDirectory(context.arguments[0])));
        const std::size_t accounts = declarations.accounts.size();
        const std::size_t guarantees = declarations.guarantees.size();
        if (context.json())
            context.printJson({ { "valid", true }, { "accounts", accounts }, { "guarantees", guarantees } });
        else
            context.out() << context.arguments[0] << ": valid, " << accounts << " client accounts, " << guarantees
                          << " guarantees, preset " << model::presetName(declarations.preset) << "\n";
        return boost::outcome_v2::success();
    }

    Outcome<void> runDiff(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(declarations, checkedInput(readDeclarationDirectory(context.arguments[0])));
        BOOST_OUTCOME_TRY(current, fetchConfig(context));
        const auto changes = describeChanges(current.declarations, declarations);
        if (context.json()) {
            context.printJson({ { "version", current.version.value() }, { "changes", changes } });
            return boost::outcome_v2::success();
        }
        context.out() << (changes.empty() ? "nothing differs from version " : "differences from version ")
                      << current.version << (changes.empty() ? "\n" : ":\n");
        printChanges(context, changes);
        return boost::outcome_v2::success();
    }

    Outcome<ConfigVersion> expectedVersion(const std::string& text)
    {
        if (text.empty() || text.size() > 15 || text.find_first_not_of("0123456789") != std::string::npos)
            return badInput("--expect has the value \"" + text + "\"; it must be a configuration version, such as 12");
        return ConfigVersion(std::stoll(text));
    }

    Outcome<void> runApply(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(declarations, checkedInput(readDeclarationDirectory(context.arguments[0])));
        ConfigVersion expected;
        if (const auto text = context.text("expect")) {
            BOOST_OUTCOME_TRY(version, expectedVersion(*text));
            expected = version;
        } else {
            BOOST_OUTCOME_TRY(current, fetchConfig(context));
            expected = current.version;
        }
        return sendChange(context, "/v1/config", expected, model::toJson(declarations));
    }

    void addExportOptions(po::options_description& options)
    {
        options.add_options()(
            "replace", po::bool_switch(), "Replace the files *.ini of the directory; comments in them are lost.");
    }

    Outcome<void> runExport(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(current, fetchConfig(context));
        const std::string& directory = context.arguments[0];
        BOOST_OUTCOME_TRYV(
            checkedInput(writeDeclarationDirectory(directory, current.declarations, context.flag("replace"))));
        if (context.json())
            context.printJson({ { "version", current.version.value() }, { "directory", directory } });
        else
            context.out() << "version " << current.version << " is written to " << directory << "\n";
        return boost::outcome_v2::success();
    }

    Outcome<void> runPresetShow(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/preset"));
        BOOST_OUTCOME_TRY(view, checkedAnswer(api::parsePresetView(json)));
        if (context.json())
            context.printJson(api::toJson(view));
        else
            context.out() << model::presetName(view.preset) << " (version " << view.version << ")\n";
        return boost::outcome_v2::success();
    }

    Outcome<void> runPresetSet(CommandContext& context)
    {
        BOOST_OUTCOME_TRY(preset, checkedInput(model::parsePreset(context.arguments[0], "PRESET")));
        BOOST_OUTCOME_TRY(json, context.client->get("/v1/preset"));
        BOOST_OUTCOME_TRY(current, checkedAnswer(api::parsePresetView(json)));
        return sendChange(context, "/v1/preset", current.version, api::toJson(api::PresetRequest { preset }));
    }

} // namespace

std::vector<Command> configCommands()
{
    const CommandArgument directory { "DIR", {} };
    return {
        { { "check" }, { directory }, "Check a directory of declarations without a gateway.", false, nullptr,
            runCheck },
        { { "diff" }, { directory }, "Show what apply would change.", true, nullptr, runDiff },
        { { "apply" }, { directory }, "Put a directory of declarations in force as one version.", true, addApplyOptions,
            runApply },
        { { "export" }, { directory }, "Write the declarations in force to a directory.", true, addExportOptions,
            runExport },
        { { "preset", "show" }, {}, "Show the preset in force.", true, nullptr, runPresetShow },
        { { "preset", "set" }, { { "PRESET", { "ordinary", "peak", "maintenance" } } }, "Put a preset in force.", true,
            addChangeOptions, runPresetSet },
    };
}

} // namespace rosemarylink::control::internal
