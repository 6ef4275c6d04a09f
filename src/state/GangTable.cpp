#include "GangTable.h"

namespace rosemarylink::state::internal {

using records::GangEnd;
using records::GangPhase;

bool Gang::mayStop() const
{
    const bool memberLost = end == GangEnd::WorkerLost || end == GangEnd::Failed;
    return aborted || jobEndDurable || durablePhase == GangPhase::Stopping || memberLost;
}

bool Gang::renewsLeases() const
{
    switch (stage) {
    case GangStage::Reserving:
        return false;
    case GangStage::Starting:
    case GangStage::Running:
    case GangStage::Checkpointing:
        return true;
    case GangStage::Releasing:
        return !mayStop();
    case GangStage::Ending:
        return end == GangEnd::Completed && !jobEndDurable;
    }
    return false;
}

bool Gang::allMembers(bool Member::*flag) const
{
    return std::all_of(members.begin(), members.end(), [flag](const Member& member) { return member.*flag; });
}

Gang* GangTable::find(const JobId& job)
{
    const auto found = gangs_.find(job);
    return found == gangs_.end() ? nullptr : &found->second;
}

const Gang* GangTable::find(const JobId& job) const
{
    const auto found = gangs_.find(job);
    return found == gangs_.end() ? nullptr : &found->second;
}

Gang* GangTable::find(const JobId& job, std::int64_t attempt)
{
    Gang* gang = find(job);
    return gang != nullptr && gang->record.attempt == attempt ? gang : nullptr;
}

Gang& GangTable::insert(Gang gang)
{
    const JobId job = gang.record.job;
    for (const Member& member : gang.members)
        byWorker_[member.worker].insert(job);
    active_.insert(job);
    return gangs_[job] = std::move(gang);
}

std::vector<WorkerId> GangTable::erase(const JobId& job)
{
    std::vector<WorkerId> freed;
    const auto found = gangs_.find(job);
    if (found == gangs_.end())
        return freed;
    for (const Member& member : found->second.members) {
        auto& jobs = byWorker_[member.worker];
        jobs.erase(job);
        if (jobs.empty()) {
            byWorker_.erase(member.worker);
            freed.push_back(member.worker);
        }
    }
    active_.erase(job);
    gangs_.erase(found);
    return freed;
}

void GangTable::clear()
{
    gangs_.clear();
    byWorker_.clear();
    active_.clear();
}

std::vector<JobId> GangTable::jobsOn(const WorkerId& worker) const
{
    const auto found = byWorker_.find(worker);
    if (found == byWorker_.end())
        return {};
    return { found->second.begin(), found->second.end() };
}

std::vector<JobId> GangTable::jobsToRenew(const WorkerId& worker) const
{
    std::vector<JobId> jobs;
    for (const JobId& job : jobsOn(worker)) {
        if (gangs_.at(job).renewsLeases())
            jobs.push_back(job);
    }
    return jobs;
}

void GangTable::setActive(const JobId& job, bool active)
{
    if (active)
        active_.insert(job);
    else
        active_.erase(job);
}

} // namespace rosemarylink::state::internal
