// The part of GangLifecycle that communicates with workers: orders, their results and the workers' reports.
#include "GangLifecycle.h"

namespace rosemarylink::state::internal {

using records::GangEnd;

namespace {

    // Allows for the transit time of an order or renewal to the worker.
    constexpr Milliseconds leaseMargin { 2000 };
    // A worker may keep its tasks running after a checkpoint and report them as running again. Such a report ends the
    // checkpoint only if it was requested at least this long after the order was acknowledged.
    constexpr Milliseconds checkpointSettleTime { 3000 };
    constexpr std::int64_t missingReportLimit = 2; // a single report may predate the tasks

} // namespace

void GangLifecycle::postOrders(Gang& gang, Order order)
{
    const Milliseconds now = context_.now();
    for (std::size_t index = 0; index < gang.members.size(); ++index) {
        Member& member = gang.members[index];
        if (member.done || member.acknowledged || member.orderInProgress || now < member.nextTry)
            continue;
        const bool leaseOver = now > member.leaseUntil + leaseMargin;
        if (order == Order::Release && (!member.orderSent || (member.nextTry > Milliseconds(0) && leaseOver)))
            member.done = true;
        else
            postOrder(gang, index, order);
    }
}

void GangLifecycle::postOrder(Gang& gang, std::size_t index, Order order)
{
    Member& member = gang.members[index];
    member.orderSent = true;
    member.orderInProgress = true;
    WorkerTasks tasks { gang.record.job, gang.record.attempt, member.tasks, gang.spec.perTask, gang.spec.command };
    context_.call(
        context_.dependencies.workerCalls,
        [&agent = context_.dependencies.workers, worker = member.worker, token = context_.token, tasks, order,
            ttl = context_.timings().workerLeaseTtl]() -> Status {
            switch (order) {
            case Order::Reserve:
                return agent.reserve(worker, token, tasks, ttl);
            case Order::Start:
                return agent.start(worker, token, tasks.job, tasks.attempt);
            case Order::Checkpoint:
                return agent.checkpoint(worker, token, tasks.job, tasks.attempt);
            case Order::Release:
                return agent.release(worker, token, tasks.job, tasks.attempt);
            }
            return okStatus();
        },
        [this, job = gang.record.job, attempt = gang.record.attempt, index, order, stage = gang.stage](
            const Status& status) { applyOrderResult(job, attempt, index, order, stage, status); });
}

void GangLifecycle::applyOrderResult(
    const JobId& job, std::int64_t attempt, std::size_t index, Order order, GangStage stage, const Status& status)
{
    if (!status && status.error().code == ErrorCode::Fenced) {
        handlers_.fenced("a worker has seen a later owner");
        return;
    }
    Gang* gang = table_.find(job, attempt);
    if (gang == nullptr)
        return;
    Member& member = gang->members[index];
    member.orderInProgress = false;
    if (order == Order::Reserve)
        member.leaseUntil = context_.now() + context_.timings().workerLeaseTtl;
    if (gang->stage != stage)
        return;
    if (!status) {
        applyFailure(*gang, member, order, status.error());
        return;
    }
    if (order == Order::Checkpoint) {
        member.acknowledged = true;
        member.acknowledgedAt = context_.now();
        handlers_.earlyReportNeeded(member.worker);
    } else {
        member.done = true;
    }
}

void GangLifecycle::applyFailure(Gang& gang, Member& member, Order order, const Error& error)
{
    const bool unreachable = error.code == ErrorCode::Unavailable || error.code == ErrorCode::DeadlineExceeded;
    if (unreachable) {
        member.nextTry = context_.now() + context_.timings().orderRetryDelay;
        handlers_.earlyReportNeeded(member.worker);
        return;
    }
    switch (order) {
    case Order::Reserve:
        stop(gang, GangEnd::LaunchRefused, false);
        return;
    case Order::Start:
        stop(gang, GangEnd::WorkerLost, false);
        return;
    case Order::Checkpoint:
        member.done = true; // the worker has nothing to checkpoint
        return;
    case Order::Release:
        if (error.code == ErrorCode::NotFound)
            member.done = true;
        else
            member.nextTry = context_.now() + context_.timings().orderRetryDelay;
        return;
    }
}

void GangLifecycle::applyReport(const WorkerReport& report, Milliseconds sent)
{
    if (report.highestToken > context_.token) {
        handlers_.fenced("a worker has seen a later owner");
        return;
    }
    std::set<JobId> present;
    for (const TaskReport& task : report.tasks) {
        Gang* gang = table_.find(task.job, task.attempt);
        Member* member = nullptr;
        for (std::size_t index = 0; gang != nullptr && index < gang->members.size(); ++index) {
            if (gang->members[index].worker == report.worker)
                member = &gang->members[index];
        }
        if (member == nullptr) {
            releaseOrphan(report.worker, task);
            continue;
        }
        present.insert(task.job);
        applyTaskReport(*gang, *member, task, sent);
    }
    for (const JobId& job : table_.jobsOn(report.worker)) {
        Gang* gang = present.count(job) == 0 ? table_.find(job) : nullptr;
        if (gang == nullptr)
            continue;
        for (Member& member : gang->members) {
            if (member.worker == report.worker)
                applyMissing(*gang, member, sent);
        }
    }
}

void GangLifecycle::applyTaskReport(Gang& gang, Member& member, const TaskReport& task, Milliseconds sent)
{
    member.reported = task.state;
    member.missingReports = 0;
    if (gang.stage == GangStage::Reserving || gang.stage == GangStage::Ending || gang.jobEndDurable)
        return;
    switch (task.state) {
    case TaskState::Completed:
        member.completed = true;
        member.done = member.done || gang.stage == GangStage::Checkpointing;
        if (gang.allMembers(&Member::completed))
            complete(gang);
        return;
    case TaskState::Failed:
        if (gang.stage != GangStage::Releasing)
            handlers_.taskFailed(gang.record.job, member.worker);
        stop(gang, GangEnd::Failed, false);
        return;
    case TaskState::Stopped:
        if (gang.stage == GangStage::Checkpointing && member.acknowledged)
            member.done = true;
        else
            stop(gang, GangEnd::WorkerLost, false);
        return;
    case TaskState::Running:
        if (gang.stage == GangStage::Checkpointing && member.acknowledged
            && sent >= member.acknowledgedAt + checkpointSettleTime)
            member.done = true;
        return;
    case TaskState::Checkpointing:
        // Reclaimed capacity is needed as soon as the checkpoint ends, so its end is polled for more often than leases
        // are renewed.
        if (gang.stage == GangStage::Checkpointing)
            handlers_.earlyReportNeeded(member.worker);
        return;
    case TaskState::Reserved:
        return;
    }
}

void GangLifecycle::applyMissing(Gang& gang, Member& member, Milliseconds sent)
{
    if (gang.stage == GangStage::Checkpointing && member.acknowledged) {
        member.done = true;
        return;
    }
    if (gang.stage != GangStage::Running || sent - gang.startedAt < context_.timings().reportGrace)
        return;
    if (++member.missingReports >= missingReportLimit)
        stop(gang, GangEnd::WorkerLost, false);
    else
        handlers_.earlyReportNeeded(member.worker);
}

// Releases tasks that belong to no gang: from a launch whose owner failed, or on a worker that was unreachable while
// its gang ended.
void GangLifecycle::releaseOrphan(const WorkerId& worker, const TaskReport& task)
{
    context_.call(
        context_.dependencies.workerCalls,
        [&agent = context_.dependencies.workers, worker, token = context_.token, job = task.job,
            attempt = task.attempt] { return agent.release(worker, token, job, attempt); },
        [this](const Status& status) {
            if (!status && status.error().code == ErrorCode::Fenced)
                handlers_.fenced("a worker has seen a later owner");
        });
}

} // namespace rosemarylink::state::internal
