#include "Job.h"

namespace rosemarylink::policy::internal {

Job& JobTable::add(const model::JobSpec& spec, int region, Timestamp now)
{
    auto job = std::make_unique<Job>();
    job->spec = spec;
    job->shape = { spec.tasks, toResourceVector(spec.perTask), spec.adjacency, region };
    job->sequence = nextSequence_++;
    job->submitted = now;
    Job& added = *job;
    jobs_.emplace(spec.id.value(), std::move(job));
    waiting_.emplace(added.sequence, &added);
    return added;
}

Job* JobTable::find(const JobId& id) const
{
    const auto found = jobs_.find(id.value());
    return found == jobs_.end() ? nullptr : found->second.get();
}

void JobTable::remove(Job& job)
{
    waiting_.erase(job.sequence);
    placed_.erase(job.sequence);
    const std::string id = job.spec.id.value();
    jobs_.erase(id);
}

void JobTable::enqueue(Job& job)
{
    job.phase = Phase::Waiting;
    placed_.erase(job.sequence);
    waiting_.emplace(job.sequence, &job);
}

void JobTable::setPlaced(Job& job, Phase phase)
{
    job.phase = phase;
    waiting_.erase(job.sequence);
    placed_.emplace(job.sequence, &job);
}

} // namespace rosemarylink::policy::internal
