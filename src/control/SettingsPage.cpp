#include "rosemarylink/base/Settings.h"
#include "rosemarylink/control/CommandLine.h"
#include "rosemarylink/generated/Ctl.h"
#include "rosemarylink/generated/Declarations.h"
#include "rosemarylink/generated/SettingsGateway.h"
#include "rosemarylink/generated/SettingsScheduler.h"
#include "rosemarylink/generated/SettingsStandin.h"

namespace rosemarylink::control {

namespace {

    struct SettingsChapter {
        std::string title;
        std::string introduction;
        const std::vector<SettingSpec>& specs;
    };

    // To add the settings of another program, include its generated header, add an entry here and write the output of
    // "rosemarylinkctl settings" to docs/operators/settings.md.
    std::vector<SettingsChapter> chapters()
    {
        const std::string daemonIntroduction = "File given by `--settings`. Each key is also a flag, `--section.key`.";
        return {
            { "rosemarylink-gateway", daemonIntroduction, settings_gateway::gatewaySettingsSpecs() },
            { "rosemarylink-scheduler", daemonIntroduction, settings_scheduler::schedulerSettingsSpecs() },
            { "rosemarylink-standin", daemonIntroduction + " For tests and the demo.",
                settings_standin::standInSettingsSpecs() },
            { "rosemarylinkctl", "File given by `--settings` or `ROSEMARYLINKCTL_SETTINGS`. Each key is also a flag.",
                ctl::ctlSettingsSpecs() },
            { "Declarations: `[preset]`", "Exactly one.", declarations::presetSectionSpecs() },
            { "Declarations: `[weights]`", "At most one.", declarations::weightsSectionSpecs() },
            { "Declarations: `[account NAME]`", "One for each client account.", declarations::accountSectionSpecs() },
            { "Declarations: `[guarantee ACCOUNT/NAME]`", "One for each guaranteed shape.",
                declarations::guaranteeSectionSpecs() },
            { "Declarations: `[worth KIND]`", "One for each kind of job or service of requests that is not worth 1.",
                declarations::worthSectionSpecs() },
        };
    }

} // namespace

std::string settingsPage()
{
    std::string page = "# Settings\n\n"
                       "This page is generated from `schema/` by `rosemarylinkctl settings`; a test keeps it up to "
                       "date. Unknown keys are\nrefused with the nearest known one.\n";
    for (const SettingsChapter& chapter : chapters())
        page += "\n## " + chapter.title + "\n\n" + chapter.introduction + "\n\n" + settingsTable(chapter.specs);
    return page;
}

} // namespace rosemarylink::control
