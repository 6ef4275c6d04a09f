#include "SimFaults.h"

#include <stdexcept>
#include <utility>

namespace rosemarylink::jobs {

namespace {

    template <typename Response>
    std::function<void(Response)> faultyHandler(CallFault fault, std::function<void(Response)> handler)
    {
        switch (fault) {
        case CallFault::None:
        case CallFault::Refused:
            return handler;
        case CallFault::Throws:
            throw std::runtime_error("injected fault");
        case CallFault::NoResponse:
            return [](Response) {};
        case CallFault::TwoResponses:
            return [handler](Response response) {
                handler(response);
                handler(response);
            };
        }
        return handler;
    }

    std::string writtenKey(const Batch& batch)
    {
        if (!batch.puts.empty())
            return batch.puts.front().key;
        return batch.removals.empty() ? "" : batch.removals.front();
    }

} // namespace

StoreHandler SimFaultyStore::faulty(StoreCall call, const std::string& key, StoreHandler handler) const
{
    return faultyHandler(faultFor ? faultFor(call, key) : CallFault::None, std::move(handler));
}

void SimFaultyStore::commit(const Batch& batch, Milliseconds timeout, StoreHandler handler)
{
    const std::string key = writtenKey(batch);
    const CallFault fault = faultFor ? faultFor(StoreCall::Commit, key) : CallFault::None;
    if (fault != CallFault::Refused) {
        store_.commit(batch, timeout, faultyHandler(fault, std::move(handler)));
        return;
    }
    // A read takes as long and changes nothing.
    store_.read(key, timeout, [handler](const StoreResponse&) {
        StoreResponse refusal;
        refusal.outcome = StoreOutcome::Refused;
        handler(refusal);
    });
}

void SimFaultyStore::read(const std::string& key, Milliseconds timeout, StoreHandler handler)
{
    store_.read(key, timeout, faulty(StoreCall::Read, key, std::move(handler)));
}

void SimFaultyStore::list(const std::string& prefix, Milliseconds timeout, StoreHandler handler)
{
    store_.list(prefix, timeout, faulty(StoreCall::List, prefix, std::move(handler)));
}

void SimFaultyStore::watch(const std::string& prefix, Revision after, Milliseconds wait, StoreHandler handler)
{
    store_.watch(prefix, after, wait, faulty(StoreCall::Watch, prefix, std::move(handler)));
}

void SimFaultyStore::grantLease(Milliseconds ttl, Milliseconds timeout, StoreHandler handler)
{
    store_.grantLease(ttl, timeout, faulty(StoreCall::GrantLease, "", std::move(handler)));
}

void SimFaultyStore::keepLease(StoreLeaseId lease, Milliseconds timeout, StoreHandler handler)
{
    store_.keepLease(lease, timeout, faulty(StoreCall::KeepLease, "", std::move(handler)));
}

void SimFaultyStore::endLease(StoreLeaseId lease, Milliseconds timeout, StoreHandler handler)
{
    store_.endLease(lease, timeout, faulty(StoreCall::EndLease, "", std::move(handler)));
}

CallFault SimFaultyWorkers::faultOf(WorkerCall call, const WorkerEntry& worker) const
{
    return faultFor ? faultFor(call, worker.id) : CallFault::None;
}

template <typename Response>
std::function<void(Response)> SimFaultyWorkers::delayed(
    WorkerCall call, const WorkerEntry& worker, std::function<void(Response)> handler) const
{
    if (!delayFor)
        return handler;
    const Milliseconds delay = delayFor(call, worker.id);
    return
        [this, delay, handler](Response response) { timers_.after(delay, [handler, response] { handler(response); }); };
}

void SimFaultyWorkers::start(const WorkerEntry& worker, const StartCommand& command, Milliseconds leaseEnd,
    FencingToken token, std::function<void(const CommandResponse&)> handler)
{
    workers_.start(worker, command, leaseEnd, token,
        delayed(WorkerCall::Start, worker, faultyHandler(faultOf(WorkerCall::Start, worker), std::move(handler))));
}

void SimFaultyWorkers::stop(const WorkerEntry& worker, const TaskKey& task, int run, FencingToken token,
    std::function<void(const CommandResponse&)> handler)
{
    workers_.stop(worker, task, run, token,
        delayed(WorkerCall::Stop, worker, faultyHandler(faultOf(WorkerCall::Stop, worker), std::move(handler))));
}

void SimFaultyWorkers::poll(const WorkerEntry& worker, Milliseconds leaseEnd, FencingToken token,
    std::int64_t acknowledged, Milliseconds wait, std::function<void(Result<WorkerReport>)> handler)
{
    const auto faulty
        = delayed(WorkerCall::Poll, worker, faultyHandler(faultOf(WorkerCall::Poll, worker), std::move(handler)));
    workers_.poll(
        worker, leaseEnd, token, acknowledged, wait, [this, id = worker.id, faulty](Result<WorkerReport> report) {
            if (report && changeReport)
                changeReport(id, report.value());
            faulty(std::move(report));
        });
}

} // namespace rosemarylink::jobs
