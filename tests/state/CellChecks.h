#pragma once

#include "CellHarness.h"

#include <map>
#include <set>
#include <sstream>
#include <string>

namespace rosemarylink::state::fakes {

// Checks the invariants of a cell after each step of a harness and collects the violations.
class CellChecks {
public:
    explicit CellChecks(CellHarness& harness)
        : harness_(harness)
    {
    }

    // The longest time that a gang may run with only some of its members, while it is started or stopped: until the
    // leases of unreachable members expire.
    Milliseconds partialLimit { 45000 };

    void accept(const model::JobSpec& spec) { accepted_[spec.id] = spec; }
    const std::map<JobId, model::JobSpec>& accepted() const { return accepted_; }

    void observe()
    {
        for (const auto& [job, spec] : accepted_)
            observeJob(job, spec);
        observeRecord();
    }

    // Whether the record of every accepted job has a terminal state.
    bool allEnded()
    {
        for (const auto& [job, spec] : accepted_) {
            const auto record = harness_.jobRecord(job.value());
            if (!record || record->state == records::JobState::Accepted)
                return false;
        }
        return true;
    }

    std::string violations() const { return violations_.str(); }

private:
    void observeJob(const JobId& job, const model::JobSpec& spec)
    {
        std::set<std::int64_t> attempts;
        std::int64_t running = 0;
        for (const auto& [id, worker] : harness_.fleet.workers()) {
            for (const auto& [key, task] : worker.tasks) {
                if (key.first != job || task.state != TaskState::Running)
                    continue;
                running += task.tasks;
                attempts.insert(key.second);
            }
        }
        if (attempts.size() > 1)
            report(job, "runs in two attempts at once");
        const Milliseconds now = harness_.clock.monotonic();
        if (running == 0 || running == spec.tasks)
            partialSince_.erase(job);
        else if (now - partialSince_.emplace(job, now).first->second > partialLimit)
            report(job, "runs with only some of its members for too long");
        const bool once = !spec.idempotent && !spec.checkpointable;
        if (once && harness_.fleet.startedAttempts(job).size() > 1)
            report(job, "is not idempotent and was started twice");
        if (!harness_.jobRecord(job.value()))
            report(job, "was accepted and has no record");
    }

    void observeRecord()
    {
        const auto record = harness_.placements();
        if (record.token < token_)
            violations_ << "the fencing token fell to " << record.token << "; ";
        if (record.configVersion < configVersion_)
            violations_ << "the configuration reverted to " << record.configVersion << "; ";
        token_ = std::max(token_, record.token);
        configVersion_ = std::max(configVersion_, record.configVersion);
        for (auto& [id, worker] : harness_.fleet.workers()) {
            if (worker.highestToken < workerTokens_[id])
                violations_ << "worker " << id << " accepted a lower token; ";
            workerTokens_[id] = worker.highestToken;
        }
    }

    void report(const JobId& job, const std::string& what)
    {
        if (reported_.insert(job.value() + what).second)
            violations_ << "job " << job << " " << what << " at " << harness_.clock.monotonic().count() << "; ";
    }

    CellHarness& harness_;
    std::map<JobId, model::JobSpec> accepted_;
    std::map<JobId, Milliseconds> partialSince_;
    std::map<WorkerId, FencingToken> workerTokens_;
    std::set<std::string> reported_;
    FencingToken token_;
    ConfigVersion configVersion_;
    std::ostringstream violations_;
};

} // namespace rosemarylink::state::fakes
