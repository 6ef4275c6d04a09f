#include "Completion.h"

#include "Command.h"

#include <algorithm>
#include <map>

namespace rosemarylink::control::internal {

namespace {

    namespace po = boost::program_options;

    void appendWord(std::string& words, const std::string& word) { words += (words.empty() ? "" : " ") + word; }

    std::string optionWords(const Command& command)
    {
        po::options_description options;
        if (command.addOptions)
            command.addOptions(options);
        options.add(commonOptions());
        std::string words;
        for (const auto& option : options.options())
            appendWord(words, "--" + option->long_name());
        return words;
    }

    std::string argumentWords(const Command& command)
    {
        std::string words;
        for (const CommandArgument& argument : command.arguments) {
            for (const std::string& value : argument.values)
                appendWord(words, value);
        }
        return words;
    }

    bool takesDirectory(const Command& command)
    {
        return std::any_of(command.arguments.begin(), command.arguments.end(),
            [](const CommandArgument& argument) { return argument.name == "DIR"; });
    }

    // Returns the branch of the script's case statement that completes the options and arguments of a command.
    std::string commandBranch(const Command& command)
    {
        std::string name = command.words[0];
        if (command.words.size() == 2)
            name += " " + command.words[1];
        const std::string pattern = command.words.size() == 2 ? "\"" + name + "\"*" : "\"" + name + " \"*";
        const std::string words
            = optionWords(command) + (argumentWords(command).empty() ? "" : " " + argumentWords(command));
        return "    " + pattern + ") words=\"" + words + "\"" + (takesDirectory(command) ? "; directories=-d" : "")
            + " ;;\n";
    }

} // namespace

std::string bashCompletion()
{
    std::string firstWords;
    std::map<std::string, std::string> subcommandsByGroup; // by first word
    std::string branches;
    for (const Command& command : allCommands()) {
        if (command.words.size() == 2)
            appendWord(subcommandsByGroup[command.words[0]], command.words[1]);
        if (command.words.size() == 1 || subcommandsByGroup[command.words[0]] == command.words[1])
            appendWord(firstWords, command.words[0]);
        branches += commandBranch(command);
    }
    std::string groupBranches;
    for (const auto& [word, subcommands] : subcommandsByGroup)
        groupBranches += "    " + word + ") words=\"" + subcommands + "\" ;;\n";
    return "# bash completion of rosemarylinkctl; use: source <(rosemarylinkctl completion bash)\n"
           "_rosemarylinkctl()\n"
           "{\n"
           "  local words=\"\" directories=\"\" current=\"${COMP_WORDS[COMP_CWORD]}\"\n"
           "  if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
           "    words=\""
        + firstWords
        + " --help --check-settings\"\n"
          "  else\n"
          "    [ \"$COMP_CWORD\" -eq 2 ] && case \"${COMP_WORDS[1]}\" in\n"
        + groupBranches
        + "    esac\n"
          "    [ -z \"$words\" ] && case \"${COMP_WORDS[1]} ${COMP_WORDS[2]}\" in\n"
        + branches
        + "    esac\n"
          "  fi\n"
          "  COMPREPLY=($(compgen $directories -W \"$words\" -- \"$current\"))\n"
          "}\n"
          "complete -o filenames -F _rosemarylinkctl rosemarylinkctl\n";
}

} // namespace rosemarylink::control::internal
