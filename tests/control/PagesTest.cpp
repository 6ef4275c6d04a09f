#include "Command.h"
#include "CommandRunner.h"

#include <filesystem>
#include <fstream>
#include <regex>

// These tests must run in the root of the repository.
namespace rosemarylink::control {
namespace {

    std::string readFile(const std::filesystem::path& path)
    {
        std::ifstream input(path);
        std::ostringstream text;
        text << input.rdbuf();
        return text.str();
    }

    std::vector<std::filesystem::path> pages()
    {
        std::vector<std::filesystem::path> paths { "docs/glossary.md" };
        for (const auto& entry : std::filesystem::directory_iterator("docs/operators"))
            paths.push_back(entry.path());
        return paths;
    }

    // Returns the options in a line that the command does not have.
    std::vector<std::string> unknownOptions(const internal::Command& command, const std::string& line)
    {
        boost::program_options::options_description options;
        if (command.addOptions)
            command.addOptions(options);
        options.add(internal::commonOptions());
        std::vector<std::string> unknown;
        const std::regex option("--([A-Za-z-]+)");
        for (std::sregex_iterator match(line.begin(), line.end(), option), end; match != end; ++match) {
            if (!options.find_nothrow((*match)[1], false))
                unknown.push_back((*match)[0]);
        }
        return unknown;
    }

    const internal::Command* commandOf(const std::string& words)
    {
        for (const internal::Command& command : internal::allCommands()) {
            std::string name = command.words[0];
            if (command.words.size() == 2)
                name += " " + command.words[1];
            if (words == name || words.compare(0, name.size() + 1, name + " ") == 0)
                return &command;
        }
        return nullptr;
    }

    // Guards against a schema change without regenerating the settings page.
    TEST_CASE("the settings page matches the schemas")
    {
        CommandRunner run;
        const auto printed = run.runArguments({ "settings" });
        CHECK(printed.exitCode == 0);
        CHECK(readFile("docs/operators/settings.md") == printed.output);
    }

    // Guards against documentation of commands or options that do not exist.
    TEST_CASE("the pages use commands and options that exist")
    {
        const std::regex use("rosemarylinkctl ([a-z][^`\\n|]*)");
        int uses = 0;
        for (const auto& path : pages()) {
            const std::string text = readFile(path);
            for (std::sregex_iterator match(text.begin(), text.end(), use), end; match != end; ++match) {
                const std::string words = (*match)[1];
                CAPTURE(path, words);
                // Prose about the program itself; no command follows.
                if (words.compare(0, 3, "of ") == 0)
                    continue;
                const internal::Command* command = commandOf(words);
                REQUIRE(command);
                CHECK(unknownOptions(*command, words).empty());
                ++uses;
            }
        }
        CHECK(uses > 20);
    }

    TEST_CASE("links between the pages point to existing files")
    {
        const std::regex link("\\]\\(([^)#]+)(#[^)]*)?\\)");
        int links = 0;
        for (const auto& path : pages()) {
            const std::string text = readFile(path);
            for (std::sregex_iterator match(text.begin(), text.end(), link), end; match != end; ++match) {
                CAPTURE(path, (*match)[1].str());
                CHECK(std::filesystem::exists(path.parent_path() / (*match)[1].str()));
                ++links;
            }
        }
        CHECK(links > 5);
    }

    TEST_CASE("the page of rosemarylinkctl lists every command and exit code")
    {
        const std::string page = readFile("docs/operators/rosemarylinkctl.md");
        for (const internal::Command& command : internal::allCommands()) {
            std::string name = "`" + command.words[0];
            if (command.words.size() == 2)
                name += " " + command.words[1];
            CAPTURE(name);
            CHECK(contains(page, name));
        }
        for (int code = 0; code <= static_cast<int>(ExitCode::TimedOut); ++code)
            CHECK(contains(page, "\n| " + std::to_string(code) + " |"));
    }

} // namespace
} // namespace rosemarylink::control
