#pragma once

#include "rosemarylink/base/Error.h"
#include "rosemarylink/base/StrongId.h"
#include "rosemarylink/base/Units.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

// The job model. A job is a graph of steps and a step is a number of identical tasks. Each attempt to execute a task is
// a run, which is what is started, ended and recorded. Gang scheduling is one of several constraints of a step.
namespace rosemarylink::jobs {

using QueueId = StrongId<struct QueueIdTag>;

struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t megabytes = 0;
    std::int64_t accelerators = 0;

    bool fitsIn(const Resources& available) const
    {
        return milliCores <= available.milliCores && megabytes <= available.megabytes
            && accelerators <= available.accelerators;
    }
    Resources& operator+=(const Resources& other)
    {
        milliCores += other.milliCores;
        megabytes += other.megabytes;
        accelerators += other.accelerators;
        return *this;
    }
    Resources& operator-=(const Resources& other)
    {
        milliCores -= other.milliCores;
        megabytes -= other.megabytes;
        accelerators -= other.accelerators;
        return *this;
    }
};

// The most that a worker can have and that a task may demand. Sums over all workers or waiting tasks of a pool stay far
// below an overflow.
constexpr Resources maximumResources { 10000000, 1000000000, 10000 };

struct StepSpec {
    int taskCount = 1;
    Resources perTask; // required by each task
    Milliseconds estimate { 0 }; // estimated run time of a task on a healthy worker near its data
    std::vector<int> dependencies; // indices of earlier steps that must be complete before this one starts
    bool gang = false; // all tasks run at the same time or not at all, and end together
    bool rackLocal = false; // tasks run slower when they are spread over several racks
    bool checkpointing = false; // a stopped run returns a checkpoint from which the next run continues
    std::string workerLabel; // label that the worker must have; empty if any worker will do
    std::string dataRack; // rack of the data; tasks run slower on other racks; empty if there is none
    int maximumPerWorker = 0; // limit on the step's tasks on one worker; 0 means no limit
    bool longRunning = false; // tasks run until the job is cancelled and are restarted whenever they end
    bool preemptible = true; // tasks may be stopped in favor of more urgent work
};

// A queue's settings at the time a job was accepted. Stored with the job because the queue may be changed or removed
// later.
struct QueuePolicy {
    QueueId queue;
    ServiceId pool; // pool of workers that run the tasks
    int priority = 0; // 0 is the most urgent; only priority 0 preempts other work
    int maximumAttempts = 1; // the job fails when this many runs of a task, or of a gang, have failed
    // The objective for the job's completion time is stretch * (critical path of its steps) + objectiveSlack.
    double stretch = 1.0;
    Milliseconds objectiveSlack { 0 };
};

struct JobSpec {
    JobId id;
    QueuePolicy policy;
    AccountId account; // client account; may be empty for a queue that needs no key
    bool needsKey = false; // submitted to a queue that needs a key, so only its account may read or cancel the job
    std::string payload; // opaque; passed unchanged to each task
    std::vector<StepSpec> steps;
    int occurrences = 1; // how many times the whole graph of steps runs
    std::optional<Timestamp> firstDue; // due time of occurrence 0; absent if the job is due immediately
    Milliseconds interval { 0 }; // between the due times of consecutive occurrences
    Timestamp acceptedAt; // by the wall clock of the instance that accepted the job
};

// Checks that steps depend on earlier steps only and that all sizes are in range. Fails with InvalidArgument.
Status checkJobSpec(const JobSpec&);

nlohmann::json toJson(const JobSpec&);
Result<JobSpec> parseJobSpec(const nlohmann::json&);

// A valid id has 1 to 64 letters, digits, '-' and '_'. Other characters are excluded because ids are part of store keys
// and of task names.
bool isValidJobId(const JobId&);

enum class JobState { Queued, Active, Completed, Failed, Cancelled };

std::string_view jobStateName(JobState);
std::optional<JobState> parseJobState(std::string_view name);
inline bool isFinal(JobState state) { return state != JobState::Queued && state != JobState::Active; }

// Identifies one task of a job.
struct TaskKey {
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    friend bool operator==(const TaskKey& a, const TaskKey& b)
    {
        return a.index == b.index && a.step == b.step && a.occurrence == b.occurrence && a.job == b.job;
    }
    friend bool operator<(const TaskKey& a, const TaskKey& b)
    {
        return std::tie(a.job, a.occurrence, a.step, a.index) < std::tie(b.job, b.occurrence, b.step, b.index);
    }
};

// "job.occurrence.step.index"
std::string taskName(const TaskKey&);
std::optional<TaskKey> parseTaskName(const std::string&);

} // namespace rosemarylink::jobs
