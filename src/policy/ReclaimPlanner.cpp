#include "ReclaimPlanner.h"

#include "PlaceAmounts.h"
#include "VisitPlaces.h"

#include <set>

namespace rosemarylink::policy::internal {

namespace {

    // Writing a checkpoint and resuming from it takes a job about this long.
    constexpr double checkpointSeconds = 60;

    // A large gang waits long for another adjacent place, so stopping it costs more than its lost work.
    constexpr std::int64_t largeTasks = 16;
    constexpr double largeRequeueSeconds = 600;

    // Keeps plans with fewer stops ahead of others that lose as little.
    constexpr double stopSeconds = 5;

    // Urgent work is stopped only when nothing else would do.
    constexpr double urgentFactor = 1000;

    struct Candidate {
        Job* job;
        double costPerTask; // for the capacity that it frees in the place
        double cost;
    };

    // A job that may be started once only has no checkpoint before it runs, so it cannot be stopped while it starts.
    bool mayStopNow(const Job& job)
    {
        return job.hold == Hold::Borrowed
            && (job.phase == Phase::Running || (job.phase == Phase::Starting && job.spec.idempotent));
    }

} // namespace

double jobSize(const Job& job)
{
    const Amount& perTask = job.shape.perTask;
    const auto tasks = static_cast<double>(job.shape.tasks);
    return perTask.accelerators > 0 ? tasks * static_cast<double>(perTask.accelerators)
                                    : tasks * static_cast<double>(perTask.cores) / 8;
}

double ReclaimPlanner::costOf(const Job& job) const
{
    const double ran = std::chrono::duration<double>(now_ - job.started).count();
    const double lost = checkpoints_ && job.spec.checkpointable ? checkpointSeconds : ran;
    const double requeue = job.shape.tasks >= largeTasks ? largeRequeueSeconds : 0;
    return jobSize(job) * (std::max(lost, 0.0) + requeue + stopSeconds) * (job.spec.urgent ? urgentFactor : 1);
}

std::optional<ReclaimPlan> ReclaimPlanner::within(
    const std::vector<int>& workers, const GangShape& gang, const ReclaimLimits& limits) const
{
    std::set<Job*> seen;
    std::vector<Candidate> candidates;
    PlaceAmounts place(workers, gang, free_, limits.limit, limits.closed);
    for (const int worker : workers) {
        for (Job* job : jobsOn_[static_cast<std::size_t>(worker)]) {
            if (!seen.insert(job).second)
                continue;
            if (job->phase == Phase::Stopping && (checkpoints_ || !job->checkpointAsked))
                place.change(*job, 1);
            else if (mayStopNow(*job) && limits.mayStop(*job))
                candidates.push_back({ job, 0, costOf(*job) });
        }
    }
    for (Candidate& candidate : candidates) {
        std::int64_t tasksHere = 0;
        for (const auto& [worker, count] : candidate.job->parts)
            tasksHere += std::binary_search(workers.begin(), workers.end(), worker) ? count : 0;
        candidate.costPerTask
            = candidate.cost / static_cast<double>(std::clamp<std::int64_t>(tasksHere, 1, gang.tasks));
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return a.costPerTask != b.costPerTask ? a.costPerTask < b.costPerTask : a.job->sequence < b.job->sequence;
    });
    ReclaimPlan plan;
    std::vector<Candidate> chosen;
    std::int64_t fit = place.fit();
    for (const Candidate& candidate : candidates) {
        if (fit >= gang.tasks)
            break;
        place.change(*candidate.job, 1);
        fit = place.fit();
        chosen.push_back(candidate);
    }
    if (fit < gang.tasks)
        return std::nullopt;
    // A later stop often makes an earlier one unnecessary; the dearest is given up first.
    std::sort(chosen.begin(), chosen.end(), [](const Candidate& a, const Candidate& b) {
        return a.cost != b.cost ? a.cost > b.cost : a.job->sequence < b.job->sequence;
    });
    for (const Candidate& candidate : chosen) {
        place.change(*candidate.job, -1);
        if (place.fit() >= gang.tasks)
            continue;
        place.change(*candidate.job, 1);
        plan.stops.push_back(candidate.job);
        plan.cost += candidate.cost;
    }
    plan.workers = place.choose();
    return plan;
}

void ReclaimPlanner::keepCheaper(std::optional<ReclaimPlan>& best, std::optional<ReclaimPlan> found) const
{
    if (found && (!best || found->cost < best->cost))
        best = std::move(found);
}

std::optional<ReclaimPlan> ReclaimPlanner::anywhere(
    const GangShape& gang, const ReclaimLimits& limits, const Ledger& capacity) const
{
    std::optional<ReclaimPlan> best;
    visitPlaces(fleet_, capacity, gang,
        [&](const std::vector<int>& workers) { keepCheaper(best, within(workers, gang, limits)); });
    if (best || gang.adjacency != model::Adjacency::Region)
        return best;
    for (int region = 0; region < static_cast<int>(fleet_.regionCount()); ++region) {
        if (gang.region != none && region != gang.region)
            continue;
        std::vector<int> workers;
        for (int worker = 0; worker < static_cast<int>(fleet_.workers().size()); ++worker) {
            if (fleet_.rackOf(worker).region == region)
                workers.push_back(worker);
        }
        keepCheaper(best, within(workers, gang, limits));
    }
    return best;
}

} // namespace rosemarylink::policy::internal
