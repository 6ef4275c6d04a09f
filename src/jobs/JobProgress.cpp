#include "rosemarylink/jobs/JobProgress.h"

#include "rosemarylink/base/JsonReader.h"

#include <algorithm>
#include <memory>

namespace rosemarylink::jobs {

namespace {

    // Sizes of the parts of a progress record: a task whose last run has a number of three digits and that has failed
    // twice, a step without its tasks, and a checkpoint.
    constexpr std::size_t expectedTaskBytes = 40;
    constexpr std::size_t expectedStepBytes = 64;
    constexpr std::size_t expectedCheckpointBytes = 32;

    nlohmann::json summaryToJson(const JobSpec& spec, JobState state)
    {
        nlohmann::json json = { { "state", jobStateName(state) }, { "queue", spec.policy.queue.value() } };
        if (spec.needsKey)
            json["account"] = spec.account.value();
        return json;
    }

    bool isActive(const TaskProgress& task)
    {
        return task.phase == TaskPhase::Starting || task.phase == TaskPhase::Running
            || task.phase == TaskPhase::Stopping;
    }

    // Encodes each task that has started or is done as a row [index, done, run, failed runs, checkpoint], followed by
    // its crashed and unresolved runs and the unconfirmed crashes if there are crashed ones.
    nlohmann::json stepToJson(const StepProgress& step, CheckpointUse checkpoints)
    {
        const bool included = checkpoints == CheckpointUse::Included;
        nlohmann::json rows = nlohmann::json::array();
        for (std::size_t index = 0; index < step.tasks.size(); ++index) {
            const TaskProgress& task = step.tasks[index];
            if (task.run == 0 && task.phase != TaskPhase::Done)
                continue;
            rows.push_back({ index, task.phase == TaskPhase::Done, task.run, task.failedRuns,
                included ? task.checkpoint : std::string() });
            if (!task.crashedRuns.empty()) {
                rows.back().push_back(task.crashedRuns);
                rows.back().push_back(task.unresolvedRuns);
                rows.back().push_back(task.unconfirmedCrashes);
            }
        }
        return { { "failedRuns", step.gangFailedRuns },
            { "checkpoint", included ? step.gangCheckpoint : std::string() }, { "tasks", rows } };
    }

    void applyStep(const nlohmann::json& json, StepProgress& step)
    {
        step.gangFailedRuns = json.at("failedRuns").get<std::set<int>>();
        step.gangCheckpoint = json.at("checkpoint").get<std::string>();
        for (const nlohmann::json& row : json.at("tasks")) {
            TaskProgress& task = step.tasks.edit(row.at(0).get<std::size_t>());
            if (row.at(1).get<bool>()) {
                task.phase = TaskPhase::Done;
                ++step.done;
            }
            task.run = row.at(2).get<int>();
            task.failedRuns = row.at(3).get<std::set<int>>();
            task.checkpoint = row.at(4).get<std::string>();
            // Earlier versions write shorter rows and ignore further elements.
            if (row.size() > 6) {
                task.crashedRuns = row.at(5).get<std::set<int>>();
                task.unresolvedRuns = row.at(6).get<std::set<int>>();
            }
            if (row.size() > 7)
                task.unconfirmedCrashes = row.at(7).get<std::set<int>>();
        }
    }

} // namespace

bool StepProgress::anyActive() const
{
    return std::any_of(tasks.edited().begin(), tasks.edited().end(),
        [](const std::unique_ptr<TaskProgress>& task) { return task && isActive(*task); });
}

bool Job::contains(const TaskKey& key) const
{
    return key.occurrence >= 0 && key.occurrence < static_cast<int>(occurrences.size()) && key.step >= 0
        && key.step < static_cast<int>(spec.steps.size()) && key.index >= 0
        && key.index < spec.steps[key.step].taskCount;
}

bool Job::complete() const
{
    for (int occurrence = 0; occurrence < spec.occurrences; ++occurrence) {
        if (!complete(occurrence))
            return false;
    }
    return true;
}

bool Job::complete(int occurrence) const
{
    const std::vector<StepProgress>& steps = occurrences[static_cast<std::size_t>(occurrence)];
    return std::all_of(steps.begin(), steps.end(), [](const StepProgress& step) { return step.complete(); });
}

bool Job::anyActive() const
{
    for (const auto& steps : occurrences.edited()) {
        if (steps && std::any_of(steps->begin(), steps->end(), [](const auto& step) { return step.anyActive(); }))
            return true;
    }
    return false;
}

bool Job::dependenciesComplete(int occurrence, int step) const
{
    for (int dependency : spec.steps[step].dependencies) {
        if (!occurrences[occurrence][dependency].complete())
            return false;
    }
    return true;
}

Job makeJob(const JobSpec& spec, Revision progressRevision)
{
    Job job;
    job.spec = spec;
    job.progressRevision = progressRevision;
    static const auto waitingTask = std::make_shared<const TaskProgress>();
    const auto steps = std::make_shared<std::vector<StepProgress>>(spec.steps.size());
    for (std::size_t number = 0; number < steps->size(); ++number)
        (*steps)[number].tasks = TaskTable(static_cast<std::size_t>(spec.steps[number].taskCount), waitingTask);
    job.occurrences = { static_cast<std::size_t>(spec.occurrences), steps };
    return job;
}

std::string progressRecord(const Job& job, CheckpointUse checkpoints)
{
    nlohmann::json json = summaryToJson(job.spec, job.state);
    if (isFinal(job.state))
        return json.dump();
    json["occurrences"] = nlohmann::json::array();
    for (const auto& steps : job.occurrences) {
        nlohmann::json rows = nlohmann::json::array();
        for (const StepProgress& step : steps)
            rows.push_back(stepToJson(step, checkpoints));
        json["occurrences"].push_back(rows);
    }
    return json.dump();
}

std::size_t expectedProgressBytes(const JobSpec& spec)
{
    std::size_t bytes = 0;
    for (const StepSpec& step : spec.steps) {
        const std::size_t checkpointBytes = step.checkpointing ? expectedCheckpointBytes : 0;
        const std::size_t taskBytes = expectedTaskBytes + (step.gang ? 0 : checkpointBytes);
        bytes += expectedStepBytes + checkpointBytes + taskBytes * static_cast<std::size_t>(step.taskCount);
    }
    return firstProgressRecord(spec).size() + bytes * static_cast<std::size_t>(spec.occurrences);
}

std::string firstProgressRecord(const JobSpec& spec) { return summaryToJson(spec, JobState::Queued).dump(); }

std::optional<ProgressSummary> parseProgressSummary(const std::string& record)
{
    const auto parsed = parseJson(record);
    if (!parsed || !parsed.value().is_object())
        return std::nullopt;
    try {
        const nlohmann::json& json = parsed.value();
        const auto state = parseJobState(json.at("state").get<std::string>());
        if (!state)
            return std::nullopt;
        ProgressSummary summary { *state, QueueId(json.value("queue", std::string())), std::nullopt };
        if (json.contains("account"))
            summary.account = AccountId(json["account"].get<std::string>());
        return summary;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::optional<ProgressSummary> parseSubmissionSummary(const std::string& record)
{
    const auto json = parseJson(record);
    const auto spec = json ? parseJobSpec(json.value()) : json.error();
    return spec ? parseProgressSummary(firstProgressRecord(spec.value())) : std::nullopt;
}

std::optional<JobState> parseProgressState(const std::string& record)
{
    const auto summary = parseProgressSummary(record);
    return summary ? std::optional(summary->state) : std::nullopt;
}

Status applyProgressRecord(const std::string& record, Job& job)
{
    const auto state = parseProgressState(record);
    if (!state)
        return invalidArgument("the progress record of job " + job.spec.id.value() + " has no valid state");
    job.state = *state;
    job.hasWaitingRecord = *state == JobState::Queued;
    BOOST_OUTCOME_TRY(json, parseJson(record));
    if (!json.contains("occurrences"))
        return okStatus();
    try {
        const nlohmann::json& occurrences = json["occurrences"];
        for (std::size_t occurrence = 0; occurrence < occurrences.size(); ++occurrence) {
            for (std::size_t step = 0; step < occurrences[occurrence].size(); ++step)
                applyStep(occurrences[occurrence][step], job.occurrences.edit(occurrence).at(step));
        }
    } catch (const std::exception& problem) {
        return invalidArgument("malformed progress record of job " + job.spec.id.value() + ": " + problem.what());
    }
    return okStatus();
}

} // namespace rosemarylink::jobs
