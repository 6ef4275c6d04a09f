#pragma once

#include "Planner.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

// Load pattern: a worker becomes several times slower while it has runs. A run that stays there ends several times
// later than elsewhere, and a gang waits for it as a whole. To stop it throws away what it has done since its last
// checkpoint, takes a moment, and gains nothing where there is no other room, or where all workers are slow alike.
namespace rosemarylink::jobs::internal {

// Running work with a run on a slow worker: a task, or a whole gang.
struct Straggler {
    JobId job;
    int occurrence = 0;
    int step = 0;
    const StepSpec* spec = nullptr;
    std::vector<int> tasks; // one task, or all members of the gang
    int priority = 0;
    std::string soundRack; // the only rack of the tasks on sound workers; empty if there are none or several
    std::map<WorkerId, int> tasksOn; // number of the step's tasks on each worker, without the slow ones
    std::size_t slowTasks = 0; // how many of the tasks are on slow workers
    Milliseconds remaining { 0 }; // until the last of the tasks ends if they stay
    Milliseconds duration { 0 }; // of one task on a sound worker
    int savedPercent = 0; // share of the work from which another run would go on
    int moves = 0; // how often it has been moved already
};

struct MoveInput {
    std::vector<Straggler> stragglers;
    // Workers that may be given work, without slow ones.
    std::vector<PlanWorker> soundWorkers;
    Milliseconds stopTime { 0 }; // the longest that a stop takes
};

// Returns indices into MoveInput::stragglers of the work to stop, so that it starts again on sound workers. Work is
// moved if it ends clearly sooner there and if there is free capacity for its slow tasks. Has no side effects.
std::vector<std::size_t> chooseMoves(const MoveInput&);

} // namespace rosemarylink::jobs::internal
