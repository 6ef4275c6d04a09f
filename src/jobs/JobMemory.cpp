#include "JobMemory.h"

#include "rosemarylink/base/JsonReader.h"

namespace rosemarylink::jobs::internal {

namespace {

    // Memory of a job, step or task beyond what is counted by its size: nodes of maps and sets, headers of allocations,
    // and a waiting task's place in the input of a plan.
    constexpr std::size_t overheadOfJob = 2048;
    constexpr std::size_t overheadOfStep = 256;
    constexpr std::size_t bytesOfWaitingTask = 16;
    constexpr std::size_t overheadOfChangedTask = 96;

    std::size_t stepBytes(const StepSpec& step)
    {
        return sizeof(StepSpec) + overheadOfStep + step.workerLabel.capacity() + step.dataRack.capacity()
            + step.dependencies.capacity() * sizeof(int);
    }

    std::size_t progressBytes(const StepProgress& step)
    {
        std::size_t bytes = sizeof(StepProgress) + step.gangCheckpoint.capacity();
        if (step.tasks.edited().empty())
            return bytes + step.tasks.size() * bytesOfWaitingTask;
        for (const auto& task : step.tasks.edited()) {
            bytes += bytesOfWaitingTask;
            if (!task)
                continue;
            bytes += sizeof(TaskProgress) + overheadOfChangedTask + task->checkpoint.capacity();
            if (task->phase != TaskPhase::Waiting && task->phase != TaskPhase::Done)
                bytes += bytesOfRun;
        }
        return bytes;
    }

} // namespace

std::string closureRecord(const AdmissionClosure& closure)
{
    nlohmann::json accounts = nlohmann::json::array();
    for (const AccountId& account : closure.accounts)
        accounts.push_back(account.value());
    return nlohmann::json({ { "all", closure.all }, { "accounts", accounts } }).dump();
}

Result<AdmissionClosure> parseClosureRecord(const std::string& record)
{
    BOOST_OUTCOME_TRY(json, parseJson(record));
    try {
        AdmissionClosure closure;
        closure.all = json.at("all").get<bool>();
        for (const nlohmann::json& account : json.at("accounts"))
            closure.accounts.insert(AccountId(account.get<std::string>()));
        return closure;
    } catch (const nlohmann::json::exception& problem) {
        return invalidArgument(std::string("malformed record of the closed accounts: ") + problem.what());
    }
}

std::size_t jobBytes(const JobSpec& spec)
{
    // The steps' progress is held once for all occurrences that are not due, and once for the first.
    std::size_t bytes = sizeof(Job) + overheadOfJob + spec.payload.capacity()
        + static_cast<std::size_t>(spec.occurrences) * sizeof(void*);
    for (const StepSpec& step : spec.steps)
        bytes += stepBytes(step) + 2 * sizeof(StepProgress)
            + static_cast<std::size_t>(step.taskCount) * bytesOfWaitingTask;
    return bytes;
}

std::size_t jobBytes(const Job& job)
{
    std::size_t bytes = jobBytes(job.spec);
    for (const auto& steps : job.occurrences.edited()) {
        if (!steps)
            continue;
        for (const StepProgress& step : *steps)
            bytes += progressBytes(step);
    }
    return bytes;
}

void JobMemory::clear()
{
    total_ = 0;
    byAccount_.clear();
}

void JobMemory::add(const AccountId& account, std::size_t bytes)
{
    total_ += bytes;
    byAccount_[account] += bytes;
}

AdmissionClosure JobMemory::closure(const AdmissionClosure& present) const
{
    constexpr std::size_t eighths = 8;
    constexpr std::size_t reopenedBelow = 7; // eighths of what an account may hold

    const std::size_t limit = present.all ? limit_ / eighths * reopenedBelow : limit_;
    AdmissionClosure closure;
    closure.all = total_ >= limit;
    const std::size_t free = limit_ - std::min(limit_, total_);
    for (const auto& [account, bytes] : byAccount_) {
        const bool closed = present.accounts.count(account) > 0;
        if (bytes >= (closed ? free / eighths * reopenedBelow : free))
            closure.accounts.insert(account);
    }
    return closure;
}

} // namespace rosemarylink::jobs::internal
