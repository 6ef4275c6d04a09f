#include "Quarantine.h"

#include <algorithm>

namespace rosemarylink::policy::internal {

namespace {

    // Three different jobs: one bad job, or two that were unlucky together, do not take a good worker away.
    constexpr std::size_t jobsForQuarantine = 3;

    constexpr Milliseconds firstQuarantine { 10 * 60 * 1000 };
    constexpr Milliseconds longestQuarantine { 20 * 60 * 1000 };

} // namespace

void Quarantine::quarantine(State& worker, Timestamp now)
{
    worker.length = worker.length.count() == 0 ? firstQuarantine : std::min(worker.length * 2, longestQuarantine);
    worker.until = now + worker.length;
    worker.quarantined = true;
    worker.failedJobs.clear();
}

bool Quarantine::taskFailed(int workerIndex, const JobId& job, Timestamp now)
{
    State& worker = state(workerIndex);
    if (worker.quarantined) {
        if (worker.probing)
            quarantine(worker, now);
        return false;
    }
    if (std::find(worker.failedJobs.begin(), worker.failedJobs.end(), job) == worker.failedJobs.end())
        worker.failedJobs.push_back(job);
    if (worker.failedJobs.size() < jobsForQuarantine)
        return false;
    quarantine(worker, now);
    quarantined_.push_back(workerIndex);
    return true;
}

void Quarantine::forgive(int workerIndex, const JobId& job)
{
    auto& jobs = state(workerIndex).failedJobs;
    jobs.erase(std::remove(jobs.begin(), jobs.end(), job), jobs.end());
}

bool Quarantine::taskCompleted(int workerIndex, Timestamp now)
{
    State& worker = state(workerIndex);
    worker.lastCompleted = now;
    worker.failedJobs.clear();
    if (!worker.quarantined || !worker.probing)
        return false;
    worker.quarantined = false;
    worker.probing = false;
    worker.length = Milliseconds(0);
    quarantined_.erase(std::remove(quarantined_.begin(), quarantined_.end(), workerIndex), quarantined_.end());
    return true;
}

std::vector<int> Quarantine::dueForProbe(Timestamp now) const
{
    std::vector<int> due;
    for (const int worker : quarantined_) {
        if (!state(worker).probing && state(worker).until <= now)
            due.push_back(worker);
    }
    return due;
}

} // namespace rosemarylink::policy::internal
