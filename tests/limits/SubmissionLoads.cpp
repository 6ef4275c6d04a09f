#include "Crowds.h"

#include <nlohmann/json.hpp>

namespace rosemarylink::limits {

namespace {

    using Json = nlohmann::json;

    constexpr std::size_t connections = 30;

    // The longest text that a job may carry.
    constexpr std::size_t longestPayload = 4000;

    // What none of the platform's workers can run while others run, so that nearly all tasks wait.
    Json waitingStep(int tasks)
    {
        return { { "Count", tasks }, { "Cpu", 9000 }, { "RequestedMb", 1 }, { "EstimateMs", 60000 } };
    }

    std::string job(std::size_t steps, const Json& step, std::size_t payloadBytes)
    {
        return Json({ { "Spec", std::string(payloadBytes, 's') }, { "Steps", Json(steps, step) } }).dump();
    }

    SubmissionLoad manyTasks() { return { connections, 200, job(8, waitingStep(2000), 10) }; }

    SubmissionLoad manySteps() { return { connections, 1000, job(64, waitingStep(1), longestPayload) }; }

    SubmissionLoad smallJobs() { return { connections, 8000, job(1, waitingStep(1), longestPayload) }; }

    SubmissionLoad longPayloads() { return { connections, 500, job(1, waitingStep(1), 261000) }; }

    // Each occurrence has a record for each of its steps.
    SubmissionLoad manyOccurrences()
    {
        Json body = Json::parse(job(9, waitingStep(1), 10));
        body["Repetitions"] = 1000;
        body["StartAtMs"] = 4000000000000;
        body["IntervalMs"] = 1000;
        return { connections, 60, body.dump() };
    }

    // Tasks that demand nothing, so that any number of them fits on a worker.
    SubmissionLoad weightlessTasks()
    {
        return { connections, 60, job(8, { { "Count", 2000 }, { "EstimateMs", 60000 } }, 10) };
    }

} // namespace

const std::map<std::string, SubmissionLoad (*)()>& submissionLoads()
{
    static const std::map<std::string, SubmissionLoad (*)()> all { { "many-tasks", manyTasks },
        { "many-steps", manySteps }, { "small-jobs", smallJobs }, { "long-payloads", longPayloads },
        { "many-occurrences", manyOccurrences }, { "weightless-tasks", weightlessTasks } };
    return all;
}

} // namespace rosemarylink::limits
