#include "AdmissionCall.h"
#include "rosemarylink/base/Log.h"
#include "rosemarylink/jobs/JobProgress.h"

#include <algorithm>
#include <utility>

namespace rosemarylink::jobs {

namespace {

    const Logger logger("admission");

} // namespace

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
    store_.read(
        keys::progress(call->job), internal::admissionStoreTimeout, [this, call](const StoreResponse& response) {
            if (response.outcome == StoreOutcome::NotFound) {
                logger.info(
                    "Job is not known", { { "job", call->job }, { "storeRevision", response.revision.value() } });
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
    store_.read(keys::job(call->job), internal::admissionStoreTimeout, [this, call](const StoreResponse& response) {
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
    store_.read(
        keys::progress(call->job), internal::admissionStoreTimeout, [this, call](const StoreResponse& response) {
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
                timers_.after(internal::admissionRetryDelay, [this, call] {
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
    store_.grantLease(
        withdrawalLife * 2, internal::admissionStoreTimeout, [this, requestedAt](const StoreResponse& response) {
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
    store_.commit(batch, internal::admissionStoreTimeout, [this, call, lease](const StoreResponse& response) {
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
    store_.commit(batch, internal::admissionStoreTimeout, [this, call, jobRevision](const StoreResponse& response) {
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
