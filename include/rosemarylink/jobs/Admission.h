#pragma once

#include "rosemarylink/jobs/ConfigView.h"
#include "rosemarylink/jobs/JobMetrics.h"
#include "rosemarylink/jobs/JobProgress.h"
#include "rosemarylink/jobs/WaitingCounts.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

namespace internal {
    class AdmissionGate;
}

// A caller's request about a job or queue, before the queue and the client account are resolved.
struct CallerRequest {
    std::string host;
    std::string path; // the queue's path prefix, followed by the job id; no job id in a query about the queue
    std::string key; // API key; empty when none was sent
    Milliseconds deadline { 0 }; // how long the caller waits, measured from the request's arrival
};

enum class AdmissionOutcome {
    Accepted, // a submission or cancellation is stored; a query succeeded
    NotRun, // temporarily refused; the request has had no effect and never will
    MayHaveRun, // the store did not respond in time; the request may still take effect
    // The request is malformed or not supported, or a submission has the id of another account's job; it has had no
    // effect.
    Invalid,
    NoQueue, // no queue matches the host and path
    NoKey, // the key is unknown, or missing where the queue requires one
    // No such job, a job of another account, or a cancellation of a job that has ended. After a cancellation nothing of
    // the caller's own job with this id starts, even if its submission arrives up to Admission::withdrawalLife later.
    NoJob,
};

struct AdmissionResponse {
    AdmissionOutcome outcome = AdmissionOutcome::NotRun;
    std::string reason; // human-readable; empty when accepted
    Milliseconds retryAfter { 0 }; // set with NotRun only
    JobState state = JobState::Queued; // set by a query about a job
    std::optional<std::size_t> pending = std::nullopt; // set by a query about a queue: jobs with no started task
};

using AdmissionHandler = std::function<void(const AdmissionResponse&)>;

// Parses the caller's request body into the steps, payload and schedule of a job.
using SpecParser = std::function<Result<JobSpec>()>;

// Handles callers' submissions, queries and cancellations, deciding each by a configuration that the store has
// confirmed. All state is in the store, so any instance can serve any job. A job that was submitted to a queue that
// needs a key can be read and cancelled with a key of its account only, or through its own queue if that has come to
// need none. The number of a queue's waiting jobs is that of all accounts. Must be used on the event loop's thread.
// Each handler is called exactly once, possibly before the call returns.
//
// A new job is refused while the jobs of its account hold too much memory of the owner, and when an instance accepts
// more bytes of jobs a second than an owner could refuse in time; see AdmissionGate.h.
//
// A request that certainly has not run is refused after at most half of the caller's time. One whose write got no
// response is resolved until 150 ms before the caller's deadline.
class Admission {
public:
    // A job whose cancellation found nothing is not accepted for this long, up to twice as long. It exceeds the time
    // for which a submission can be on its way: in the connection of a suspended instance, or in a write that the store
    // executes late.
    static constexpr Milliseconds withdrawalLife { 300000 };

    Admission(RecordStore&, ConfigView&, const Catalog&, Timers&, const Clock&, JobMetrics&);
    ~Admission();

    // Submissions are idempotent: repeating the id of an accepted job is accepted again and has no effect.
    void submit(const CallerRequest&, const SpecParser&, const AdmissionHandler&);

    // Returns the state of a job or, when the path names no job, the number of the queue's jobs with no started task.
    void query(const CallerRequest&, const AdmissionHandler&);
    void cancel(const CallerRequest&, const AdmissionHandler&);

    // Number of requests whose handler has not been called yet.
    std::size_t inProgress() const { return inProgress_; }

private:
    struct Call;
    using CallPointer = std::shared_ptr<Call>;

    CallPointer begin(const CallerRequest&, const AdmissionHandler&);
    void authorize(const CallPointer&, const std::function<void(const Queue&)>& proceed);
    static bool mayAccess(const Call&, const std::optional<AccountId>&, const QueueId&);
    static void logForeignJob(const Call&, const AccountId&);
    std::optional<ProgressSummary> readSummary(const CallPointer&, const Record& progress);
    static std::string submissionWithdrawal(const Call&);
    void evaluateSubmission(const CallPointer&);
    void resolveAttempt(const CallPointer&);
    void commitUnlessStored(const CallPointer&);
    void commitUnlessReplaced(const CallPointer&, Revision decidedUnder);
    void acceptAgain(const CallPointer&, Revision, const std::optional<ProgressSummary>&);
    void refuseWithdrawn(const CallPointer&);
    bool mustRefuse(const Call&);
    void refuseForRoom(const CallPointer&);
    void commitSubmission(const CallPointer&);
    void resolveConflict(const CallPointer&, const StoreResponse&, Milliseconds requestedAt);
    // Schedules `retry` if the call's time allows, otherwise calls fail(). `mayHaveWritten` tells whether the last
    // attempt may have taken effect.
    void retryLater(const CallPointer&, bool mayHaveWritten, const std::function<void()>& retry);
    // Finishes the call with MayHaveRun if a write of it may have taken effect, otherwise with NotRun.
    void fail(const CallPointer&);
    void handleRefusalLimit(const CallPointer&);
    void retryNow(const CallPointer&);
    void retryWaiting();
    bool isUrgent(const Call&) const;
    static Milliseconds resolutionLimit(const Call&); // for requests that may have run
    static Milliseconds refusalLimit(const Call&); // for all others
    void readState(const CallPointer&);
    void countWaiting(const CallPointer&, const QueueId&);
    void readForCancel(const CallPointer&);
    void commitCancel(const CallPointer&, Revision jobRevision);
    void resolveAbsentJob(const CallPointer&);
    void withdraw(const CallPointer&);
    void commitWithdrawal(const CallPointer&, StoreLeaseId);
    void finish(const CallPointer&, const AdmissionResponse&);

    RecordStore& store_;
    ConfigView& config_;
    const Catalog& catalog_;
    Timers& timers_;
    const Clock& clock_;
    JobMetrics& metrics_;
    std::size_t inProgress_ = 0;

    // The store lease of the latest withdrawals, which share it so that each costs one write.
    struct WithdrawalLease {
        StoreLeaseId id = 0; // 0 if there is none
        Milliseconds requestedAt { 0 };
        std::vector<CallPointer> callers; // that wait for the lease that is being granted
    };

    std::unique_ptr<internal::AdmissionGate> gate_;
    std::vector<CallPointer> waiting_; // calls that wait for their next attempt
    WaitingCounts waitingCounts_;
    WithdrawalLease withdrawalLease_;
};

} // namespace rosemarylink::jobs
