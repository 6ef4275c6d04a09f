#include "AdmissionCall.h"
#include "AdmissionGate.h"
#include "RetryHint.h"
#include "rosemarylink/base/Log.h"
#include "rosemarylink/jobs/JobProgress.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs {

namespace {

    // A request that certainly has not run is retried for this long and then refused with a retry hint. Short refusals
    // of the store (rate limit, leader change) are over sooner; a real outage lasts seconds.
    constexpr Milliseconds refusalTimeout { 700 };

    // A request that certainly has not run ends after at most this fraction (1/N) of the caller's time, so that the
    // caller can use the rest of it at another instance, which may reach the store.
    constexpr int refusalDivisor = 2;

    // Reserved out of the caller's deadline for delivering the response.
    constexpr Milliseconds responseMargin { 150 };

    const Logger logger("admission");

    // Of a write that got no response at first.
    const char* resultOfWrite(AdmissionOutcome outcome)
    {
        switch (outcome) {
        case AdmissionOutcome::Accepted:
            return "stored";
        case AdmissionOutcome::MayHaveRun:
            return "unknown";
        default:
            return "not-stored";
        }
    }

} // namespace

Admission::Admission(RecordStore& store, ConfigView& config, const Catalog& catalog, Timers& timers, const Clock& clock,
    JobMetrics& metrics)
    : store_(store)
    , config_(config)
    , catalog_(catalog)
    , timers_(timers)
    , clock_(clock)
    , metrics_(metrics)
    , gate_(std::make_unique<internal::AdmissionGate>())
    , waitingCounts_(store, clock, metrics)
{
    config_.onReachable([this] { retryWaiting(); });
}

Admission::~Admission() = default;

Admission::CallPointer Admission::begin(const CallerRequest& request, const AdmissionHandler& handler)
{
    ++inProgress_;
    auto call = std::make_shared<Call>();
    call->request = request;
    call->handler = handler;
    call->startedAt = clock_.monotonic();
    call->limitTimer = timers_.after(refusalLimit(*call), [this, call] { handleRefusalLimit(call); });
    return call;
}

// Ends a call that certainly has not run. Any other is resolved for longer.
void Admission::handleRefusalLimit(const CallPointer& call)
{
    if (call->finished)
        return;
    if (!call->mayHaveRun && !call->writeInFlight) {
        fail(call);
        return;
    }
    const Milliseconds waited = clock_.monotonic() - call->startedAt;
    call->limitTimer = timers_.after(std::max(Milliseconds(0), resolutionLimit(*call) - waited), [this, call] {
        call->mayHaveRun = call->mayHaveRun || call->writeInFlight;
        fail(call);
    });
}

// A call that has reached its time limit is finished already when the store responds late.
void Admission::finish(const CallPointer& call, const AdmissionResponse& response)
{
    if (call->finished)
        return;
    call->finished = true;
    timers_.cancel(call->limitTimer);
    if (call->retry) {
        timers_.cancel(call->retryTimer);
        call->retry = nullptr;
        waiting_.erase(std::find(waiting_.begin(), waiting_.end(), call));
    }
    --inProgress_;
    metrics_.countResponse(response.outcome);
    if (!call->unresolvedJob.empty())
        metrics_.countUnresolvedWrite(resultOfWrite(response.outcome));
    call->handler(response);
}

void Admission::authorize(const CallPointer& call, const std::function<void(const Queue&)>& proceed)
{
    // Another instance may reach the store, so the caller is not kept while this one does not.
    if (!call->mayHaveRun && config_.storeOutOfReach()) {
        fail(call);
        return;
    }
    config_.whenConfirmed([this, call, proceed](const Configuration* configuration) {
        if (!configuration) {
            retryLater(call, /*mayHaveWritten=*/false, [this, call, proceed] { authorize(call, proceed); });
            return;
        }
        if (call->mayHaveRun && config_.revision() != call->configRevision) {
            // A newer configuration may refuse what an unresolved attempt has stored.
            resolveAttempt(call);
            return;
        }
        const Queue* queue = configuration->findQueue(call->request.host, call->request.path);
        if (!queue) {
            finish(call, { AdmissionOutcome::NoQueue, "no queue matches this host and path" });
            return;
        }
        const ClientAccount* account = configuration->accountOfKey(call->request.key);
        if (queue->needsKey && !account) {
            finish(call, { AdmissionOutcome::NoKey, "the API key is missing or unknown" });
            return;
        }
        call->job = JobId(call->request.path.substr(queue->pathPrefix.size()));
        call->account = account ? account->id : AccountId();
        call->queue = queue->policy.queue;
        call->needsKey = queue->needsKey;
        proceed(*queue);
    });
}

// Whether the caller may know of the job. `account` is the only one that may, if there is one. The job's queue may have
// come to need no key since the job was accepted; other queues that need none give no access to the job.
bool Admission::mayAccess(const Call& call, const std::optional<AccountId>& account, const QueueId& queue)
{
    return !account || *account == call.account || (!call.needsKey && queue == call.queue);
}

void Admission::logForeignJob(const Call& call, const AccountId& account)
{
    logger.warning("Job of another account is treated as unknown to the caller",
        { { "job", call.job }, { "account", account }, { "callerAccount", call.account }, { "queue", call.queue } });
}

// Returns the summary of a job that the caller may know of. Otherwise finishes the call and returns nullopt.
std::optional<ProgressSummary> Admission::readSummary(const CallPointer& call, const Record& progress)
{
    auto summary = parseProgressSummary(progress.value);
    if (!summary) {
        logger.error("Progress record is malformed", { { "job", call->job } });
        finish(call,
            { AdmissionOutcome::NotRun, "the job's progress record is malformed",
                internal::retryHint(Milliseconds(0), internal::Urgency::Other, call->request.path) });
    } else if (!mayAccess(*call, summary->account, summary->queue)) {
        logForeignJob(*call, *summary->account);
        finish(call, { AdmissionOutcome::NoJob, "no such job" });
        summary.reset();
    }
    return summary;
}

// Called when the store gave no result.
void Admission::retryLater(const CallPointer& call, bool mayHaveWritten, const std::function<void()>& retry)
{
    config_.recordFailedCall();
    const Milliseconds waited = clock_.monotonic() - call->startedAt;
    call->mayHaveRun = call->mayHaveRun || mayHaveWritten;
    // While responses are being lost, the next attempt is likely to succeed, here as at another instance.
    const bool losesResponses = store_.losesResponses() && !config_.storeOutOfReach();
    const Milliseconds limitBeforeWrite
        = losesResponses ? refusalLimit(*call) : std::min(refusalLimit(*call), refusalTimeout);
    const Milliseconds timeLimit = call->mayHaveRun ? resolutionLimit(*call) : limitBeforeWrite;
    if (waited + internal::admissionRetryDelay >= timeLimit) {
        fail(call);
        return;
    }
    if (call->finished)
        return;
    call->retry = retry;
    call->retryTimer = timers_.after(internal::admissionRetryDelay, [this, call] { retryNow(call); });
    waiting_.push_back(call);
}

void Admission::retryNow(const CallPointer& call)
{
    const auto retry = std::exchange(call->retry, nullptr);
    if (!retry)
        return;
    timers_.cancel(call->retryTimer);
    waiting_.erase(std::find(waiting_.begin(), waiting_.end(), call));
    retry();
}

// Retries at once what waits for its next attempt, urgent requests first.
void Admission::retryWaiting()
{
    std::vector<CallPointer> calls = waiting_;
    std::stable_partition(calls.begin(), calls.end(), [this](const CallPointer& call) { return isUrgent(*call); });
    for (const CallPointer& call : calls)
        retryNow(call);
}

// Whether the request's queue has priority 0 in the last known configuration, which may have been replaced. It only
// decides the order of return after an outage.
bool Admission::isUrgent(const Call& call) const
{
    const Configuration* const configuration = config_.current();
    const Queue* const queue = configuration ? configuration->findQueue(call.request.host, call.request.path) : nullptr;
    return queue && queue->policy.priority == 0;
}

void Admission::fail(const CallPointer& call)
{
    if (call->finished)
        return;
    const Milliseconds waited = clock_.monotonic() - call->startedAt;
    // Logs the path because the job id can be extracted from it only with a confirmed configuration.
    const auto age = config_.age();
    logger.warning("Request failed because the store is unavailable",
        { { "path", call->request.path }, { "waitedMs", waited.count() }, { "mayHaveRun", call->mayHaveRun },
            { "configRevision", config_.revision().value() },
            { "configAgeMs", age ? std::to_string(age->count()) : "never" } });
    if (call->mayHaveRun)
        finish(call,
            { AdmissionOutcome::MayHaveRun, "the store did not respond in time; the request may have taken effect" });
    else {
        // Asking again for a state costs little, and another instance may be able to answer.
        const Milliseconds outageAge = call->readOnly ? Milliseconds(0) : age.value_or(waited);
        const auto urgency = isUrgent(*call) ? internal::Urgency::Urgent : internal::Urgency::Other;
        finish(call,
            { AdmissionOutcome::NotRun, "the store is unavailable; the request has had no effect",
                internal::retryHint(outageAge, urgency, call->request.path) });
    }
}

Milliseconds Admission::resolutionLimit(const Call& call)
{
    return std::max(Milliseconds(0), call.request.deadline - responseMargin);
}

Milliseconds Admission::refusalLimit(const Call& call) { return resolutionLimit(call) / refusalDivisor; }

} // namespace rosemarylink::jobs
