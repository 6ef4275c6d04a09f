#include "GangLifecycle.h"

namespace rosemarylink::state::internal {

using records::GangEnd;
using records::GangPhase;

namespace {

    // The remaining lease time of the reservations that is needed for start orders to reach all members.
    constexpr Milliseconds startMargin { 5000 };

} // namespace

std::vector<records::GangMember> groupByWorker(const policy::Placement& placement)
{
    std::map<WorkerId, std::int64_t> tasks;
    for (const WorkerId& worker : placement.workers)
        ++tasks[worker];
    std::vector<records::GangMember> members;
    members.reserve(tasks.size());
    for (const auto& [worker, count] : tasks)
        members.push_back({ worker, count });
    return members;
}

GangLifecycle::GangLifecycle(CellContext& context, GangTable& table, Handlers handlers)
    : context_(context)
    , table_(table)
    , handlers_(std::move(handlers))
{
}

void GangLifecycle::launch(const model::JobSpec& spec, const policy::Placement& placement, bool borrowed,
    std::int64_t attempt, bool awaitingJobRecord)
{
    Gang gang;
    gang.spec = spec;
    gang.awaitingJobRecord = awaitingJobRecord;
    gang.record.job = spec.id;
    gang.record.attempt = attempt;
    gang.record.members = groupByWorker(placement);
    gang.record.since = context_.dependencies.clock.now();
    gang.record.borrowed = borrowed;
    for (const records::GangMember& member : gang.record.members) {
        Member added;
        added.worker = member.worker;
        added.tasks = member.tasks;
        gang.members.push_back(std::move(added));
        handlers_.gangPlaced(member.worker);
    }
    Gang& inserted = table_.insert(std::move(gang));
    beginStage(inserted, GangStage::Reserving);
    handlers_.changed();
}

void GangLifecycle::adopt(const records::GangRecord& record, const model::JobSpec* spec, bool jobEnded)
{
    Gang gang;
    if (spec != nullptr)
        gang.spec = *spec;
    gang.record = record;
    gang.knownToPolicy = false;
    gang.durablePhase = record.phase;
    gang.end = record.end;
    gang.jobEndDurable = jobEnded;
    const bool unstarted = record.phase == GangPhase::Reserving;
    gang.startOrdered = record.started || record.phase == GangPhase::Starting || record.phase == GangPhase::Running;
    gang.startWriteSent = !unstarted;
    const auto age = std::chrono::duration_cast<Milliseconds>(context_.dependencies.clock.now() - record.since);
    gang.startedAt = context_.now() - std::max(age, Milliseconds(0));
    for (const records::GangMember& member : record.members) {
        Member added;
        added.worker = member.worker;
        added.tasks = member.tasks;
        added.orderSent = true;
        added.leaseUntil = context_.now() + context_.timings().workerLeaseTtl;
        gang.members.push_back(std::move(added));
        handlers_.gangPlaced(member.worker);
    }
    Gang& adopted = table_.insert(std::move(gang));
    adopted.aborted = unstarted && !jobEnded;
    if (adopted.aborted)
        adopted.end = GangEnd::LaunchRefused;
    if (jobEnded || unstarted)
        beginStage(adopted, GangStage::Releasing);
    else if (record.phase == GangPhase::Starting)
        beginStage(adopted, GangStage::Starting);
    else if (record.phase == GangPhase::Running)
        beginStage(adopted, GangStage::Running);
    else
        beginStage(adopted, record.checkpoint ? GangStage::Checkpointing : GangStage::Releasing);
}

void GangLifecycle::beginStage(Gang& gang, GangStage stage)
{
    gang.stage = stage;
    gang.stageSince = context_.now();
    for (Member& member : gang.members) {
        member.acknowledged = false;
        member.done = false;
        member.nextTry = Milliseconds(0);
    }
    table_.setActive(gang.record.job, stage != GangStage::Running && stage != GangStage::Ending);
}

void GangLifecycle::setPhase(Gang& gang, GangPhase phase)
{
    gang.record.phase = phase;
    gang.record.started = gang.startOrdered;
    handlers_.changed();
}

void GangLifecycle::stop(Gang& gang, GangEnd end, bool checkpointFirst)
{
    switch (gang.stage) {
    case GangStage::Ending:
        return;
    case GangStage::Releasing:
    case GangStage::Checkpointing:
        // If a member is lost, the others must not keep running until the stop is durable or the checkpoint is
        // complete.
        if (gang.mayStop() && gang.stage == GangStage::Releasing)
            return;
        if (end == GangEnd::WorkerLost || end == GangEnd::Failed) {
            gang.end = end;
            beginStage(gang, GangStage::Releasing);
        }
        return;
    case GangStage::Reserving:
    case GangStage::Starting:
    case GangStage::Running:
        break;
    }
    gang.end = end;
    if (!gang.startWriteSent) {
        gang.aborted = true;
        gang.record.phase = GangPhase::Reserving;
        beginStage(gang, GangStage::Releasing);
        return;
    }
    const bool checkpoint = checkpointFirst && gang.stage == GangStage::Running && end == GangEnd::Stopped;
    gang.record.end = end;
    gang.record.checkpoint = checkpoint;
    setPhase(gang, GangPhase::Stopping);
    beginStage(gang, checkpoint ? GangStage::Checkpointing : GangStage::Releasing);
}

void GangLifecycle::applyWritten(const records::PlacementsRecord& record)
{
    for (const records::GangRecord& stored : record.gangs) {
        Gang* gang = table_.find(stored.job, stored.attempt);
        if (gang == nullptr || gang->durablePhase == stored.phase)
            continue;
        gang->durablePhase = stored.phase;
        if (gang->record.phase == stored.phase)
            gang->stageSince = context_.now();
    }
}

void GangLifecycle::release(Gang& gang)
{
    gang.jobEndDurable = true;
    beginStage(gang, GangStage::Releasing);
}

void GangLifecycle::renewed(const WorkerId& worker, const std::vector<JobId>& jobs)
{
    for (const JobId& job : jobs) {
        Gang* gang = table_.find(job);
        if (gang == nullptr)
            continue;
        for (Member& member : gang->members) {
            if (member.worker == worker)
                member.leaseUntil = context_.now() + context_.timings().workerLeaseTtl;
        }
    }
}

void GangLifecycle::workerLost(const WorkerId& worker)
{
    for (const JobId& job : table_.jobsOn(worker)) {
        Gang* gang = table_.find(job);
        if (gang != nullptr)
            stop(*gang, gang->stage == GangStage::Reserving ? GangEnd::LaunchRefused : GangEnd::WorkerLost, false);
    }
}

void GangLifecycle::complete(Gang& gang)
{
    gang.end = GangEnd::Completed;
    beginStage(gang, GangStage::Ending);
    handlers_.completed(gang);
}

void GangLifecycle::step()
{
    for (const JobId& job : table_.active()) {
        if (Gang* gang = table_.find(job))
            advance(*gang);
    }
}

void GangLifecycle::advance(Gang& gang)
{
    switch (gang.stage) {
    case GangStage::Reserving:
        return advanceReserving(gang);
    case GangStage::Starting:
        return advanceStarting(gang);
    case GangStage::Checkpointing:
        return advanceCheckpointing(gang);
    case GangStage::Releasing:
        return advanceReleasing(gang);
    case GangStage::Running:
    case GangStage::Ending:
        return;
    }
}

void GangLifecycle::advanceReserving(Gang& gang)
{
    if (gang.awaitingJobRecord || gang.durablePhase != GangPhase::Reserving)
        return;
    if (gang.allMembers(&Member::done)) {
        setPhase(gang, GangPhase::Starting);
        beginStage(gang, GangStage::Starting);
        return;
    }
    if (context_.now() - gang.stageSince > context_.timings().launchTimeout)
        stop(gang, GangEnd::LaunchRefused, false);
    else
        postOrders(gang, Order::Reserve);
}

bool GangLifecycle::leasesAreFresh(const Gang& gang) const
{
    return std::all_of(gang.members.begin(), gang.members.end(),
        [&](const Member& member) { return member.leaseUntil > context_.now() + startMargin; });
}

void GangLifecycle::advanceStarting(Gang& gang)
{
    if (gang.durablePhase != GangPhase::Starting)
        return;
    if (!gang.startOrdered && !leasesAreFresh(gang)) {
        stop(gang, GangEnd::LaunchRefused, false);
        return;
    }
    gang.startOrdered = true;
    if (gang.allMembers(&Member::done)) {
        gang.startedAt = context_.now();
        setPhase(gang, GangPhase::Running);
        beginStage(gang, GangStage::Running);
        handlers_.started(gang.record.job);
        return;
    }
    if (context_.now() - gang.stageSince > context_.timings().launchTimeout)
        stop(gang, GangEnd::WorkerLost, false);
    else
        postOrders(gang, Order::Start);
}

void GangLifecycle::advanceCheckpointing(Gang& gang)
{
    if (!gang.mayStop())
        return;
    const bool late = context_.now() - gang.stageSince > context_.timings().checkpointTimeout;
    if (late || gang.allMembers(&Member::done))
        beginStage(gang, GangStage::Releasing);
    else
        postOrders(gang, Order::Checkpoint);
}

void GangLifecycle::advanceReleasing(Gang& gang)
{
    if (!gang.mayStop())
        return;
    postOrders(gang, Order::Release);
    const bool durable = gang.aborted || gang.jobEndDurable || gang.durablePhase == GangPhase::Stopping;
    if (!durable || !gang.allMembers(&Member::done))
        return;
    beginStage(gang, GangStage::Ending);
    handlers_.ended(gang);
}

} // namespace rosemarylink::state::internal
