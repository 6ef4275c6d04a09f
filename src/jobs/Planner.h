#pragma once

#include "rosemarylink/jobs/JobProgress.h"

#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::jobs::internal {

// Resources that a run on a worker occupies until its expected end.
struct ExpectedEnd {
    Milliseconds at { 0 };
    Resources resources;
};

// The planner's view of a worker.
struct PlanWorker {
    WorkerId id;
    std::string rack;
    const std::set<std::string>* labels = nullptr;
    Resources free; // not allocated to any run; runs that are being stopped still count as allocated
    Resources releasing; // allocated to runs that are being stopped
    Resources capacity;
    std::int64_t urgentAccelerators = 0; // allocated to work of priority 0, which is rarely preempted
    bool schedulable = true; // may be given new work
    bool suspect = false; // runs have failed or starts were refused on it recently
    double pace = 1; // of its runs; below 1 only if the worker is known to be slow, see WorkerPace.h
    bool mayBeProbed = false; // slow when last seen, which a single task may check
    std::vector<ExpectedEnd> expectedEnds; // of all runs on it, in the order of time

    bool isSlow() const { return pace < 1; }
};

// Slow workers are few as long as they are at most this fraction (1/N) of the pool. Otherwise pace is ignored.
constexpr std::size_t slowDivisor = 3;

// The tasks of one step that are ready to start. For a gang these are all of its tasks.
struct PlanStep {
    JobId job;
    int occurrence = 0;
    int step = 0;
    const StepSpec* spec = nullptr;
    std::vector<int> tasks;
    std::map<WorkerId, int> activeTasks; // number of the step's tasks that are already on a worker
    int priority = 0;
    bool guaranteed = false; // within its client account's guarantee
    bool lastAttempt = false; // the job fails if a run of the step fails once more
    const std::set<WorkerId>* failedOn = nullptr; // workers on which a run of the step has failed, used last
    std::set<WorkerId> reservedWorkers; // workers on which the previous plan reserved capacity for the step
    Milliseconds arrivedAt { 0 }; // arrival of the job, or due time of its occurrence
    Milliseconds readyAt { 0 }; // time since which the step has been ready to start
    Milliseconds idleSince { 0 }; // time since which nothing of the step has run
    Milliseconds objectiveAt { 0 }; // objective for the job's completion time
    Milliseconds lateDeadline { 0 }; // completion after the objective still has value until this time
    Milliseconds remaining { 0 }; // estimated length of the critical path from this step on
    Milliseconds expectedRunTime { 0 }; // of one task
};

// Running work that may be preempted: a task, or a whole gang.
struct PreemptibleWork {
    JobId job;
    int occurrence = 0;
    int step = 0;
    std::vector<int> tasks; // one task, or all members of the gang
    std::map<WorkerId, Resources> resources; // resources that stopping it would free
    int priority = 0;
    bool guaranteed = false; // within its client account's guarantee
    std::int64_t unitAccelerators = 0; // of the whole task or gang; see unitAccelerators()
    double cores = 0; // that it uses, where an accelerator counts as several cores
    double lostCoreSeconds = 0; // work that would have to be repeated
    Milliseconds lostTime { 0 }; // the run time of that work
    Milliseconds ranFor { 0 }; // since it was started last
};

struct PlanInput {
    Milliseconds now { 0 };
    std::vector<PlanWorker> workers;
    std::vector<PlanStep> steps;
    // Empty in a first plan; see Plan::wantsPreemption.
    std::vector<PreemptibleWork> running;
    bool mayPreemptForOthers = false; // steps that are not urgent may preempt work that loses little
    double releasedCoresPerSecond = 0; // weighted cores that become free because work ends by itself
    std::int64_t urgentHeadroom = 0; // accelerators that work of lower priority must leave free for urgent work
    bool deferLargest = false; // where too little becomes free in time, large steps are deferred; see StepOrder.h
    std::size_t maximumStarts = std::numeric_limits<std::size_t>::max(); // tasks that may be placed
    Milliseconds urgentRackWait { 0 }; // how long urgent work waits for its preferred rack before it may use others
};

struct Placement {
    TaskKey task;
    WorkerId worker;
};

// Capacity that is kept free for a step until all of its tasks fit.
struct CapacityReservation {
    JobId job;
    int occurrence = 0;
    int step = 0;
    std::set<WorkerId> workers;
};

// Why some tasks of a step cannot start yet.
enum class WaitReason {
    NoCapacity, // there is not enough capacity, and none is being freed for it
    CapacityBeingFreed, // capacity is reserved for it while other work is being stopped
    EndsExpected, // it is first in line for what ends by itself, and preempts if that takes too long
    Reserved, // workers are reserved for it, and other work uses them only until they are expected to be free
    TooManyRuns, // the owner has as many runs as it can keep
    WaitsForRack, // its preferred rack has no capacity and other racks are not allowed yet
};

// The name of a reason in logs.
const char* waitReasonName(WaitReason);

struct WaitingStep {
    std::size_t step = 0; // index into PlanInput::steps
    std::size_t tasks = 0;
    WaitReason reason = WaitReason::NoCapacity;
};

struct Preemption {
    std::size_t work = 0; // index into PlanInput::running
    std::size_t step = 0; // index into PlanInput::steps, of the step that needs the capacity
};

struct Plan {
    std::vector<Placement> placements;
    std::vector<CapacityReservation> reservations;
    std::vector<WaitingStep> waiting; // in the order in which the steps were considered
    std::vector<Preemption> preemptions;
    bool wantsPreemption = false; // a step that may preempt work does not fit; plan again with PlanInput::running
    std::optional<Milliseconds> planAgainAt; // when a step that waits for ends may preempt, unless it has started
};

// The cores of a resource demand, where an accelerator counts as several.
double weightedCores(const Resources&);

// The accelerators that a unit of the step needs at once: all tasks of a gang, otherwise one task.
std::int64_t unitAccelerators(const StepSpec&);

// Decides which tasks of one pool start on which workers and which running work is preempted for them. Has no side
// effects.
Plan makePlan(const PlanInput&);

} // namespace rosemarylink::jobs::internal
