#include "Commands.h"
#include "RequestsMeasures.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdio>
#include <iostream>

namespace rosemarylink::bench {

namespace {

    namespace options = boost::program_options;

    struct Phase {
        const char* name;
        RequestMeasures (*measure)(std::uint64_t seed);
    };

    constexpr Phase phases[] = {
        { "latency", measureLatency },
        { "overload", measureOverload },
        { "retries", measureRetries },
        { "balance", measureBalance },
        { "regions", measureRegions },
        { "faults", measureFaults },
        { "restart", measureRestart },
    };

    void printJson(const RequestMeasure& measure)
    {
        nlohmann::json line = { { "measure", measure.name }, { "value", measure.value }, { "unit", measure.unit },
            { "baseline", nullptr }, { "ratio", nullptr }, { "limit", nullptr }, { "pass", measure.passes() } };
        if (measure.baseline)
            line["baseline"] = *measure.baseline;
        if (measure.baseline && *measure.baseline != 0)
            line["ratio"] = measure.value / *measure.baseline;
        if (measure.limit)
            line["limit"] = *measure.limit;
        std::cout << line.dump() << std::endl;
    }

    void printText(const RequestMeasure& measure)
    {
        std::printf("%-46s %12.3f %-10s", measure.name.c_str(), measure.value, measure.unit.c_str());
        if (measure.baseline)
            std::printf(" baseline %12.3f", *measure.baseline);
        if (measure.limit)
            std::printf(" %s %g: %s", measure.atLeast ? "at least" : "at most", *measure.limit,
                measure.passes() ? "met" : "MISSED");
        std::printf("\n");
        std::fflush(stdout);
    }

    bool runPhases(std::uint64_t seed, bool json, const std::string& onlyPhase)
    {
        bool pass = true;
        for (const Phase& phase : phases) {
            if (!onlyPhase.empty() && onlyPhase != phase.name)
                continue;
            for (const RequestMeasure& measure : phase.measure(seed)) {
                json ? printJson(measure) : printText(measure);
                pass = pass && measure.passes();
            }
        }
        return pass;
    }

} // namespace

int runRequestsCommand(const std::vector<std::string>& arguments)
{
    std::uint64_t seed = 1;
    std::string format = "text";
    std::string onlyPhase;
    options::options_description description("rosemarylink-bench requests");
    description.add_options()("help", "list the options")(
        "seed", options::value(&seed)->default_value(1), "seed of load and faults")(
        "format", options::value(&format)->default_value("text"), "text or json (one object a line)")("only",
        options::value(&onlyPhase), "one phase: latency, overload, retries, balance, regions, faults or restart");
    try {
        options::variables_map values;
        options::store(options::command_line_parser(arguments).options(description).run(), values);
        options::notify(values);
        if (values.count("help")) {
            std::cout << description;
            return 0;
        }
    } catch (const options::error& error) {
        std::cerr << error.what() << "\n" << description;
        return 2;
    }
    bool knownPhase = onlyPhase.empty();
    for (const Phase& phase : phases)
        knownPhase = knownPhase || onlyPhase == phase.name;
    if ((format != "text" && format != "json") || !knownPhase) {
        std::cerr << "--format must be text or json, and --only the name of a phase\n" << description;
        return 2;
    }
    return runPhases(seed, format == "json", onlyPhase) ? 0 : 1;
}

} // namespace rosemarylink::bench
