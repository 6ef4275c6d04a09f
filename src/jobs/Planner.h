#pragma once

#include "rosemarylink/jobs/JobProgress.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::jobs::internal {

// A worker as the planner sees it.
struct PlanWorker {
    WorkerId id;
    std::string rack;
    const std::set<std::string>* labels = nullptr;
    Resources free; // not taken by any run, stopping ones included
    Resources leaving; // taken by runs that have been ordered to stop
    Resources capacity;
    std::int64_t urgentAccelerators = 0; // taken by urgent work, which yields to nearly nothing
    bool usable = true; // may be given new work
    bool suspect = false; // has failed work of several jobs lately
};

// Tasks of one step that could start now. A gang's tasks are all of them.
struct PlanStep {
    JobId job;
    int occurrence = 0;
    int step = 0;
    const StepSpec* spec = nullptr;
    std::vector<int> tasks;
    std::map<WorkerId, int> present; // tasks of the step that are on a worker already
    int priority = 0;
    bool guaranteed = false; // within its account's guarantee
    std::set<WorkerId> heldWorkers; // on which the last plan has kept room for it
    Milliseconds arrivedAt { 0 }; // of the job, or the due time of its occurrence
    Milliseconds readyAt { 0 }; // since when the step could have started
    Milliseconds objectiveAt { 0 }; // when the job should end
    Milliseconds lateUntil { 0 }; // until when ending late still counts
    Milliseconds remaining { 0 }; // of the longest chain from this step on
};

// Work that could be stopped: a task, or a gang as a whole.
struct PlanRunning {
    JobId job;
    int occurrence = 0;
    int step = 0;
    std::vector<int> tasks; // one, or all members of the gang
    std::map<WorkerId, Resources> room; // what would become free
    int priority = 0;
    bool guaranteed = false; // within its account's guarantee
    double lostCoreSeconds = 0; // work that would have to be done again
};

struct PlanInput {
    Milliseconds now { 0 };
    std::vector<PlanWorker> workers;
    std::vector<PlanStep> steps;
    std::vector<PlanRunning> running;
    std::int64_t urgentReserve = 0; // accelerators that less urgent work leaves free
    Milliseconds urgentLocalWait { 0 }; // how long an urgent gang waits for one rack before it may be spread
};

struct Placement {
    TaskKey task;
    WorkerId worker;
};

// Room that is kept free for a step until there is enough.
struct HeldRoom {
    JobId job;
    int occurrence = 0;
    int step = 0;
    std::set<WorkerId> workers;
};

// Why tasks of a step do not start now.
enum class WaitReason {
    NoRoom, // neither free nor being freed for it
    RoomIsFreed, // it is kept what other work is leaving
    WaitsForRack, // none on one rack or on that of its data, for which it still waits
};

struct WaitingStep {
    std::size_t step = 0; // index into PlanInput::steps
    std::size_t tasks = 0;
    WaitReason reason = WaitReason::NoRoom;
};

struct Plan {
    std::vector<Placement> placements;
    std::vector<HeldRoom> held;
    std::vector<WaitingStep> waiting; // in order of their rank
    std::vector<std::size_t> stops; // indices into PlanInput::running
};

// Decides which steps start where and which running work yields, for one pool at one moment.
Plan makePlan(const PlanInput&);

} // namespace rosemarylink::jobs::internal
