#include "ReclaimPlanner.h"

#include "GroupCapacity.h"
#include "VisitWorkerGroups.h"

#include <set>

namespace rosemarylink::policy::internal {

namespace {

    // Time to write a checkpoint and to resume from it.
    constexpr double checkpointOverheadSeconds = 60;

    // A gang of this many tasks waits long for another adjacent placement, so stopping it costs more than its lost
    // work.
    constexpr std::int64_t hardToPlaceTasks = 16;
    constexpr double requeueDelaySeconds = 600;

    // Added for each stop, so that of plans that lose equally much work the one with fewer stops is chosen.
    constexpr double stopOverheadSeconds = 5;

    // Makes stopping urgent work a last resort.
    constexpr double urgentFactor = 1000;

    struct Candidate {
        Job* job;
        double costPerTask; // cost by task in the group
        double cost;
    };

    // A job that is not idempotent has no checkpoint before it runs, so it cannot be stopped while it starts.
    bool isStoppableNow(const Job& job)
    {
        return job.capacityClass == CapacityClass::Borrowed
            && (job.phase == Phase::Running || (job.phase == Phase::Starting && job.spec.idempotent));
    }

} // namespace

double jobSize(const Job& job)
{
    const ResourceVector& perTask = job.shape.perTask;
    const auto tasks = static_cast<double>(job.shape.tasks);
    return perTask.accelerators > 0 ? tasks * static_cast<double>(perTask.accelerators)
                                    : tasks * static_cast<double>(perTask.cores) / 8;
}

double ReclaimPlanner::stopCost(const Job& job) const
{
    const double ran = std::chrono::duration<double>(now_ - job.started).count();
    const double lost = checkpoints_ && job.spec.checkpointable ? checkpointOverheadSeconds : ran;
    const double requeue = job.shape.tasks >= hardToPlaceTasks ? requeueDelaySeconds : 0;
    return jobSize(job) * (std::max(lost, 0.0) + requeue + stopOverheadSeconds) * (job.spec.urgent ? urgentFactor : 1);
}

std::optional<ReclaimPlan> ReclaimPlanner::planWithin(
    const std::vector<int>& workers, const GangShape& gang, const ReclaimLimits& limits) const
{
    std::set<Job*> seen;
    std::vector<Candidate> candidates;
    GroupCapacity group(workers, gang, free_, limits.workerLimit, limits.excluded);
    for (const int worker : workers) {
        for (Job* job : jobsOn_[static_cast<std::size_t>(worker)]) {
            if (!seen.insert(job).second)
                continue;
            if (job->phase == Phase::Stopping && (checkpoints_ || !job->checkpointRequested))
                group.adjust(*job, 1);
            else if (isStoppableNow(*job) && limits.mayStop(*job))
                candidates.push_back({ job, 0, stopCost(*job) });
        }
    }
    for (Candidate& candidate : candidates) {
        std::int64_t tasksHere = 0;
        for (const auto& [worker, count] : candidate.job->tasksByWorker)
            tasksHere += std::binary_search(workers.begin(), workers.end(), worker) ? count : 0;
        candidate.costPerTask
            = candidate.cost / static_cast<double>(std::clamp<std::int64_t>(tasksHere, 1, gang.tasks));
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return a.costPerTask != b.costPerTask ? a.costPerTask < b.costPerTask : a.job->sequence < b.job->sequence;
    });
    ReclaimPlan plan;
    std::vector<Candidate> chosen;
    std::int64_t fit = group.fit();
    for (const Candidate& candidate : candidates) {
        if (fit >= gang.tasks)
            break;
        group.adjust(*candidate.job, 1);
        fit = group.fit();
        chosen.push_back(candidate);
    }
    if (fit < gang.tasks)
        return std::nullopt;
    // A later stop often makes an earlier one unnecessary. Unnecessary stops are dropped, the most expensive first.
    std::sort(chosen.begin(), chosen.end(), [](const Candidate& a, const Candidate& b) {
        return a.cost != b.cost ? a.cost > b.cost : a.job->sequence < b.job->sequence;
    });
    for (const Candidate& candidate : chosen) {
        group.adjust(*candidate.job, -1);
        if (group.fit() >= gang.tasks)
            continue;
        group.adjust(*candidate.job, 1);
        plan.stops.push_back(candidate.job);
        plan.cost += candidate.cost;
    }
    plan.workers = group.chooseWorkers();
    return plan;
}

void ReclaimPlanner::keepCheaper(std::optional<ReclaimPlan>& best, std::optional<ReclaimPlan> found) const
{
    if (found && (!best || found->cost < best->cost))
        best = std::move(found);
}

std::optional<ReclaimPlan> ReclaimPlanner::planAnywhere(
    const GangShape& gang, const ReclaimLimits& limits, const CapacityIndex& capacity) const
{
    std::optional<ReclaimPlan> best;
    visitWorkerGroups(fleet_, capacity, gang,
        [&](const std::vector<int>& workers) { keepCheaper(best, planWithin(workers, gang, limits)); });
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
        keepCheaper(best, planWithin(workers, gang, limits));
    }
    return best;
}

} // namespace rosemarylink::policy::internal
