#include "JobViews.h"

namespace rosemarylink::scheduler::internal {

namespace {

    api::JobState stateOfPhase(records::GangPhase phase)
    {
        switch (phase) {
        case records::GangPhase::Reserving:
        case records::GangPhase::Starting:
            return api::JobState::Launching;
        case records::GangPhase::Running:
            return api::JobState::Running;
        case records::GangPhase::Stopping:
            return api::JobState::Stopping;
        }
        return api::JobState::Waiting;
    }

} // namespace

api::JobState toApiState(const state::JobStatus& status)
{
    switch (status.state) {
    case records::JobState::Accepted:
        return status.phase ? stateOfPhase(*status.phase) : api::JobState::Waiting;
    case records::JobState::Completed:
        return api::JobState::Completed;
    case records::JobState::Failed:
        return api::JobState::Failed;
    case records::JobState::Cancelled:
        return api::JobState::Cancelled;
    case records::JobState::MayHaveRun:
        return api::JobState::MayHaveRun;
    }
    return api::JobState::Waiting;
}

api::JobView toJobView(const CellId& cell, const state::JobStatus& status)
{
    api::JobView view;
    view.job = status.spec;
    view.state = toApiState(status);
    view.cell = cell;
    for (const records::GangMember& member : status.members)
        view.workers.insert(view.workers.end(), static_cast<std::size_t>(member.tasks), member.worker);
    view.submittedAt = status.submitted;
    view.startedAt = status.launched;
    view.endedAt = status.ended;
    if (status.cancelRequested && !status.ended)
        view.reason = "A cancellation has been accepted and takes effect soon.";
    return view;
}

api::CellView toCellView(const state::CellSnapshot& snapshot)
{
    api::CellView view;
    view.cell = snapshot.cell;
    view.owner = snapshot.owner.value_or(InstanceId());
    view.waitingJobs = snapshot.waitingJobs;
    view.runningJobs = snapshot.launchingGangs + snapshot.runningGangs + snapshot.stoppingGangs;
    if (snapshot.policy) {
        view.freeAccelerators = snapshot.policy->freeAccelerators;
        view.largestFittingGang = snapshot.policy->largestFittingGang;
        view.fragmentation = snapshot.policy->fragmentation;
    }
    return view;
}

} // namespace rosemarylink::scheduler::internal
