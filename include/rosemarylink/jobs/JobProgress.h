#pragma once

#include "rosemarylink/jobs/Job.h"
#include "rosemarylink/jobs/LazyVector.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

enum class TaskPhase {
    Waiting,
    Starting, // a start command was sent and is not confirmed yet
    Running,
    Stopping, // a stop command was sent; the run still occupies resources of its worker
    Done,
};

struct TaskProgress {
    TaskPhase phase = TaskPhase::Waiting;
    int run = 0; // highest run number used
    // Failed runs of a task that is not in a gang. A set, because a worker may report an end repeatedly and ends may be
    // reported in any order.
    std::set<int> failedRuns;
    // Runs under which a worker crashed, since the last run that a worker was seen to survive; see
    // OwnerSessionCrashes.cpp.
    std::set<int> crashedRuns;
    std::set<int> unconfirmedCrashes; // those whose start the worker had not confirmed, which may never have run
    std::set<int> unresolvedRuns; // later runs whose end is not known: the present one, and runs lost in a takeover
    std::string checkpoint; // of a task that is not in a gang
    WorkerId worker; // while Starting, Running or Stopping
    Milliseconds startedAt { 0 }; // monotonic time at which the start command was sent
    Milliseconds notBefore { 0 }; // monotonic time before which a long-running task is not restarted
    int percent = 0; // completed share of the work, as last reported by the worker
};

// The tasks of a step. Those that have never been placed are alike.
using TaskTable = LazyVector<TaskProgress>;

struct StepProgress {
    TaskTable tasks;
    int done = 0; // number of tasks in phase Done
    std::optional<Milliseconds> readyAt; // monotonic time since which the steps that it depends on are complete
    std::optional<Milliseconds> activeAt; // monotonic time at which this owner last saw a run of the step; not stored
    std::set<WorkerId> failedOn; // workers on which this owner has seen a run fail; not stored
    std::set<int> gangFailedRuns; // failed runs of a gang; a run counts once even if several members report a failure

    // Latest checkpoint reported by any member of a gang. All members of the next run start from it.
    std::string gangCheckpoint;

    bool complete() const { return done == static_cast<int>(tasks.size()); }
    bool anyActive() const;
};

// A job and the progress of its tasks.
struct Job {
    JobSpec spec;
    JobState state = JobState::Queued;
    LazyVector<std::vector<StepProgress>> occurrences; // indexed by occurrence and step
    bool mayHaveUnknownRuns = false; // a previous owner may have started runs that this owner has not seen yet
    std::optional<Milliseconds> releasedAt; // monotonic time at which that was ruled out; absent if it never was so
    bool oversized = false; // the record with the present progress exceeds the store's limit
    bool hasWaitingRecord = true; // the store holds the job's record below keys::waitingPrefix()
    Revision progressRevision { 0 }; // revision of the stored progress record
    std::int64_t changes = 0; // number of changes made to the progress
    std::int64_t storedChanges = 0; // number of those changes that the stored record contains
    Milliseconds arrivedAt { 0 }; // monotonic time at which the owner read the job, less its age if that was a takeover
    std::optional<Milliseconds> finishedAt; // monotonic

    StepProgress& step(const TaskKey& key)
    {
        return occurrences.edit(static_cast<std::size_t>(key.occurrence))[key.step];
    }
    TaskProgress& task(const TaskKey& key) { return step(key).tasks.edit(static_cast<std::size_t>(key.index)); }
    const TaskProgress& task(const TaskKey& key) const
    {
        return occurrences[key.occurrence][key.step].tasks[static_cast<std::size_t>(key.index)];
    }
    const StepSpec& stepSpec(const TaskKey& key) const { return spec.steps[key.step]; }
    // Checkpoint from which the task's next run starts; empty to start from the beginning.
    std::string& checkpoint(const TaskKey& key)
    {
        return stepSpec(key).gang ? step(key).gangCheckpoint : task(key).checkpoint;
    }
    bool contains(const TaskKey&) const;
    bool complete() const;
    bool complete(int occurrence) const;
    bool anyActive() const;
    bool dirty() const { return changes != storedChanges; }

    // True when all steps that this step depends on are complete.
    bool dependenciesComplete(int occurrence, int step) const;
};

Job makeJob(const JobSpec&, Revision progressRevision);

// What every progress record contains, also that of a job in a final state.
struct ProgressSummary {
    JobState state = JobState::Queued;
    QueueId queue; // may be empty in records written by earlier versions
    // The only account that may read or cancel the job. Absent if the job's queue needs no key, and in records written
    // by earlier versions.
    std::optional<AccountId> account;
};

enum class CheckpointUse { Included, LeftOut };

// Returns the progress record to store. For a job in a final state it contains the summary only. Without checkpoints,
// the next owner starts tasks that have not ended from the beginning if their runs end.
std::string progressRecord(const Job&, CheckpointUse = CheckpointUse::Included);

// Size that the job's progress record reaches if each task fails a few times and has a checkpoint of usual length. A
// record can exceed it, since nothing limits the checkpoints and the number of runs that are cut short.
std::size_t expectedProgressBytes(const JobSpec&);

// Returns the progress record to store with a submission.
std::string firstProgressRecord(const JobSpec&);

// Returns nullopt if the record cannot be parsed.
std::optional<ProgressSummary> parseProgressSummary(const std::string& record);

// Returns the summary in the progress record that was stored with this submission record.
std::optional<ProgressSummary> parseSubmissionSummary(const std::string& record);

// Returns the job's state from a progress record; nullopt if the record cannot be parsed.
std::optional<JobState> parseProgressState(const std::string& record);

// Loads a progress record into `job`, which makeJob() has just made from the same spec. Fails with InvalidArgument for
// a malformed record, which may then have been applied in part.
Status applyProgressRecord(const std::string& record, Job&);

} // namespace rosemarylink::jobs
