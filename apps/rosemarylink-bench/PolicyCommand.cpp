#include "Commands.h"

#include "PolicySimulation.h"

#include <boost/program_options.hpp>

#include <iomanip>
#include <iostream>

namespace rosemarylink::bench {

namespace {

    namespace options = boost::program_options;

    struct Request {
        std::string profile;
        std::string policy;
        std::string faults;
        std::uint64_t seed = 1;
        std::string format;
        double size = 1;
    };

    options::options_description describeOptions(Request& request)
    {
        options::options_description description("rosemarylink-bench policy");
        description.add_options()("help,h", "print this help")(
            "profile", options::value(&request.profile)->default_value("tidyroom"), "tidyroom, frescura or scale")(
            "policy", options::value(&request.policy)->default_value("all"), "default, fifo, backfill or all")("faults",
            options::value(&request.faults)->default_value("all"),
            "none, bursts, wrong-sizes, failing-workers, cancel-waves, domain-loss or all")(
            "seed", options::value(&request.seed)->default_value(1), "seed of the arrivals and faults")(
            "format", options::value(&request.format)->default_value("text"), "text or json")("size",
            options::value(&request.size)->default_value(1), "share of the profile 'scale' to simulate, 0.1 to 1");
        return description;
    }

    int reportBadOption(const std::string& message)
    {
        std::cerr << "rosemarylink-bench policy: " << message << "\n";
        return 2;
    }

    void printText(const PolicyMeasures& measures)
    {
        std::cout << measures.policy << "\n";
        for (const auto& [name, value] : measures.toJson().items()) {
            if (value.is_number())
                std::cout << "  " << std::left << std::setw(24) << name << value << "\n";
        }
    }

    int runPolicies(const Request& request, const PolicyProfile& profile, const PolicyFaults& faults)
    {
        const PolicyWorkload workload = makePolicyWorkload(profile, faults, request.seed);
        bool passed = true;
        for (const std::string name : { "fifo", "backfill", "default" }) {
            if (request.policy != "all" && request.policy != name)
                continue;
            PolicyMeasures labels;
            labels.profile = request.profile;
            labels.policy = name;
            labels.faults = request.faults;
            labels.seed = request.seed;
            const PolicyMeasures measures = simulatePolicy(profile, workload, name, std::move(labels));
            if (request.format == "json")
                std::cout << measures.toJson() << std::endl;
            else
                printText(measures);
            // The baselines ignore guarantees, so only the default policy must keep the counts at zero.
            if (name == "default")
                passed = measures.countsAreZero();
        }
        return passed ? 0 : 1;
    }

} // namespace

int runPolicyCommand(const std::vector<std::string>& arguments)
{
    Request request;
    const options::options_description description = describeOptions(request);
    options::variables_map values;
    try {
        options::store(options::command_line_parser(arguments).options(description).run(), values);
        options::notify(values);
    } catch (const options::error& error) {
        return reportBadOption(error.what());
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    const auto faults = parsePolicyFaults(request.faults);
    if (!faults)
        return reportBadOption("unknown faults '" + request.faults + "'");
    if (request.format != "text" && request.format != "json")
        return reportBadOption("unknown format '" + request.format + "'; the formats are text and json");
    if (request.size < 0.1 || request.size > 1)
        return reportBadOption("--size must be from 0.1 to 1");
    const auto profile = makePolicyProfile(request.profile, request.size);
    if (!profile)
        return reportBadOption("unknown profile '" + request.profile + "'; the profiles are tidyroom, frescura, scale");
    if (request.policy != "all") {
        if (const auto made = policy::makePolicy(request.policy); !made)
            return reportBadOption(made.error().message);
    }
    return runPolicies(request, *profile, *faults);
}

} // namespace rosemarylink::bench
