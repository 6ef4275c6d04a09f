#pragma once

#include "rosemarylink/jobs/Job.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

enum class TaskPhase {
    Waiting,
    Starting, // an order is on its way, or has had no answer
    Running,
    Stopping, // ordered to stop; it still takes room on its worker
    Done,
};

struct TaskProgress {
    TaskPhase phase = TaskPhase::Waiting;
    int run = 0; // the highest run number used
    std::set<int> failedRuns; // of a task that is not in a gang; a set, as ends may be listed again and in any order
    std::string checkpoint; // of a task that is not in a gang
    WorkerId worker; // while Starting, Running or Stopping
    Milliseconds startedAt { 0 }; // monotonic time of the run's order
    Milliseconds notBefore { 0 }; // monotonic time of the next start, of a task that lasts and ends at once
    int percent = 0; // of its work, as the worker last reported
};

struct StepProgress {
    std::vector<TaskProgress> tasks;
    int done = 0;
    std::set<int> gangFailedRuns; // several members' ends of one run count once

    // Of a gang: the newest of any member, which all members of the next run start from.
    std::string gangCheckpoint;

    bool complete() const { return done == static_cast<int>(tasks.size()); }
    bool anyActive() const;
};

// A job and all that is known of its tasks.
struct Job {
    JobSpec spec;
    JobState state = JobState::Queued;
    std::vector<std::vector<StepProgress>> occurrences; // of steps
    bool mayRunElsewhere = false; // an earlier owner may have started tasks that are not known yet
    bool waitingRecord = true; // its record among the waiting jobs exists
    Revision runRevision { 0 }; // of its progress record
    std::int64_t changes = 0; // counted for the record
    std::int64_t storedChanges = 0;
    Milliseconds arrivedAt { 0 }; // monotonic
    std::optional<Milliseconds> finishedAt; // monotonic

    StepProgress& step(const TaskKey& key) { return occurrences[key.occurrence][key.step]; }
    TaskProgress& task(const TaskKey& key) { return step(key).tasks[key.index]; }
    const StepSpec& stepSpec(const TaskKey& key) const { return spec.steps[key.step]; }
    // What the task's next run starts from; empty for the beginning.
    std::string& checkpoint(const TaskKey& key)
    {
        return stepSpec(key).gang ? step(key).gangCheckpoint : task(key).checkpoint;
    }
    bool contains(const TaskKey&) const;
    bool complete() const;
    bool anyActive() const;
    bool dirty() const { return changes != storedChanges; }

    // True when the steps before it are done.
    bool unlocked(int occurrence, int step) const;
};

Job makeJob(const JobSpec&, Revision runRevision);

// The progress record. A final job's holds its state only.
std::string progressRecord(const Job&);

// The state in a progress record, and into `job` what it says of the tasks; nothing when it cannot be read.
std::optional<JobState> parseProgressState(const std::string& record);
Status applyProgressRecord(const std::string& record, Job&);

} // namespace rosemarylink::jobs
