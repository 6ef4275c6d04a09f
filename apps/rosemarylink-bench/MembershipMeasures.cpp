#include "MembershipMeasures.h"

#include "MembershipFleet.h"

#include <nlohmann/json.hpp>

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <iomanip>
#include <ostream>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace rosemarylink::bench {

namespace {

    constexpr Milliseconds propagationTimeout { 20000 };

    struct Measure {
        std::string name;
        double value = 0;
        std::string unit;
        double baseline = 0;
        double limit = 0;

        bool pass() const { return value <= limit; }
    };

    void print(const Measure& measure, bool json, std::ostream& out)
    {
        const double ratio = measure.baseline > 0 ? measure.value / measure.baseline : 0;
        if (json) {
            out << nlohmann::json { { "measure", measure.name }, { "value", measure.value }, { "unit", measure.unit },
                { "baseline", measure.baseline }, { "ratio", ratio }, { "limit", measure.limit },
                { "pass", measure.pass() } }
                << "\n";
            return;
        }
        out << std::left << std::setw(36) << measure.name << std::right << std::fixed << std::setprecision(3)
            << std::setw(12) << measure.value << " " << measure.unit << ", baseline " << measure.baseline << ", ratio "
            << ratio << ", limit " << measure.limit << (measure.pass() ? ", pass" : ", FAIL") << "\n";
    }

    // Declarations of the size expected in two years. Each change number gives different ones.
    model::Declarations declarationsFor(std::uint64_t seed, int changeNumber)
    {
        model::Declarations declarations;
        declarations.preset = static_cast<model::Preset>((seed + static_cast<std::uint64_t>(changeNumber)) % 3);
        for (int account = 0; account < 59; ++account) {
            const AccountId id("account-" + std::to_string(account));
            declarations.accounts.push_back({ id, 1.0 + changeNumber, { std::string(64, 'a') }, 20, std::nullopt });
            for (int shape = 0; shape < 3; ++shape)
                declarations.guarantees.push_back({ "shape-" + std::to_string(shape), id, RegionId("amman"), 1, 8,
                    { Cores(4), Megabytes(16000), Accelerators(1) }, model::Adjacency::Rack });
        }
        return declarations;
    }

    double percentile99(std::vector<double> samples)
    {
        if (samples.empty())
            return 0;
        std::sort(samples.begin(), samples.end());
        return samples[std::min(samples.size() - 1, samples.size() * 99 / 100)];
    }

    double millisecondsSince(std::chrono::steady_clock::time_point begin)
    {
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
    }

    // How a version reaches the other instances. HeartbeatsOnly makes no announcement and has the store down, too.
    enum class Propagation { Announced, AnnouncedStoreDown, HeartbeatsOnly };

    // Proposes configuration versions and measures the time from the acceptance of each until it is in force.
    class PropagationRun {
    public:
        PropagationRun(MembershipFleet& fleet, std::uint64_t seed)
            : fleet_(fleet)
            , seed_(seed)
            , random_(static_cast<std::minstd_rand::result_type>(seed + 1))
        {
        }

        // Propagation time of each change in milliseconds. A change that is rejected or does not reach all instances in
        // time counts as the whole timeout.
        std::vector<double> run(Propagation propagation, int changes)
        {
            std::vector<double> samples;
            samples.reserve(static_cast<std::size_t>(changes));
            for (int change = 0; change < changes; ++change)
                samples.push_back(propagateOne(propagation));
            return samples;
        }

        // Milliseconds from the acceptance until the proposing instance knows that the version is in force on all
        // instances. A rejected proposal counts as the whole timeout.
        double confirmOne()
        {
            transport::MembershipService& service = fleet_.service(random_() % fleet_.size());
            const auto accepted = service.propose(nextProposal());
            const auto begin = std::chrono::steady_clock::now();
            if (!accepted)
                return static_cast<double>(propagationTimeout.count());
            while (!service.agent().coverage(accepted.value().version).everywhere
                && millisecondsSince(begin) < propagationTimeout.count())
                std::this_thread::sleep_for(Milliseconds(5));
            return millisecondsSince(begin);
        }

    private:
        state::ConfigProposal nextProposal()
        {
            state::ConfigProposal proposal;
            proposal.expected = ConfigVersion(changeNumber_);
            proposal.declarations = declarationsFor(seed_, ++changeNumber_);
            proposal.changedBy = OperatorId("bench");
            proposal.summary = "measurement";
            return proposal;
        }

        double propagateOne(Propagation propagation)
        {
            transport::MembershipService& service = fleet_.service(random_() % fleet_.size());
            const auto accepted = service.configStore().propose(nextProposal());
            const auto begin = std::chrono::steady_clock::now();
            if (!accepted)
                return static_cast<double>(propagationTimeout.count());
            if (propagation != Propagation::Announced)
                fleet_.store().setDown(true);
            if (propagation == Propagation::HeartbeatsOnly)
                service.agent().config().adopt(accepted.value().current);
            else
                service.agent().adoptAndAnnounce(accepted.value().current);
            const bool arrived = fleet_.waitUntilInForce(accepted.value().version, propagationTimeout);
            const double elapsed = millisecondsSince(begin);
            fleet_.store().setDown(false);
            return arrived ? elapsed : static_cast<double>(propagationTimeout.count());
        }

        MembershipFleet& fleet_;
        std::uint64_t seed_;
        std::minstd_rand random_;
        int changeNumber_ = 0;
    };

    std::vector<Measure> measureTimes(std::uint64_t seed)
    {
        MembershipFleet fleet(7);
        fleet.waitUntilConnected(propagationTimeout);
        PropagationRun run(fleet, seed);
        const double baseline = percentile99(run.run(Propagation::HeartbeatsOnly, 5));
        const double announced = percentile99(run.run(Propagation::Announced, 100));
        const double storeDown = percentile99(run.run(Propagation::AnnouncedStoreDown, 100));
        double confirmed = 0;
        for (int change = 0; change < 3; ++change)
            confirmed = std::max(confirmed, run.confirmOne());
        return { { "spread-7-instances-p99", announced, "ms", baseline, 2000 },
            { "spread-7-instances-store-down-p99", storeDown, "ms", baseline, 2000 },
            { "spread-confirmed-7-instances-max", confirmed, "ms", baseline, 8000 } };
    }

    double cpuSeconds()
    {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        const auto seconds = [](const timeval& time) { return time.tv_sec + time.tv_usec / 1e6; };
        return seconds(usage.ru_utime) + seconds(usage.ru_stime);
    }

    double residentMegabytes()
    {
        std::ifstream status("/proc/self/status");
        std::string line;
        while (std::getline(status, line)) {
            if (line.rfind("VmRSS:", 0) == 0)
                return std::stod(line.substr(6)) * 1024 / 1e6;
        }
        return 0;
    }

    // Cost of membership for each instance.
    struct Cost {
        double bytesPerSecond = 0; // sent and received
        double cpuPercent = 0; // of one core
        double memoryMegabytes = 0;
    };

    Cost measureCost(int instances, std::uint64_t seed)
    {
        const double memoryBefore = residentMegabytes();
        MembershipFleet fleet(instances);
        fleet.waitUntilConnected(propagationTimeout);
        PropagationRun(fleet, seed).run(Propagation::Announced, 1);
        // Waits a whole heartbeat interval after the start, so that the cost of connecting is not counted.
        std::this_thread::sleep_for(state::MembershipAgent::heartbeatInterval);
        const auto begin = std::chrono::steady_clock::now();
        const std::int64_t bytesBefore = fleet.bytesTransferred();
        const double cpuSecondsBefore = cpuSeconds();
        std::this_thread::sleep_for(state::MembershipAgent::heartbeatInterval * 3);
        const double seconds = millisecondsSince(begin) / 1000;
        Cost cost;
        cost.bytesPerSecond = static_cast<double>(fleet.bytesTransferred() - bytesBefore) / seconds / instances;
        cost.cpuPercent = (cpuSeconds() - cpuSecondsBefore) / seconds / instances * 100;
        cost.memoryMegabytes = (residentMegabytes() - memoryBefore) / instances;
        return cost;
    }

    std::vector<Measure> measureCosts(std::uint64_t seed, const std::vector<int>& sizes)
    {
        std::vector<Measure> measures;
        measures.reserve(sizes.size() * 3);
        Cost baseline;
        for (const int instances : sizes) {
            const Cost cost = measureCost(instances, seed);
            if (measures.empty())
                baseline = cost;
            const std::string size = "-" + std::to_string(instances) + "-instances";
            measures.push_back({ "link-bytes" + size, cost.bytesPerSecond, "bytes/s", baseline.bytesPerSecond, 14000 });
            measures.push_back({ "link-processor" + size, cost.cpuPercent, "% of a core", baseline.cpuPercent, 1.1 });
            measures.push_back({ "link-memory" + size, cost.memoryMegabytes, "MB", baseline.memoryMegabytes, 64 });
        }
        return measures;
    }

} // namespace

bool measureMembership(std::uint64_t seed, bool json, std::ostream& out, const std::vector<int>& sizes)
{
    std::vector<Measure> measures = measureTimes(seed);
    const std::vector<Measure> costs = measureCosts(seed, sizes);
    measures.insert(measures.end(), costs.begin(), costs.end());
    for (const Measure& measure : measures)
        print(measure, json, out);
    return std::all_of(measures.begin(), measures.end(), [](const Measure& measure) { return measure.pass(); });
}

} // namespace rosemarylink::bench
