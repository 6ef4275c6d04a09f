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

// Jobs as graphs of steps. A step is a number of equal tasks; the unit that is started, ended and recorded is the run
// of one task, and a gang is one constraint among several.
namespace rosemarylink::jobs {

using QueueId = StrongId<struct QueueIdTag>;

struct Resources {
    std::int64_t milliCores = 0;
    std::int64_t megabytes = 0;
    std::int64_t accelerators = 0;

    bool fitsIn(const Resources& room) const
    {
        return milliCores <= room.milliCores && megabytes <= room.megabytes && accelerators <= room.accelerators;
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

struct StepSpec {
    int taskCount = 1;
    Resources each; // of one task
    Milliseconds estimate { 0 }; // of one task on a sound worker near its data; rough
    std::vector<int> after; // earlier steps that must be done first
    bool gang = false; // the tasks run all at once or not at all, and end together
    bool rackLocal = false; // slower when its tasks run on more than one rack
    bool checkpointing = false;
    std::string workerLabel; // the worker must have it, unless empty
    std::string dataRack; // slower on any other rack, unless empty
    int maximumPerWorker = 0; // tasks of the step on one worker; 0 means no limit
    bool lasting = false; // its tasks run until the job is cancelled, and are started again however they end
    bool preemptible = true; // its tasks may be stopped for more urgent work
};

// What the queue promised when the job was accepted. Kept with the job, since the queue may change or go.
struct QueueTerms {
    QueueId queue;
    ServiceId pool; // the workers that run the tasks
    int priority = 0; // 0 is the most urgent and may preempt others
    int maximumAttempts = 1; // runs of a task, or of a gang, that may fail
    double stretch = 1.0; // the objective is this many times the job's longest chain ...
    Milliseconds objectiveSlack { 0 }; // ... and this much more
};

struct JobSpec {
    JobId id;
    QueueTerms terms;
    AccountId account; // empty for a queue that needs no key
    std::string payload; // handed to each task as it is
    std::vector<StepSpec> steps;
    int occurrences = 1; // times that all steps run
    std::optional<Timestamp> firstDue; // of occurrence 0; none for a job that is due at once
    Milliseconds interval { 0 }; // between the due times of two occurrences
    Timestamp acceptedAt; // on the accepting node's wall clock
};

// Checks that steps refer to earlier ones only and that counts are in range. The error says what is wrong.
Status checkJobSpec(const JobSpec&);

nlohmann::json toJson(const JobSpec&);
Result<JobSpec> parseJobSpec(const nlohmann::json&);

// Ids are 1 to 64 letters, digits, '-' and '_', so that they can be part of keys and of task names.
bool isValidJobId(const JobId&);

enum class JobState { Queued, Active, Completed, Failed, Cancelled };

std::string_view jobStateName(JobState);
std::optional<JobState> parseJobState(std::string_view name);
inline bool isFinal(JobState state) { return state != JobState::Queued && state != JobState::Active; }

// Names one task of a job.
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
