#include "SimFleet.h"

#include <utility>

namespace rosemarylink::jobs {

namespace {

    constexpr Milliseconds oneWay { 2 };
    constexpr Milliseconds commandTimeout { 500 };
    constexpr Milliseconds pollMargin { 700 };

} // namespace

SimFleet::WorkerState* SimWorkerClient::findReachable(const WorkerId& id)
{
    const auto position = fleet_.workers_.find(id);
    if (killed || position == fleet_.workers_.end() || !position->second.up || isCutOff(id))
        return nullptr;
    return &position->second;
}

bool SimWorkerClient::connectFails(const WorkerId& id)
{
    if (isCutOff(id))
        return fleet_.cutResets || disconnected_.count(id) > 0;
    disconnected_.erase(id);
    return false;
}

void SimWorkerClient::order(const WorkerId& id, const std::function<CommandResponse(SimFleet::WorkerState&)>& work,
    const std::function<void(const CommandResponse&)>& handler)
{
    const auto respond = [this, handler](Milliseconds delay, const CommandResponse& result) {
        world_.after(delay, [this, handler, result] { deliver([handler, result] { handler(result); }); });
    };
    if (!findReachable(id)) {
        const auto position = fleet_.workers_.find(id);
        CommandResponse refusal;
        if (position == fleet_.workers_.end() || !position->second.closed || isCutOff(id)) {
            if (connectFails(id))
                refusal.outcome = CommandOutcome::Unreachable;
            world_.after(commandTimeout, [this, id] { disconnected_.insert(id); });
            respond(fleet_.cutResets ? oneWay : commandTimeout, refusal);
            return;
        }
        refusal.outcome = position->second.replaced ? CommandOutcome::WrongIncarnation : CommandOutcome::Unreachable;
        respond(oneWay, refusal);
        return;
    }
    if (std::uniform_real_distribution<>(0, 1)(fleet_.random) < fleet_.delayedCommandShare) {
        respond(commandTimeout, {});
        // The command names the worker by its id only, so a process that has started again under that id executes it.
        fleet_.runAfter(id, fleet_.commandDelay, [this, id, work] {
            SimFleet::WorkerState& incarnation = fleet_.workers_.at(id);
            if (incarnation.up)
                work(incarnation);
        });
        return;
    }
    const bool lost = std::uniform_real_distribution<>(0, 1)(fleet_.random) < fleet_.lostCommandResponseShare;
    const auto execute = [this, id, work, respond, lost] {
        SimFleet::WorkerState* const incarnation = findReachable(id);
        const CommandResponse response = incarnation ? work(*incarnation) : CommandResponse {};
        if (incarnation && incarnation->up && !lost)
            respond(oneWay, response);
        else
            respond(commandTimeout, {});
    };
    world_.after(oneWay, [this, id, execute] { fleet_.onArrival(id, execute); });
}

void SimWorkerClient::start(const WorkerEntry& worker, const StartCommand& startCommand, Milliseconds leaseEnd,
    FencingToken token, std::function<void(const CommandResponse&)> handler)
{
    order(
        worker.id,
        [this, startCommand, leaseEnd, token](SimFleet::WorkerState& incarnation) {
            return fleet_.start(incarnation, startCommand, leaseEnd, token.value());
        },
        handler);
}

void SimWorkerClient::stop(const WorkerEntry& worker, const TaskKey& task, int run, FencingToken token,
    std::function<void(const CommandResponse&)> handler)
{
    order(
        worker.id,
        [this, task, run, token](
            SimFleet::WorkerState& incarnation) { return fleet_.stop(incarnation, task, run, token.value()); },
        handler);
}

void SimWorkerClient::deliver(const std::function<void()>& task)
{
    if (world_.now() < pausedUntil)
        world_.after(pausedUntil - world_.now(), [this, task] { deliver(task); });
    else if (!killed)
        task();
}

void SimWorkerClient::poll(const WorkerEntry& worker, Milliseconds leaseEnd, FencingToken token,
    std::int64_t acknowledged, Milliseconds wait, std::function<void(Result<WorkerReport>)> handler)
{
    const auto responded = std::make_shared<bool>(false);
    const auto once = [this, responded, handler](const Result<WorkerReport>& result) {
        if (!killed && !std::exchange(*responded, true))
            deliver([handler, result] { handler(result); });
    };
    if (connectFails(worker.id)) {
        const Milliseconds delay = fleet_.cutResets ? oneWay : wait + pollMargin;
        world_.after(delay, [once] { once(unavailable("not connected", Verdict::NotRun)); });
        return;
    }
    world_.after(wait + pollMargin, [this, id = worker.id, responded, once] {
        if (!*responded)
            disconnected_.insert(id);
        once(unavailable("no response", Verdict::MayHaveRun));
    });
    if (fleet_.delayedPollShare > 0
        && std::uniform_real_distribution<>(0, 1)(fleet_.random) < fleet_.delayedPollShare) {
        fleet_.runAfter(worker.id, fleet_.pollDelay, [this, id = worker.id, leaseEnd, token, acknowledged] {
            SimFleet::WorkerState& incarnation = fleet_.workers_.at(id);
            if (incarnation.up)
                fleet_.hold(incarnation, leaseEnd, token.value(), acknowledged);
        });
        return;
    }
    const auto execute = [this, id = worker.id, leaseEnd, token, acknowledged, wait, once] {
        SimFleet::WorkerState* const incarnation = findReachable(id);
        if (!incarnation) {
            const auto position = fleet_.workers_.find(id);
            if (position != fleet_.workers_.end() && position->second.closed && !isCutOff(id))
                once(position->second.replaced ? makeError(ErrorCode::NotFound, "another process is at this address")
                                               : unavailable("connection refused", Verdict::NotRun));
            return;
        }
        if (!fleet_.hold(*incarnation, leaseEnd, token.value(), acknowledged)) {
            once(makeError(ErrorCode::Fenced, "a later owner has called the worker"));
            return;
        }
        const auto sendReport = [this, id, once] {
            if (const SimFleet::WorkerState* const later = findReachable(id)) {
                const WorkerReport report = fleet_.report(*later);
                world_.after(oneWay, [once, report] { once(report); });
            }
        };
        if (wait == Milliseconds(0) || !fleet_.report(*incarnation).ended.empty()) {
            sendReport();
            return;
        }
        incarnation->waiting.emplace_back([this, id, sendReport] { fleet_.onArrival(id, sendReport); });
        fleet_.runAfter(id, wait, sendReport);
    };
    world_.after(oneWay, [this, id = worker.id, execute] { fleet_.onArrival(id, execute); });
}

} // namespace rosemarylink::jobs
