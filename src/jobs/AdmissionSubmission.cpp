#include "AdmissionCall.h"
#include "AdmissionGate.h"
#include "rosemarylink/base/Log.h"
#include "rosemarylink/jobs/JobProgress.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs {

namespace {

    // Jobs end within seconds to minutes, and an account's memory is counted every second.
    constexpr Milliseconds retryAfterClosure { 2000 };
    constexpr Milliseconds retryAfterPace { 1000 };

    const Logger logger("admission");

} // namespace

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
        call->jobBytes = internal::jobBytes(call->spec);
        if (!call->rejection.empty())
            finish(call, { AdmissionOutcome::Invalid, call->rejection });
        else if (config_.isLarge() || mustRefuse(*call))
            commitUnlessStored(call); // a job that is stored already is accepted again, and not refused for room
        else
            commitSubmission(call);
    });
}

// Reads whether an unresolved attempt has stored its job. The configuration in its precondition has been replaced, so
// an attempt that has not taken effect by now never will. Nor will one whose id another account's job has.
void Admission::resolveAttempt(const CallPointer& call)
{
    store_.read(keys::progress(call->unresolvedJob), internal::admissionStoreTimeout,
        [this, call](const StoreResponse& response) {
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
    store_.read(keys::progress(call->job), internal::admissionStoreTimeout,
        [this, call, decidedUnder](const StoreResponse& response) {
            if (response.done())
                acceptAgain(
                    call, response.records.front().revision, parseProgressSummary(response.records.front().value));
            else if (response.outcome == StoreOutcome::NotFound && mustRefuse(*call))
                refuseForRoom(call);
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

// Whether the job is to be refused without an attempt to store it.
bool Admission::mustRefuse(const Call& call)
{
    return !call.admitted
        && gate_->decide(call.account, call.jobBytes, clock_.monotonic()) != internal::AdmissionGate::Decision::Open;
}

// Called when the job is known not to be stored.
void Admission::refuseForRoom(const CallPointer& call)
{
    const bool closed = gate_->isClosed(call->account);
    const std::string reason = closed ? "the account's jobs that have not ended hold too much memory"
                                      : "too many jobs were accepted here in the last seconds";
    metrics_.countRoomRefusal(closed ? "closed" : "too-fast");
    logger.warning("Submission is refused because of the memory that jobs hold",
        { { "job", call->job }, { "account", call->account }, { "jobBytes", call->jobBytes }, { "closed", closed },
            { "mayHaveRun", call->mayHaveRun } });
    if (call->mayHaveRun) // an unresolved write may be executed once the closure has ended
        finish(call, { AdmissionOutcome::MayHaveRun, reason });
    else
        finish(call, { AdmissionOutcome::NotRun, reason, closed ? retryAfterClosure : retryAfterPace });
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
    batch.preconditions = { { catalog_.configurationKey(), call->configRevision },
        { keys::progress(call->job), Revision(0) }, { keys::job(call->job), Revision(0) },
        { submissionWithdrawal(*call), Revision(0) }, gate_->condition(call->account) };
    if (!std::exchange(call->admitted, true))
        gate_->admit(call->jobBytes);
    batch.puts = { { keys::job(call->job), toJson(call->spec).dump() },
        { keys::progress(call->job), firstProgressRecord(call->spec) },
        { keys::waitingJob(call->spec.policy.queue, call->job), "-" } };
    const Milliseconds requestedAt = clock_.monotonic();
    call->writeInFlight = true;
    store_.commit(batch, internal::admissionStoreTimeout, [this, call, requestedAt](const StoreResponse& response) {
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
    bool closureChanged = false;
    for (const Record& record : response.records) {
        if (record.key == keys::closure)
            closureChanged = gate_->update(record, clock_.monotonic());
        else
            config_.apply(record, requestedAt);
    }
    if (gate_->isClosed(call->account)) {
        refuseForRoom(call);
        return;
    }
    // The job's records are absent, so no earlier attempt of this call has taken effect. If the configuration has
    // changed, none ever will, because their precondition on the old revision fails for good.
    if (config_.revision() == call->configRevision && closureChanged) {
        evaluateSubmission(call);
        return;
    }
    if (config_.revision() == call->configRevision) {
        retryLater(call, /*mayHaveWritten=*/false, [this, call] { evaluateSubmission(call); });
        return;
    }
    call->mayHaveRun = false;
    evaluateSubmission(call);
}

} // namespace rosemarylink::jobs
