#include "Quarantine.h"

#include <algorithm>

namespace rosemarylink::policy::internal {

namespace {

    // With fewer than three, one faulty job, or two coincidental failures, would quarantine a healthy worker.
    constexpr std::size_t minFailedJobs = 3;

    constexpr Milliseconds initialQuarantine { 10 * 60 * 1000 };
    constexpr Milliseconds maxQuarantine { 20 * 60 * 1000 };

} // namespace

void Quarantine::quarantine(State& worker, Timestamp now)
{
    worker.duration = worker.duration.count() == 0 ? initialQuarantine : std::min(worker.duration * 2, maxQuarantine);
    worker.until = now + worker.duration;
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
    if (worker.failedJobs.size() < minFailedJobs)
        return false;
    quarantine(worker, now);
    quarantined_.push_back(workerIndex);
    return true;
}

void Quarantine::discardFailures(int workerIndex, const JobId& job)
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
    worker.duration = Milliseconds(0);
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
