#include "Command.h"
#include "Completion.h"

namespace rosemarylink::control::internal {

namespace {

    Outcome<void> runVersion(CommandContext& context)
    {
        if (context.json())
            context.printJson({ { "version", ROSEMARYLINK_VERSION } });
        else
            context.out() << "rosemarylinkctl " << ROSEMARYLINK_VERSION << "\n";
        return boost::outcome_v2::success();
    }

    Outcome<void> runCompletion(CommandContext& context)
    {
        if (context.arguments[0] != "bash")
            return badInput("completion: SHELL is \"" + context.arguments[0] + "\"; it must be bash");
        context.out() << bashCompletion();
        return boost::outcome_v2::success();
    }

    Outcome<void> runSettings(CommandContext& context)
    {
        context.out() << settingsPage();
        return boost::outcome_v2::success();
    }

} // namespace

std::vector<Command> toolCommands()
{
    return {
        { { "version" }, {}, "Print the software version.", false, nullptr, runVersion },
        { { "completion" }, { { "SHELL", { "bash" } } }, "Print the completion script of a shell (bash).", false,
            nullptr, runCompletion },
        { { "settings" }, {}, "Print the page of all settings and declarations as Markdown.", false, nullptr,
            runSettings },
    };
}

} // namespace rosemarylink::control::internal
