#include "StateFleet.h"

#include <algorithm>
#include <stdexcept>

namespace rosemarylink::bench {

std::vector<model::JobSpec> makeJobs(std::int64_t tasks, std::uint64_t seed, const std::string& prefix)
{
    // Nine tenths of the jobs are small, one tenth are large gangs.
    std::mt19937_64 random(seed);
    std::uniform_int_distribution<std::int64_t> small(1, 16);
    std::uniform_int_distribution<std::int64_t> large(32, 128);
    std::vector<model::JobSpec> jobs;
    while (tasks > 0) {
        const std::int64_t size = std::min(tasks, random() % 10 == 0 ? large(random) : small(random));
        auto job = state::fakes::makeJob(prefix + std::to_string(100000 + jobs.size()), size, jobs.size() % 3 != 0);
        job.perTask.accelerators = Accelerators(0);
        jobs.push_back(std::move(job));
        tasks -= size;
    }
    return jobs;
}

std::unique_ptr<state::fakes::CellHarness> makeCell(std::int64_t workers, int schedulerCount, std::uint64_t seed)
{
    auto cell = std::make_unique<state::fakes::CellHarness>(workers, seed, coresPerWorker);
    cell->limits = state::StoreLimits {};
    for (int index = 0; index < schedulerCount; ++index)
        cell->addScheduler();
    if (!cell->waitForOwner())
        throw std::runtime_error("no scheduler became the owner of the cell within 60 s");
    return cell;
}

void submitAll(state::fakes::CellHarness& cell, const std::vector<model::JobSpec>& jobs)
{
    std::size_t accepted = 0;
    const bool done = cell.runUntil(
        [&] {
            state::fakes::Scheduler* owner = cell.owner();
            while (owner != nullptr && accepted < jobs.size() && owner->controller->submit(jobs[accepted]))
                ++accepted;
            return accepted == jobs.size();
        },
        Milliseconds(600000));
    if (!done)
        throw std::runtime_error("the cell did not accept all jobs within 600 s");
}

} // namespace rosemarylink::bench
