#include "rosemarylink/jobs/Admission.h"

#include "RetryHint.h"
#include "rosemarylink/base/Log.h"
#include "rosemarylink/jobs/JobProgress.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs {

namespace {

    // For one call to the store. A write takes 30 ms across regions and 300 ms when the store is slow.
    constexpr Milliseconds storeTimeout { 900 };

    // Delay before an attempt that the store refused or did not answer is retried.
    constexpr Milliseconds retryDelay { 150 };

    // A request that certainly has not run is retried for this long and then refused with a retry hint. Short refusals
    // of the store (rate limit, leader change) are over sooner; a real outage lasts seconds.
    constexpr Milliseconds refusalTimeout { 700 };

    // A request ends after at most this fraction (1/N) of the caller's time, so that the caller can use the rest of it
    // at another instance, which may reach the store.
    constexpr int resolutionDivisor = 2;

    // Reserved out of the caller's deadline for delivering the response.
    constexpr Milliseconds responseMargin { 150 };

    const Logger logger("admission");

} // namespace

struct Admission::Call {
    CallerRequest request;
    AdmissionHandler handler;
    Milliseconds startedAt { 0 };
    Timers::Id limitTimer = 0; // ends the call when its time limit is reached
    bool finished = false;
    bool readOnly = false;
    bool writeInFlight = false;
    JobId job;
    AccountId account; // of the key; empty if it is unknown or absent
    QueueId queue;
    bool needsKey = true; // the queue does
    JobSpec spec; // of a submission
    std::string rejection; // why the submission is invalid; empty if it is valid
    bool mayHaveRun = false; // a write got no response, and its effect is not known yet
    JobId unresolvedJob; // the job of that write, if it was a submission
    Revision configRevision { 0 }; // revision of the configuration in the last write's precondition
};

Admission::Admission(RecordStore& store, ConfigView& config, const Catalog& catalog, Timers& timers, const Clock& clock,
    JobMetrics& metrics)
    : store_(store)
    , config_(config)
    , catalog_(catalog)
    , timers_(timers)
    , clock_(clock)
    , metrics_(metrics)
    , waitingCounts_(store, clock, metrics)
{
}

Admission::CallPointer Admission::begin(const CallerRequest& request, const AdmissionHandler& handler)
{
    ++inProgress_;
    auto call = std::make_shared<Call>();
    call->request = request;
    call->handler = handler;
    call->startedAt = clock_.monotonic();
    call->limitTimer = timers_.after(resolutionLimit(*call), [this, call] {
        call->mayHaveRun = call->mayHaveRun || call->writeInFlight;
        if (!call->finished)
            fail(call);
    });
    return call;
}

// A call that has reached its time limit is finished already when the store responds late.
void Admission::finish(const CallPointer& call, const AdmissionResponse& response)
{
    if (call->finished)
        return;
    call->finished = true;
    timers_.cancel(call->limitTimer);
    --inProgress_;
    metrics_.countResponse(response.outcome);
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
                internal::retryHint(Milliseconds(0), call->request.path) });
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
    const Milliseconds timeLimit
        = call->mayHaveRun ? resolutionLimit(*call) : std::min(resolutionLimit(*call), refusalTimeout);
    if (waited + retryDelay >= timeLimit) {
        fail(call);
        return;
    }
    timers_.after(retryDelay, [call, retry] {
        if (!call->finished)
            retry();
    });
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
        const Milliseconds unavailableFor = call->readOnly ? Milliseconds(0) : age.value_or(waited);
        finish(call,
            { AdmissionOutcome::NotRun, "the store is unavailable; the request has had no effect",
                internal::retryHint(unavailableFor, call->request.path) });
    }
}

Milliseconds Admission::resolutionLimit(const Call& call)
{
    return std::max(Milliseconds(0), call.request.deadline - responseMargin) / resolutionDivisor;
}

void Admission::submit(const CallerRequest& request, const SpecParser& parse, const AdmissionHandler& handler)
{
    const CallPointer call = begin(request, handler);
    auto parsed = parse();
    if (parsed)
        call->spec = std::move(parsed).value();
    else
        call->rejection = parsed.error().message;
    evaluateSubmission(call);
}

// Evaluates the submission anew for each attempt, since the write's precondition names the configuration that decided.
void Admission::evaluateSubmission(const CallPointer& call)
{
    authorize(call, [this, call](const Queue& queue) {
        call->spec.id = call->job;
        call->spec.account = call->account;
        call->spec.needsKey = queue.needsKey;
        call->spec.policy = queue.policy;
        call->spec.acceptedAt = clock_.now();
        if (!isValidJobId(call->job))
            call->rejection = "the path does not contain a valid job id";
        else if (!queue.unsupportedReason.empty())
            call->rejection = queue.unsupportedReason;
        else if (const auto checked = checkJobSpec(call->spec); !checked && call->rejection.empty())
            call->rejection = checked.error().message;
        if (call->rejection.empty()
            && std::max(toJson(call->spec).dump().size(), expectedProgressBytes(call->spec))
                > store_.maximumValueBytes())
            call->rejection = "the job is too large to be recorded: its records would exceed "
                + std::to_string(store_.maximumValueBytes()) + " bytes";
        if (!call->rejection.empty())
            finish(call, { AdmissionOutcome::Invalid, call->rejection });
        else if (config_.isLarge())
            commitUnlessStored(call);
        else
            commitSubmission(call);
    });
}

// Reads whether an unresolved attempt has stored its job. The configuration in its precondition has been replaced, so
// an attempt that has not taken effect by now never will. Nor will one whose id another account's job has.
void Admission::resolveAttempt(const CallPointer& call)
{
    store_.read(keys::progress(call->unresolvedJob), storeTimeout, [this, call](const StoreResponse& response) {
        const auto summary = response.done() ? parseProgressSummary(response.records.front().value) : std::nullopt;
        const bool foreign = summary && !mayAccess(*call, summary->account, summary->queue);
        if (response.outcome == StoreOutcome::NotFound || foreign) {
            call->mayHaveRun = false;
            evaluateSubmission(call);
        } else if (response.done()) {
            logger.info("Job was stored by an attempt without a response",
                { { "job", call->unresolvedJob }, { "revision", response.records.front().revision.value() },
                    { "configRevision", config_.revision().value() } });
            finish(call, { AdmissionOutcome::Accepted, "" });
        } else {
            retryLater(call, /*mayHaveWritten=*/false, [this, call] { resolveAttempt(call); });
        }
    });
}

// Reads whether the job is stored before it writes, because the response to a failed precondition contains the
// configuration.
void Admission::commitUnlessStored(const CallPointer& call)
{
    const Revision decidedUnder = config_.revision();
    store_.read(keys::progress(call->job), storeTimeout, [this, call, decidedUnder](const StoreResponse& response) {
        if (response.done())
            acceptAgain(call, response.records.front().revision, parseProgressSummary(response.records.front().value));
        else if (response.outcome == StoreOutcome::NotFound)
            commitUnlessReplaced(call, decidedUnder);
        else
            retryLater(call, /*mayHaveWritten=*/false, [this, call] { evaluateSubmission(call); });
    });
}

// Commits the submission if the configuration that decided on it is still the newest; otherwise evaluates it again.
void Admission::commitUnlessReplaced(const CallPointer& call, Revision decidedUnder)
{
    config_.whenJustConfirmed([this, call, decidedUnder](const Configuration* configuration) {
        if (call->finished)
            return;
        if (!configuration)
            retryLater(call, /*mayHaveWritten=*/false, [this, call] { evaluateSubmission(call); });
        else if (config_.revision() == decidedUnder)
            commitSubmission(call);
        else
            evaluateSubmission(call);
    });
}

// Accepts a repeated submission, unless its job is that of another account.
void Admission::acceptAgain(const CallPointer& call, Revision revision, const std::optional<ProgressSummary>& summary)
{
    if (summary && !mayAccess(*call, summary->account, summary->queue)) {
        logForeignJob(*call, *summary->account);
        finish(call, { AdmissionOutcome::Invalid, "the job id is not available; choose another one" });
        return;
    }
    logger.info("Job accepted again", { { "job", call->job }, { "revision", revision.value() } });
    finish(call, { AdmissionOutcome::Accepted, "" });
}

void Admission::refuseWithdrawn(const CallPointer& call)
{
    logger.info("Submission is refused because the job was cancelled before it was stored",
        { { "job", call->job }, { "mayHaveRun", call->mayHaveRun } });
    if (call->mayHaveRun) // the withdrawal may end before an unresolved write is executed
        finish(call, { AdmissionOutcome::MayHaveRun, "the job was cancelled; an earlier attempt is not resolved yet" });
    else
        finish(call, { AdmissionOutcome::NotRun, "the job was cancelled before it was accepted", withdrawalLife });
}

// Key of the withdrawal that keeps the submission from being stored.
std::string Admission::submissionWithdrawal(const Call& call)
{
    return call.spec.needsKey ? keys::withdrawal(call.job, call.spec.account) : keys::withdrawal(call.job);
}

void Admission::commitSubmission(const CallPointer& call)
{
    if (call->finished)
        return;
    // The precondition on the configuration's revision ensures that the job is accepted under the newest one only.
    call->configRevision = config_.revision();
    Batch batch;
    batch.preconditions
        = { { catalog_.configurationKey(), call->configRevision }, { keys::progress(call->job), Revision(0) },
              { keys::job(call->job), Revision(0) }, { submissionWithdrawal(*call), Revision(0) } };
    batch.puts = { { keys::job(call->job), toJson(call->spec).dump() },
        { keys::progress(call->job), firstProgressRecord(call->spec) },
        { keys::waitingJob(call->spec.policy.queue, call->job), "-" } };
    const Milliseconds requestedAt = clock_.monotonic();
    call->writeInFlight = true;
    store_.commit(batch, storeTimeout, [this, call, requestedAt](const StoreResponse& response) {
        call->writeInFlight = false;
        switch (response.outcome) {
        case StoreOutcome::Done:
            metrics_.accept.record(static_cast<double>((clock_.monotonic() - call->startedAt).count()));
            logger.info("Job accepted",
                { { "job", call->job }, { "queue", call->spec.policy.queue }, { "account", call->spec.account },
                    { "configRevision", config_.revision().value() }, { "revision", response.revision.value() },
                    { "tookMs", (clock_.monotonic() - call->startedAt).count() } });
            finish(call, { AdmissionOutcome::Accepted, "" });
            return;
        case StoreOutcome::Conflict:
            if (response.unresolvedAttempt) {
                call->mayHaveRun = true;
                call->unresolvedJob = call->job;
            }
            resolveConflict(call, response, requestedAt);
            return;
        default:
            if (response.outcome == StoreOutcome::Unknown)
                call->unresolvedJob = call->job;
            retryLater(call, response.outcome == StoreOutcome::Unknown, [this, call] { evaluateSubmission(call); });
        }
    });
}

void Admission::resolveConflict(const CallPointer& call, const StoreResponse& response, Milliseconds requestedAt)
{
    for (const Record& record : response.records) {
        if (record.revision == Revision(0))
            continue;
        if (record.key == keys::progress(call->job)) {
            acceptAgain(call, record.revision, parseProgressSummary(record.value));
            return;
        }
        if (record.key == keys::job(call->job)) {
            acceptAgain(call, record.revision, parseSubmissionSummary(record.value));
            return;
        }
    }
    for (const Record& record : response.records) {
        if (record.revision != Revision(0) && record.key == submissionWithdrawal(*call)) {
            refuseWithdrawn(call);
            return;
        }
    }
    for (const Record& record : response.records)
        config_.apply(record, requestedAt);
    // The job's records are absent, so no earlier attempt of this call has taken effect. If the configuration has
    // changed, none ever will, because their precondition on the old revision fails for good.
    if (config_.revision() == call->configRevision) {
        retryLater(call, /*mayHaveWritten=*/false, [this, call] { evaluateSubmission(call); });
        return;
    }
    call->mayHaveRun = false;
    evaluateSubmission(call);
}

void Admission::query(const CallerRequest& request, const AdmissionHandler& handler)
{
    const CallPointer call = begin(request, handler);
    call->readOnly = true;
    authorize(call, [this, call](const Queue& queue) {
        if (call->job.empty())
            countWaiting(call, queue.policy.queue);
        else if (!isValidJobId(call->job))
            finish(call, { AdmissionOutcome::NoJob, "no such job" });
        else
            readState(call);
    });
}

void Admission::readState(const CallPointer& call)
{
    store_.read(keys::progress(call->job), storeTimeout, [this, call](const StoreResponse& response) {
        if (response.outcome == StoreOutcome::NotFound) {
            logger.info("Job is not known", { { "job", call->job }, { "storeRevision", response.revision.value() } });
            finish(call, { AdmissionOutcome::NoJob, "no such job" });
            return;
        }
        if (!response.done()) {
            retryLater(call, /*mayHaveWritten=*/false, [this, call] { readState(call); });
            return;
        }
        if (const auto summary = readSummary(call, response.records.front()))
            finish(call, { AdmissionOutcome::Accepted, "", Milliseconds(0), summary->state });
    });
}

void Admission::cancel(const CallerRequest& request, const AdmissionHandler& handler)
{
    const CallPointer call = begin(request, handler);
    authorize(call, [this, call](const Queue&) {
        if (isValidJobId(call->job))
            readForCancel(call);
        else
            finish(call, { AdmissionOutcome::NoJob, "no such job" });
    });
}

void Admission::readForCancel(const CallPointer& call)
{
    store_.read(keys::job(call->job), storeTimeout, [this, call](const StoreResponse& response) {
        if (response.outcome == StoreOutcome::NotFound) {
            resolveAbsentJob(call);
            return;
        }
        if (!response.done()) {
            retryLater(call, /*mayHaveWritten=*/false, [this, call] { readForCancel(call); });
            return;
        }
        const Record& record = response.records.front();
        const auto summary = parseSubmissionSummary(record.value);
        if (summary && !mayAccess(*call, summary->account, summary->queue)) {
            logForeignJob(*call, *summary->account);
            finish(call, { AdmissionOutcome::NoJob, "no such job" });
            return;
        }
        commitCancel(call, record.revision);
    });
}

// The submission record is absent because the job has ended, or because it is not stored, or not yet.
void Admission::resolveAbsentJob(const CallPointer& call)
{
    store_.read(keys::progress(call->job), storeTimeout, [this, call](const StoreResponse& response) {
        if (response.outcome == StoreOutcome::NotFound) {
            withdraw(call);
            return;
        }
        if (!response.done()) {
            retryLater(call, /*mayHaveWritten=*/false, [this, call] { resolveAbsentJob(call); });
            return;
        }
        const auto summary = readSummary(call, response.records.front());
        if (!summary)
            return;
        if (!isFinal(summary->state)) // it was stored after the submission record was read
            timers_.after(retryDelay, [this, call] {
                if (!call->finished)
                    readForCancel(call);
            });
        else if (summary->state == JobState::Cancelled
            && call->mayHaveRun) // by an attempt of this call without a response
            finish(call, { AdmissionOutcome::Accepted, "" });
        else
            finish(call, { AdmissionOutcome::NoJob, "the job has ended" });
    });
}

// Sees to it that a submission which is still on its way does not run after the cancellation has been answered.
void Admission::withdraw(const CallPointer& call)
{
    const Milliseconds requestedAt = clock_.monotonic();
    if (withdrawalLease_.id != 0 && requestedAt - withdrawalLease_.requestedAt < withdrawalLife) {
        commitWithdrawal(call, withdrawalLease_.id);
        return;
    }
    withdrawalLease_.callers.push_back(call);
    if (withdrawalLease_.callers.size() > 1)
        return;
    store_.grantLease(withdrawalLife * 2, storeTimeout, [this, requestedAt](const StoreResponse& response) {
        const std::vector<CallPointer> callers = std::exchange(withdrawalLease_.callers, {});
        if (response.done())
            withdrawalLease_ = { response.lease, requestedAt, {} };
        for (const CallPointer& caller : callers) {
            if (response.done())
                commitWithdrawal(caller, response.lease);
            else
                retryLater(caller, /*mayHaveWritten=*/false, [this, caller] { withdraw(caller); });
        }
    });
}

void Admission::commitWithdrawal(const CallPointer& call, StoreLeaseId lease)
{
    if (call->finished)
        return;
    Batch batch;
    batch.preconditions = { { keys::job(call->job), Revision(0) }, { keys::progress(call->job), Revision(0) } };
    if (!call->account.empty())
        batch.puts.push_back({ keys::withdrawal(call->job, call->account), "-", lease });
    if (!call->needsKey)
        batch.puts.push_back({ keys::withdrawal(call->job), "-", lease });
    batch.mayRepeat = true; // the records are the same and end with the same lease
    call->writeInFlight = true;
    store_.commit(batch, storeTimeout, [this, call, lease](const StoreResponse& response) {
        call->writeInFlight = false;
        call->mayHaveRun = call->mayHaveRun || response.unresolvedAttempt;
        if (response.done()) {
            logger.info("Job is cancelled before it is stored",
                { { "job", call->job }, { "revision", response.revision.value() },
                    { "refusedForMs", withdrawalLife.count() } });
            finish(call, { AdmissionOutcome::NoJob, "no such job; its submission is refused from now on" });
        } else if (response.outcome == StoreOutcome::Conflict) {
            readForCancel(call);
        } else if (response.outcome == StoreOutcome::NotFound) { // the lease has ended
            if (withdrawalLease_.id == lease)
                withdrawalLease_.id = 0;
            withdraw(call);
        } else {
            retryLater(call, response.outcome == StoreOutcome::Unknown, [this, call] { withdraw(call); });
        }
    });
}

void Admission::commitCancel(const CallPointer& call, Revision jobRevision)
{
    if (call->finished)
        return;
    Batch batch;
    batch.preconditions = { { keys::job(call->job), jobRevision } };
    batch.puts = { { keys::cancellation(call->job), "-" } };
    batch.mayRepeat = true; // the job can be cancelled once; after its end the precondition fails
    call->writeInFlight = true;
    store_.commit(batch, storeTimeout, [this, call, jobRevision](const StoreResponse& response) {
        call->writeInFlight = false;
        call->mayHaveRun = call->mayHaveRun || response.unresolvedAttempt;
        if (response.done()) {
            logger.info("Cancellation accepted", { { "job", call->job }, { "revision", response.revision.value() } });
            finish(call, { AdmissionOutcome::Accepted, "" });
        } else if (response.outcome == StoreOutcome::Conflict) {
            readForCancel(call);
        } else {
            retryLater(call, response.outcome == StoreOutcome::Unknown,
                [this, call, jobRevision] { commitCancel(call, jobRevision); });
        }
    });
}

void Admission::countWaiting(const CallPointer& call, const QueueId& queue)
{
    waitingCounts_.count(queue, [this, call, queue](std::optional<std::size_t> jobs) {
        if (jobs) {
            AdmissionResponse waiting { AdmissionOutcome::Accepted, "" };
            waiting.pending = jobs;
            finish(call, waiting);
        } else {
            retryLater(call, /*mayHaveWritten=*/false, [this, call, queue] { countWaiting(call, queue); });
        }
    });
}

} // namespace rosemarylink::jobs
