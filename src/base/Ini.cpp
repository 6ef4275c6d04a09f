#include "rosemarylink/base/Ini.h"

#include <Poco/String.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace rosemarylink {

namespace {

    Error lineError(const std::string& file, int line, const std::string& problem)
    {
        return invalidArgument(file + ":" + std::to_string(line) + ": " + problem);
    }

    class IniParser {
    public:
        explicit IniParser(std::string file) { document_.file = std::move(file); }

        Status parseLine(const std::string& rawLine, int number)
        {
            const std::string line = Poco::trim(rawLine);
            if (line.empty() || line[0] == ';' || line[0] == '#')
                return okStatus();
            return line[0] == '[' ? parseHeader(line, number) : parseEntry(line, number);
        }

        IniDocument take() { return std::move(document_); }

    private:
        Status parseHeader(const std::string& line, int number)
        {
            if (line.back() != ']' || line.size() < 3)
                return lineError(document_.file, number, "a section header must look like [name]");
            const std::string name = Poco::trim(line.substr(1, line.size() - 2));
            for (const IniSection& section : document_.sections) {
                if (section.name == name) {
                    return lineError(document_.file, number,
                        "section [" + name + "] appears twice; the first is on line " + std::to_string(section.line));
                }
            }
            document_.sections.push_back({ name, number, {} });
            return okStatus();
        }

        Status parseEntry(const std::string& line, int number)
        {
            const auto equals = line.find('=');
            if (equals == std::string::npos)
                return lineError(
                    document_.file, number, "\"" + line + "\" is neither a [section] nor a key = value line");
            const std::string key = Poco::trim(line.substr(0, equals));
            if (key.empty())
                return lineError(document_.file, number, "the key before '=' is missing");
            if (document_.sections.empty())
                document_.sections.push_back({ "", number, {} });
            IniSection& section = document_.sections.back();
            for (const IniEntry& entry : section.entries) {
                if (entry.key == key) {
                    return lineError(document_.file, number,
                        "key \"" + key + "\" appears twice in section [" + section.name + "]; the first is on line "
                            + std::to_string(entry.line));
                }
            }
            section.entries.push_back({ key, Poco::trim(line.substr(equals + 1)), number });
            return okStatus();
        }

        IniDocument document_;
    };

} // namespace

Result<IniDocument> parseIni(const std::string& text, const std::string& file)
{
    IniParser parser(file);
    std::istringstream lines(text);
    std::string line;
    for (int number = 1; std::getline(lines, line); ++number) {
        BOOST_OUTCOME_TRYV(parser.parseLine(line, number));
    }
    return parser.take();
}

Result<IniDocument> readIniFile(const std::string& path)
{
    std::ifstream input(path);
    std::ostringstream text;
    if (!input || !(text << input.rdbuf()))
        return makeError(ErrorCode::NotFound, path + ": the file cannot be read");
    return parseIni(text.str(), path);
}

} // namespace rosemarylink
