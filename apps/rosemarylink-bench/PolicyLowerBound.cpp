#include "PolicySimulation.h"

#include <algorithm>
#include <map>
#include <set>

namespace rosemarylink::bench {

namespace {

    struct RelaxedJob {
        double release; // seconds
        double work; // seconds if run on the whole capacity
        double runTime; // seconds
        double worth;
        double busyTime = 0; // integral of time over the work done
    };

    // The sum over all jobs of worth times completion time after release, in a relaxation: the preemptive schedule by
    // work over worth on one machine as fast as the whole fleet. No schedule of the fleet has a lower worth-weighted
    // sum of mean busy times (Goemans 1997, the mean busy time relaxation), and a job completes at least half its run
    // time after its mean busy time.
    double relaxedCompletionSum(std::vector<RelaxedJob>& jobs)
    {
        std::sort(
            jobs.begin(), jobs.end(), [](const RelaxedJob& a, const RelaxedJob& b) { return a.release < b.release; });
        std::set<std::pair<double, std::size_t>> ready; // by work over worth
        std::vector<double> left;
        left.reserve(jobs.size());
        for (const RelaxedJob& job : jobs)
            left.push_back(job.work);
        double now = 0;
        std::size_t next = 0;
        while (next < jobs.size() || !ready.empty()) {
            if (ready.empty())
                now = std::max(now, jobs[next].release);
            for (; next < jobs.size() && jobs[next].release <= now; ++next)
                ready.emplace(jobs[next].work / std::max(jobs[next].worth, 1e-9), next);
            const std::size_t current = ready.begin()->second;
            const double until = next < jobs.size() ? jobs[next].release : now + left[current];
            const double step = std::min(left[current], until - now);
            jobs[current].busyTime += step * (now + step / 2);
            left[current] -= step;
            now += step;
            if (left[current] <= 1e-9)
                ready.erase(ready.begin());
        }
        double sum = 0;
        for (const RelaxedJob& job : jobs)
            sum += job.worth * (job.busyTime / job.work + job.runTime / 2 - job.release);
        return sum;
    }

} // namespace

double completionLowerBound(const PolicyProfile& profile, const std::vector<const JobArrival*>& completed)
{
    const model::Resources total = profile.totalCapacity();
    std::map<bool, std::vector<RelaxedJob>> byResource; // true: accelerators
    std::map<bool, double> criticalPath;
    double worth = 0;
    for (const JobArrival* arrival : completed) {
        const bool accelerated = arrival->spec.perTask.accelerators.value() > 0;
        const auto capacity = static_cast<double>(accelerated ? total.accelerators.value() : total.cores.value());
        const std::int64_t perTask
            = accelerated ? arrival->spec.perTask.accelerators.value() : arrival->spec.perTask.cores.value();
        const double runTime = static_cast<double>(arrival->runTime.count()) / 1000;
        const double share = static_cast<double>(arrival->spec.tasks * perTask) / capacity;
        byResource[accelerated].push_back(
            { static_cast<double>(toMilliseconds(arrival->at)) / 1000, share * runTime, runTime, arrival->spec.worth });
        criticalPath[accelerated] += arrival->spec.worth * runTime;
        worth += arrival->spec.worth;
    }
    double sum = 0;
    for (auto& [accelerated, jobs] : byResource)
        sum += std::max(relaxedCompletionSum(jobs), criticalPath[accelerated]);
    return worth > 0 ? sum / worth : 0;
}

} // namespace rosemarylink::bench
