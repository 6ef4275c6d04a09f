#pragma once

#include "GangTable.h"

namespace rosemarylink::state::internal {

// Drives gangs through launch, run and stop: sends the orders of each stage to all members, evaluates their reports and
// updates the phases to be stored.
class GangLifecycle {
public:
    struct Handlers {
        std::function<void()> changed; // a gang record to be stored has changed
        std::function<void(const JobId&)> started; // all members are running
        std::function<void(Gang&)> completed; // all tasks have completed, but are not released yet
        std::function<void(Gang&)> ended; // all members have released their tasks
        std::function<void(const JobId&, const WorkerId&)> taskFailed;
        std::function<void(const WorkerId&)> gangPlaced; // the worker holds a gang from now on
        std::function<void(const WorkerId&)> earlyReportNeeded; // sooner than the regular renewal
        std::function<void(const std::string& reason)> fenced;
    };

    GangLifecycle(CellContext&, GangTable&, Handlers);

    void launch(
        const model::JobSpec&, const policy::Placement&, bool borrowed, std::int64_t attempt, bool awaitingJobRecord);

    // Resumes a gang from the record of an earlier owner. The specification is null if the job's record is absent.
    void adopt(const records::GangRecord&, const model::JobSpec*, bool jobEnded);

    // Stops a gang on all members, unless it is already being stopped. Only running gangs are checkpointed.
    void stop(Gang&, records::GangEnd, bool checkpointFirst);

    // Called when the placements record is durable.
    void applyWritten(const records::PlacementsRecord&);
    // Called when the job's terminal state is durable: releases a completed gang.
    void release(Gang&);

    void applyReport(const WorkerReport&, Milliseconds sent);
    void renewed(const WorkerId&, const std::vector<JobId>&);
    void workerLost(const WorkerId&);

    // Advances the gangs and posts the orders that are due.
    void step();

private:
    enum class Order { Reserve, Start, Checkpoint, Release };

    void beginStage(Gang&, GangStage);
    void setPhase(Gang&, records::GangPhase);
    void advance(Gang&);
    void advanceReserving(Gang&);
    void advanceStarting(Gang&);
    void advanceCheckpointing(Gang&);
    void advanceReleasing(Gang&);
    bool leasesAreFresh(const Gang&) const;
    void postOrders(Gang&, Order);
    void postOrder(Gang&, std::size_t member, Order);
    void applyOrderResult(const JobId&, std::int64_t attempt, std::size_t member, Order, GangStage, const Status&);
    void applyFailure(Gang&, Member&, Order, const Error&);
    void applyTaskReport(Gang&, Member&, const TaskReport&, Milliseconds sent);
    void applyMissing(Gang&, Member&, Milliseconds sent);
    void releaseOrphan(const WorkerId&, const TaskReport&);
    void complete(Gang&);

    CellContext& context_;
    GangTable& table_;
    Handlers handlers_;
};

// Groups the tasks of a placement into one member per worker.
std::vector<records::GangMember> groupByWorker(const policy::Placement&);

} // namespace rosemarylink::state::internal
