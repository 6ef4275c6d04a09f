#include "rosemarylink/jobs/Job.h"

#include <Poco/Ascii.h>
#include <Poco/NumberParser.h>
#include <Poco/StringTokenizer.h>

#include <algorithm>
#include <array>

namespace rosemarylink::jobs {

namespace {

    constexpr std::array<std::pair<JobState, std::string_view>, 5> stateNames { {
        { JobState::Queued, "queued" },
        { JobState::Active, "active" },
        { JobState::Completed, "completed" },
        { JobState::Failed, "failed" },
        { JobState::Cancelled, "cancelled" },
    } };

    // Limits that keep a single job from exhausting the owner's memory. They are at least ten times the size of the
    // users' largest jobs (94 tasks in a step, 8 occurrences).
    constexpr std::size_t maximumSteps = 64;
    constexpr int maximumTasksOfStep = 2000;
    constexpr int maximumOccurrences = 1000;
    constexpr std::int64_t maximumTasks = 200000; // over all occurrences

    // Store keys, which contain the id, are limited to 200 bytes.
    constexpr std::size_t maximumJobIdLength = 64;

    // Sums of longer times could overflow; the longest steps take minutes.
    constexpr Milliseconds maximumTime { 366LL * 24 * 3600 * 1000 };

    nlohmann::json stepToJson(const StepSpec& step)
    {
        return { { "tasks", step.taskCount }, { "milliCores", step.perTask.milliCores },
            { "megabytes", step.perTask.megabytes }, { "accelerators", step.perTask.accelerators },
            { "estimate", step.estimate.count() }, { "after", step.dependencies }, { "gang", step.gang },
            { "rackLocal", step.rackLocal }, { "checkpointing", step.checkpointing },
            { "workerLabel", step.workerLabel }, { "dataRack", step.dataRack },
            { "maximumPerWorker", step.maximumPerWorker }, { "lasting", step.longRunning },
            { "preemptible", step.preemptible } };
    }

    StepSpec stepFromJson(const nlohmann::json& json)
    {
        StepSpec step;
        step.taskCount = json.at("tasks").get<int>();
        step.perTask = { json.at("milliCores").get<std::int64_t>(), json.at("megabytes").get<std::int64_t>(),
            json.at("accelerators").get<std::int64_t>() };
        step.estimate = Milliseconds(json.at("estimate").get<std::int64_t>());
        step.dependencies = json.at("after").get<std::vector<int>>();
        step.gang = json.at("gang").get<bool>();
        step.rackLocal = json.at("rackLocal").get<bool>();
        step.checkpointing = json.at("checkpointing").get<bool>();
        step.workerLabel = json.at("workerLabel").get<std::string>();
        step.dataRack = json.at("dataRack").get<std::string>();
        step.maximumPerWorker = json.at("maximumPerWorker").get<int>();
        // Absent from records written by earlier versions.
        step.longRunning = json.value("lasting", step.longRunning);
        step.preemptible = json.value("preemptible", step.preemptible);
        return step;
    }

} // namespace

bool isValidJobId(const JobId& id)
{
    const std::string& text = id.value();
    return !text.empty() && text.size() <= maximumJobIdLength
        && std::all_of(text.begin(), text.end(), [](char character) {
               return Poco::Ascii::isAlphaNumeric(character) || character == '-' || character == '_';
           });
}

Status checkJobSpec(const JobSpec& job)
{
    if (job.steps.empty() || job.steps.size() > maximumSteps)
        return invalidArgument("a job must have 1 to " + std::to_string(maximumSteps) + " steps");
    if (job.occurrences < 1 || job.occurrences > maximumOccurrences)
        return invalidArgument("a job must have 1 to " + std::to_string(maximumOccurrences) + " occurrences");
    if (job.interval < Milliseconds(0) || job.interval > maximumTime)
        return invalidArgument("the interval must be between 0 and 366 days");
    std::int64_t tasks = 0;
    for (std::size_t number = 0; number < job.steps.size(); ++number) {
        const StepSpec& step = job.steps[number];
        const std::string where = "step " + std::to_string(number) + ": ";
        if (step.taskCount < 1 || step.taskCount > maximumTasksOfStep)
            return invalidArgument(where + "the number of tasks must be 1 to " + std::to_string(maximumTasksOfStep));
        if (step.perTask.milliCores < 0 || step.perTask.megabytes < 0 || step.perTask.accelerators < 0
            || step.maximumPerWorker < 0 || step.estimate < Milliseconds(0))
            return invalidArgument(where + "resources, estimate and maximum per worker must not be negative");
        if (!step.perTask.fitsIn(maximumResources))
            return invalidArgument(where + "a task demands more than a worker can have");
        if (step.estimate > maximumTime)
            return invalidArgument(where + "the estimate must not exceed 366 days");
        tasks += std::int64_t(step.taskCount) * job.occurrences;
        for (int dependency : step.dependencies) {
            if (dependency < 0 || dependency >= static_cast<int>(number))
                return invalidArgument(where + "a step can depend on earlier steps only");
        }
    }
    if (tasks > maximumTasks)
        return invalidArgument(
            "a job must have at most " + std::to_string(maximumTasks) + " tasks over all occurrences");
    return okStatus();
}

nlohmann::json toJson(const JobSpec& job)
{
    nlohmann::json steps = nlohmann::json::array();
    for (const StepSpec& step : job.steps)
        steps.push_back(stepToJson(step));
    const nlohmann::json terms = { { "queue", job.policy.queue.value() }, { "pool", job.policy.pool.value() },
        { "priority", job.policy.priority }, { "maximumAttempts", job.policy.maximumAttempts },
        { "stretch", job.policy.stretch }, { "objectiveSlack", job.policy.objectiveSlack.count() } };
    nlohmann::json json = { { "id", job.id.value() }, { "terms", terms }, { "account", job.account.value() },
        { "needsKey", job.needsKey }, { "payload", job.payload }, { "steps", steps },
        { "occurrences", job.occurrences }, { "interval", job.interval.count() },
        { "acceptedAt", toMilliseconds(job.acceptedAt) } };
    if (job.firstDue)
        json["firstDue"] = toMilliseconds(*job.firstDue);
    return json;
}

Result<JobSpec> parseJobSpec(const nlohmann::json& json)
{
    JobSpec job;
    try {
        job.id = JobId(json.at("id").get<std::string>());
        const nlohmann::json& terms = json.at("terms");
        job.policy.queue = QueueId(terms.at("queue").get<std::string>());
        job.policy.pool = ServiceId(terms.at("pool").get<std::string>());
        job.policy.priority = terms.at("priority").get<int>();
        job.policy.maximumAttempts = terms.at("maximumAttempts").get<int>();
        job.policy.stretch = terms.at("stretch").get<double>();
        job.policy.objectiveSlack = Milliseconds(terms.at("objectiveSlack").get<std::int64_t>());
        job.account = AccountId(json.at("account").get<std::string>());
        job.needsKey = json.value("needsKey", !job.account.empty()); // absent from records written by earlier versions
        job.payload = json.at("payload").get<std::string>();
        for (const nlohmann::json& step : json.at("steps"))
            job.steps.push_back(stepFromJson(step));
        job.occurrences = json.at("occurrences").get<int>();
        job.interval = Milliseconds(json.at("interval").get<std::int64_t>());
        job.acceptedAt = timestampFromMilliseconds(json.at("acceptedAt").get<std::int64_t>());
        if (json.contains("firstDue"))
            job.firstDue = timestampFromMilliseconds(json.at("firstDue").get<std::int64_t>());
    } catch (const nlohmann::json::exception& problem) {
        return invalidArgument(std::string("malformed job record: ") + problem.what());
    }
    if (auto checked = checkJobSpec(job); !checked)
        return checked.error();
    return job;
}

std::string_view jobStateName(JobState state)
{
    for (const auto& [value, name] : stateNames) {
        if (value == state)
            return name;
    }
    return "queued";
}

std::optional<JobState> parseJobState(std::string_view text)
{
    for (const auto& [value, name] : stateNames) {
        if (name == text)
            return value;
    }
    return std::nullopt;
}

std::string taskName(const TaskKey& task)
{
    return task.job.value() + "." + std::to_string(task.occurrence) + "." + std::to_string(task.step) + "."
        + std::to_string(task.index);
}

std::optional<TaskKey> parseTaskName(const std::string& name)
{
    const Poco::StringTokenizer parts(name, ".");
    TaskKey task;
    if (parts.count() != 4 || !Poco::NumberParser::tryParse(parts[1], task.occurrence)
        || !Poco::NumberParser::tryParse(parts[2], task.step) || !Poco::NumberParser::tryParse(parts[3], task.index))
        return std::nullopt;
    task.job = JobId(parts[0]);
    return task;
}

} // namespace rosemarylink::jobs
