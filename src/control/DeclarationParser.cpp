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

    struct Place {
        std::string file;
        IniSection section;
    };

    std::string placeText(const Place& place, int line) { return place.file + ":" + std::to_string(line) + ": "; }

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
                unreadFile_ = true;
                return;
            }
            for (const IniSection& section : document.value().sections)
                parseSection({ file.path, section });
        }

        Result<model::Declarations> finish()
        {
            if (places_.count({ "preset", "" }) == 0 && !unreadFile_) {
                problems_.emplace_back("the section [preset] is missing in all files; it must be given once, with "
                                       "the key \"name\" being one of ordinary, peak, maintenance");
            }
            // Rules between sections would only repeat what is wrong within one.
            if (problems_.empty()) {
                for (const DeclarationProblem& problem : findProblems(declarations_))
                    addPlaced(problem);
            }
            if (problems_.empty())
                return normalized(std::move(declarations_));
            std::string text;
            for (const std::string& problem : problems_)
                text += (text.empty() ? "" : "\n") + problem;
            return invalidArgument(text);
        }

    private:
        using PlaceKey = std::pair<std::string, std::string>; // kind and name

        void parseSection(const Place& place)
        {
            const SectionName name = splitName(place.section.name);
            if (const auto problem = headerProblem(name)) {
                problems_.push_back(placeText(place, place.section.line) + "[" + place.section.name + "] " + *problem);
                return;
            }
            const auto [previous, isNew] = places_.emplace(PlaceKey(name.kind, name.name), place);
            if (!isNew) {
                problems_.push_back(placeText(place, place.section.line) + "[" + place.section.name
                    + "] is declared twice; the first is at " + previous->second.file + ":"
                    + std::to_string(previous->second.section.line) + "; remove one of them");
                return;
            }
            const Status read = readSection(name, place);
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

        Status readSection(const SectionName& name, const Place& place)
        {
            if (name.kind == "preset")
                return readPreset(place);
            if (name.kind == "weights")
                return readWeights(place);
            if (name.kind == "account")
                return readAccount(name.name, place);
            return name.kind == "guarantee" ? readGuarantee(name.name, place) : readWorth(name.name, place);
        }

        Status readPreset(const Place& place)
        {
            BOOST_OUTCOME_TRY(section, declarations::parsePresetSection(place.file, place.section));
            declarations_.preset = section.name;
            return okStatus();
        }

        Status readWeights(const Place& place)
        {
            BOOST_OUTCOME_TRY(section, declarations::parseWeightsSection(place.file, place.section));
            declarations_.weights = { section.completion, section.fragmentation };
            return okStatus();
        }

        Status readAccount(const std::string& name, const Place& place)
        {
            BOOST_OUTCOME_TRY(section, declarations::parseAccountSection(place.file, place.section));
            declarations_.accounts.push_back({ AccountId(name), section.weight, section.keySha256,
                section.requestConcurrency, section.quotaAccelerators });
            return okStatus();
        }

        Status readGuarantee(const std::string& name, const Place& place)
        {
            BOOST_OUTCOME_TRY(section, declarations::parseGuaranteeSection(place.file, place.section));
            const auto slash = name.find('/');
            declarations_.guarantees.push_back({ name.substr(slash + 1), AccountId(name.substr(0, slash)),
                section.region, section.gangs, section.tasks,
                { section.coresPerTask, section.memoryPerTask, section.acceleratorsPerTask }, section.adjacency });
            return okStatus();
        }

        Status readWorth(const std::string& name, const Place& place)
        {
            BOOST_OUTCOME_TRY(section, declarations::parseWorthSection(place.file, place.section));
            declarations_.worths.push_back({ KindId(name), section.worth });
            return okStatus();
        }

        void addPlaced(const DeclarationProblem& problem)
        {
            const auto position = places_.find({ sectionKind(problem.entity), problem.name });
            const std::string text = problemText(problem);
            problems_.push_back(position == places_.end()
                    ? text
                    : placeText(position->second, lineOf(position->second.section, problem.key)) + text);
        }

        model::Declarations declarations_;
        std::map<PlaceKey, Place> places_;
        std::vector<std::string> problems_;
        bool unreadFile_ = false; // it may hold any section
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
