#pragma once

#include "rosemarylink/jobs/ConfigView.h"
#include "rosemarylink/jobs/JobMetrics.h"

#include <functional>
#include <memory>
#include <string>

namespace rosemarylink::jobs {

// A call of a caller about jobs, before the queue and the account are known.
struct CallerRequest {
    std::string host;
    std::string path; // of the queue and the job
    std::string key; // empty when none was sent
    Milliseconds deadline { 0 }; // how long the caller waits, from the request's arrival
};

enum class AdmissionOutcome {
    Accepted, // of a submission or cancellation: stored
    NotRun, // refused for now; it has not run and never will
    MayHaveRun, // no answer from the store in time
    Invalid, // the request is wrong; nothing was done
    NoQueue,
    NoKey, // an unknown key, or none where one is needed
    NoJob,
};

struct AdmissionAnswer {
    AdmissionOutcome outcome = AdmissionOutcome::NotRun;
    std::string reason; // for people; empty when accepted
    Milliseconds retryAfter { 0 }; // with NotRun
    JobState state = JobState::Queued; // of a state query
    std::optional<std::size_t> pending = std::nullopt; // of a query about a queue: jobs of which nothing has started
};

using AdmissionHandler = std::function<void(const AdmissionAnswer&)>;

// Fills steps, payload and times of a job from what the caller sent.
using SpecParser = std::function<Result<JobSpec>()>;

// Decides what is accepted from callers, under a configuration that the store has confirmed. Any instance serves any
// job: all it knows is in the store.
class Admission {
public:
    Admission(RecordStore&, ConfigView&, const Catalog&, Timers&, const Clock&, JobMetrics&);

    // A repeat of an accepted job's id is the same job, and accepted again without effect.
    void submit(const CallerRequest&, const SpecParser&, const AdmissionHandler&);

    // The state of a job or, when the path names none, how many of the queue's jobs wait.
    void query(const CallerRequest&, const AdmissionHandler&);
    void cancel(const CallerRequest&, const AdmissionHandler&);

    // Calls that have not been answered.
    std::size_t inProgress() const { return inProgress_; }

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    CallPointer begin(const CallerRequest&, const AdmissionHandler&);
    void authorize(const CallPointer&, const std::function<void(const Queue&, const AccountId&)>& proceed);
    void decideSubmission(const CallPointer&);
    void commitSubmission(const CallPointer&);
    void settleConflict(const CallPointer&, const StoreAnswer&, Milliseconds askedAt);
    // Tries again within the call's time; a refusal is final when mayHaveWritten was false in every try.
    void retryLater(const CallPointer&, bool mayHaveWritten, const std::function<void()>& again);
    void readState(const CallPointer&);
    void countWaiting(const CallPointer&, const QueueId&);
    void readForCancel(const CallPointer&);
    void commitCancel(const CallPointer&, Revision jobRevision);
    void finish(const CallPointer&, const AdmissionAnswer&);

    RecordStore& store_;
    ConfigView& config_;
    const Catalog& catalog_;
    Timers& timers_;
    const Clock& clock_;
    JobMetrics& metrics_;
    std::size_t inProgress_ = 0;
};

} // namespace rosemarylink::jobs
