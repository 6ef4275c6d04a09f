#pragma once

#include "GangTable.h"

namespace rosemarylink::state::internal {

// Takes gangs through launch, run and stop: gives the orders of each stage to all members, follows their reports, and
// changes the phases to be stored.
class GangLifecycle {
public:
    struct Handlers {
        std::function<void()> changed; // a phase to be stored has changed
        std::function<void(const JobId&)> started; // all members run
        std::function<void(Gang&)> completed; // all tasks have completed; the members still hold them
        std::function<void(Gang&)> ended; // all members are free
        std::function<void(const JobId&, const WorkerId&)> taskFailed;
        std::function<void(const WorkerId&)> holdsGang;
        std::function<void(const WorkerId&)> pollSoon; // wants an early report
        std::function<void(const std::string& reason)> fenced;
    };

    GangLifecycle(CellContext&, GangTable&, Handlers);

    void launch(const model::JobSpec&, const policy::Placement&, bool borrowed, std::int64_t attempt, bool held);

    // Takes over a gang from the record of an earlier owner. The job may be absent or have ended.
    void adopt(const records::GangRecord&, const model::JobSpec*, bool jobEnded);

    // Ends a gang on all members, unless it is ending already. A checkpoint is taken only from running tasks.
    void stop(Gang&, records::GangEnd, bool checkpointFirst);

    // The record is durable.
    void confirm(const records::PlacementsRecord&);
    // The job's terminal state is durable; a completed gang is released now.
    void release(Gang&);

    void applyReport(const WorkerReport&, Milliseconds sent);
    void renewed(const WorkerId&, const std::vector<JobId>&);
    void workerLost(const WorkerId&);

    // Gives the orders that are due.
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
    void drive(Gang&, Order);
    void post(Gang&, std::size_t member, Order);
    void applyOrder(const JobId&, std::int64_t attempt, std::size_t member, Order, GangStage, const Status&);
    void applyFailure(Gang&, Member&, Order, const Error&);
    void applyTaskReport(Gang&, Member&, const TaskReport&, Milliseconds sent);
    void applyMissing(Gang&, Member&, Milliseconds sent);
    void releaseOrphan(const WorkerId&, const TaskReport&);
    void complete(Gang&);

    CellContext& context_;
    GangTable& table_;
    Handlers handlers_;
};

// The members of a placement, one for each worker.
std::vector<records::GangMember> groupByWorker(const policy::Placement&);

} // namespace rosemarylink::state::internal
