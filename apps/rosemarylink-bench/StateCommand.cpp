#include "Commands.h"
#include "MembershipMeasures.h"
#include "StateMeasures.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <exception>
#include <iomanip>
#include <iostream>

namespace rosemarylink::bench {

namespace {

    namespace options = boost::program_options;

    struct StateOptions {
        std::uint64_t seed = 1;
        std::string format = "text";
        bool help = false;
    };

    options::options_description describe(StateOptions& parsed)
    {
        options::options_description description("rosemarylink-bench state");
        description.add_options()("help,h", options::bool_switch(&parsed.help), "list the options")(
            "seed", options::value(&parsed.seed)->default_value(1), "seed of jobs, owner failures and jitter")(
            "format", options::value(&parsed.format)->default_value("text"), "text or json");
        return description;
    }

    bool passes(const StateMeasure& measure) { return !measure.limit || measure.value <= *measure.limit; }

    double ratio(const StateMeasure& measure) { return measure.baseline == 0 ? 0 : measure.value / measure.baseline; }

    void print(const StateMeasure& measure, bool json)
    {
        if (json) {
            nlohmann::json limit;
            nlohmann::json pass;
            if (measure.limit) {
                limit = *measure.limit;
                pass = passes(measure);
            }
            std::cout << nlohmann::json { { "measure", measure.measure }, { "value", measure.value },
                { "unit", measure.unit }, { "baseline", measure.baseline }, { "ratio", ratio(measure) },
                { "limit", limit }, { "pass", pass } }
                      << std::endl;
            return;
        }
        std::cout << std::left << std::setw(56) << measure.measure << std::right << std::setw(12) << measure.value
                  << " " << std::left << std::setw(12) << measure.unit << "baseline " << std::setw(10)
                  << measure.baseline;
        if (measure.limit)
            std::cout << "limit " << std::setw(10) << *measure.limit << (passes(measure) ? "pass" : "MISSED");
        std::cout << std::endl;
    }

    std::vector<StateMeasure> measureAll(std::uint64_t seed)
    {
        std::vector<StateMeasure> all;
        const auto append
            = [&all](std::vector<StateMeasure> measures) { all.insert(all.end(), measures.begin(), measures.end()); };
        append(measureTakeover(seed));
        append(measureStoreCalls(seed));
        append(measureRecordSizes(seed));
        append(measureRebuild(seed));
        append(measurePreferenceOrders());
        return all;
    }

} // namespace

int runStateCommand(const std::vector<std::string>& arguments)
{
    StateOptions parsed;
    const auto description = describe(parsed);
    try {
        options::variables_map values;
        options::store(options::command_line_parser(arguments).options(description).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    }
    if (parsed.help) {
        std::cout << description;
        return 0;
    }
    if (parsed.format != "text" && parsed.format != "json") {
        std::cerr << "--format is \"" << parsed.format << "\"; it must be text or json\n";
        return 2;
    }
    try {
        bool passed = true;
        for (const StateMeasure& measure : measureAll(parsed.seed)) {
            print(measure, parsed.format == "json");
            passed = passed && passes(measure);
        }
        passed = measureMembership(parsed.seed, parsed.format == "json", std::cout) && passed;
        return passed ? 0 : 1;
    } catch (const std::exception& exception) {
        std::cerr << "measurement failed: " << exception.what() << "\n";
        return 1;
    }
}

} // namespace rosemarylink::bench
