#include "rosemarylink/base/JsonReader.h"
#include "rosemarylink/control/DeclarationFiles.h"
#include "rosemarylink/control/DeclarationRules.h"
#include "rosemarylink/generated/Declarations.h"

#include <Poco/String.h>

#include <map>
#include <optional>

namespace rosemarylink::control {

namespace {

    using Entity = DeclarationProblem::Entity;

    const std::vector<std::string> sectionKinds { "preset", "weights", "account", "guarantee", "worth" };

    struct SectionName {
        std::string kind;
        std::string name; // empty for preset and weights
    };

    SectionName splitName(const std::string& header)
    {
        const auto space = header.find_first_of(" \t");
        if (space == std::string::npos)
            return { header, "" };
        return { header.substr(0, space), Poco::trim(header.substr(space)) };
    }

    struct SectionLocation {
        std::string file;
        IniSection section;
    };

    std::string locationText(const SectionLocation& location, int line)
    {
        return location.file + ":" + std::to_string(line) + ": ";
    }

    int lineOf(const IniSection& section, const std::string& key)
    {
        for (const IniEntry& entry : section.entries) {
            if (entry.key == key)
                return entry.line;
        }
        return section.line;
    }

    std::string sectionKind(Entity entity) { return sectionKinds[static_cast<std::size_t>(entity)]; }

    class DeclarationParser {
    public:
        void parseFile(const DeclarationFile& file)
        {
            const auto document = parseIni(file.text, file.path);
            if (!document) {
                problems_.push_back(document.error().message);
                hasUnparsedFile_ = true;
                return;
            }
            for (const IniSection& section : document.value().sections)
                parseSection({ file.path, section });
        }

        Result<model::Declarations> finish()
        {
            if (locations_.count({ "preset", "" }) == 0 && !hasUnparsedFile_) {
                problems_.emplace_back("the section [preset] is missing in all files; it must be given once, with "
                                       "the key \"name\" being one of ordinary, peak, maintenance");
            }
            // Problems within a section would only be repeated by the rules between sections.
            if (problems_.empty()) {
                for (const DeclarationProblem& problem : findProblems(declarations_))
                    addWithLocation(problem);
            }
            if (problems_.empty())
                return normalized(std::move(declarations_));
            std::string text;
            for (const std::string& problem : problems_)
                text += (text.empty() ? "" : "\n") + problem;
            return invalidArgument(text);
        }

    private:
        using SectionKey = std::pair<std::string, std::string>; // kind and name

        void parseSection(const SectionLocation& location)
        {
            const SectionName name = splitName(location.section.name);
            if (const auto problem = headerProblem(name)) {
                problems_.push_back(
                    locationText(location, location.section.line) + "[" + location.section.name + "] " + *problem);
                return;
            }
            const auto [previous, isNew] = locations_.emplace(SectionKey(name.kind, name.name), location);
            if (!isNew) {
                problems_.push_back(locationText(location, location.section.line) + "[" + location.section.name
                    + "] is declared twice; the first is at " + previous->second.file + ":"
                    + std::to_string(previous->second.section.line) + "; remove one of them");
                return;
            }
            const Status read = readSection(name, location);
            if (!read)
                problems_.push_back(read.error().message);
        }

        static std::optional<std::string> headerProblem(const SectionName& name)
        {
            const bool named = name.kind == "account" || name.kind == "guarantee" || name.kind == "worth";
            if (!named && name.kind != "preset" && name.kind != "weights") {
                const auto nearest = nearestName(name.kind, sectionKinds);
                return "unknown section \"" + name.kind + "\"; "
                    + (nearest ? "did you mean \"" + *nearest + "\"?"
                               : "allowed: preset, weights, account NAME, guarantee ACCOUNT/NAME, worth KIND");
            }
            if (!named && !name.name.empty())
                return "the header must be [" + name.kind + "] without a name";
            if (named && name.name.empty())
                return "the header lacks a name; it must look like ["
                    + std::string(name.kind == "guarantee" ? "guarantee ACCOUNT/NAME" : name.kind + " NAME") + "]";
            if (name.kind == "guarantee" && name.name.find('/') == std::string::npos)
                return "the header lacks the account; it must look like [guarantee ACCOUNT/NAME]";
            return std::nullopt;
        }

        Status readSection(const SectionName& name, const SectionLocation& location)
        {
            if (name.kind == "preset")
                return readPreset(location);
            if (name.kind == "weights")
                return readWeights(location);
            if (name.kind == "account")
                return readAccount(name.name, location);
            return name.kind == "guarantee" ? readGuarantee(name.name, location) : readWorth(name.name, location);
        }

        Status readPreset(const SectionLocation& location)
        {
            BOOST_OUTCOME_TRY(section, declarations::parsePresetSection(location.file, location.section));
            declarations_.preset = section.name;
            return okStatus();
        }

        Status readWeights(const SectionLocation& location)
        {
            BOOST_OUTCOME_TRY(section, declarations::parseWeightsSection(location.file, location.section));
            declarations_.weights = { section.completion, section.fragmentation };
            return okStatus();
        }

        Status readAccount(const std::string& name, const SectionLocation& location)
        {
            BOOST_OUTCOME_TRY(section, declarations::parseAccountSection(location.file, location.section));
            declarations_.accounts.push_back({ AccountId(name), section.weight, section.keySha256,
                section.requestConcurrency, section.quotaAccelerators });
            return okStatus();
        }

        Status readGuarantee(const std::string& name, const SectionLocation& location)
        {
            BOOST_OUTCOME_TRY(section, declarations::parseGuaranteeSection(location.file, location.section));
            const auto slash = name.find('/');
            declarations_.guarantees.push_back({ name.substr(slash + 1), AccountId(name.substr(0, slash)),
                section.region, section.gangs, section.tasks,
                { section.coresPerTask, section.memoryPerTask, section.acceleratorsPerTask }, section.adjacency });
            return okStatus();
        }

        Status readWorth(const std::string& name, const SectionLocation& location)
        {
            BOOST_OUTCOME_TRY(section, declarations::parseWorthSection(location.file, location.section));
            declarations_.worths.push_back({ KindId(name), section.worth });
            return okStatus();
        }

        void addWithLocation(const DeclarationProblem& problem)
        {
            const auto position = locations_.find({ sectionKind(problem.entity), problem.name });
            const std::string text = problemText(problem);
            problems_.push_back(position == locations_.end()
                    ? text
                    : locationText(position->second, lineOf(position->second.section, problem.key)) + text);
        }

        model::Declarations declarations_;
        std::map<SectionKey, SectionLocation> locations_;
        std::vector<std::string> problems_;
        bool hasUnparsedFile_ = false; // a missing section may be in that file
    };

} // namespace

Result<model::Declarations> parseDeclarationFiles(const std::vector<DeclarationFile>& files)
{
    DeclarationParser parser;
    for (const DeclarationFile& file : files)
        parser.parseFile(file);
    return parser.finish();
}

} // namespace rosemarylink::control
