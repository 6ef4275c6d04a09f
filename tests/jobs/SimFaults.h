#pragma once

#include "rosemarylink/jobs/RecordStore.h"
#include "rosemarylink/jobs/Timers.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <functional>
#include <string>

namespace rosemarylink::jobs {

// Ways in which a call fails. All but a refusal break the promise that its handler is called exactly once, after the
// call has returned.
enum class CallFault {
    None,
    Throws,
    NoResponse,
    TwoResponses,
    Refused, // only for commits: the store refuses the call, without effect
};

enum class StoreCall { Commit, Read, List, Watch, GrantLease, KeepLease, EndLease };

// Passes the calls of an instance on to its client of the store, except for injected faults.
class SimFaultyStore final : public RecordStore {
public:
    explicit SimFaultyStore(RecordStore& store)
        : store_(store)
    {
    }

    // Decides on the fault of each call. The key is the prefix of a list or watch, the first key that a batch writes,
    // or empty.
    std::function<CallFault(StoreCall, const std::string& key)> faultFor;

    std::size_t maximumValueBytes() const override { return store_.maximumValueBytes(); }
    bool losesResponses() const override { return store_.losesResponses(); }
    void commit(const Batch&, Milliseconds timeout, StoreHandler) override;
    void read(const std::string& key, Milliseconds timeout, StoreHandler) override;
    void list(const std::string& prefix, Milliseconds timeout, StoreHandler) override;
    void watch(const std::string& prefix, Revision after, Milliseconds wait, StoreHandler) override;
    void grantLease(Milliseconds ttl, Milliseconds timeout, StoreHandler) override;
    void keepLease(StoreLeaseId, Milliseconds timeout, StoreHandler) override;
    void endLease(StoreLeaseId, Milliseconds timeout, StoreHandler) override;

private:
    StoreHandler faulty(StoreCall, const std::string& key, StoreHandler) const;

    RecordStore& store_;
};

enum class WorkerCall { Start, Stop, Poll };

// Passes the calls of an instance on to its client of the workers, except for injected faults.
class SimFaultyWorkers final : public WorkerPort {
public:
    SimFaultyWorkers(WorkerPort& workers, Timers& timers)
        : workers_(workers)
        , timers_(timers)
    {
    }

    // Decides on the fault of each call.
    std::function<CallFault(WorkerCall, const WorkerId&)> faultFor;

    // Decides how much later than it arrives each response is delivered, so that responses may overtake each other.
    std::function<Milliseconds(WorkerCall, const WorkerId&)> delayFor;

    // Changes each report before it is delivered.
    std::function<void(const WorkerId&, WorkerReport&)> changeReport;

    void start(const WorkerEntry&, const StartCommand&, Milliseconds leaseEnd, FencingToken,
        std::function<void(const CommandResponse&)>) override;
    void stop(const WorkerEntry&, const TaskKey&, int run, FencingToken,
        std::function<void(const CommandResponse&)>) override;
    void poll(const WorkerEntry&, Milliseconds leaseEnd, FencingToken, std::int64_t acknowledged, Milliseconds wait,
        std::function<void(Result<WorkerReport>)>) override;

private:
    CallFault faultOf(WorkerCall, const WorkerEntry&) const;
    template <typename Response>
    std::function<void(Response)> delayed(WorkerCall, const WorkerEntry&, std::function<void(Response)>) const;

    WorkerPort& workers_;
    Timers& timers_;
};

} // namespace rosemarylink::jobs
