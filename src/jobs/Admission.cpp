#include "rosemarylink/jobs/Admission.h"

#include "rosemarylink/base/Log.h"
#include "rosemarylink/jobs/JobProgress.h"

#include <algorithm>

namespace rosemarylink::jobs {

namespace {

    // One call to the store: a write takes 30 ms across regions and 300 ms when the store is slow.
    constexpr Milliseconds storeTimeout { 900 };

    // Between two tries of a call that the store refused or left unanswered.
    constexpr Milliseconds retryDelay { 150 };

    // A caller whose request has certainly not run is told so after this time, and when to come back: the store's
    // short refusals (a full rate, a change of its leader) are over sooner, and a real outage lasts seconds.
    constexpr Milliseconds refusalPatience { 700 };
    constexpr Milliseconds comeBackAfter { 500 };

    // Kept back from the caller's deadline for the answer's way.
    constexpr Milliseconds answerMargin { 150 };

    const Logger logger("admission");

} // namespace

struct Admission::Call {
    CallerRequest request;
    AdmissionHandler handler;
    Milliseconds startedAt { 0 };
    JobId job;
    JobSpec spec; // of a submission
    std::string problem; // with the submission; empty when there is none
    bool mayHaveRun = false; // a write was left unanswered
    Revision decidedUnder { 0 }; // of the configuration that the last write named
};

Admission::Admission(RecordStore& store, ConfigView& config, const Catalog& catalog, Timers& timers, const Clock& clock,
    JobMetrics& metrics)
    : store_(store)
    , config_(config)
    , catalog_(catalog)
    , timers_(timers)
    , clock_(clock)
    , metrics_(metrics)
{
}

Admission::CallPointer Admission::begin(const CallerRequest& request, const AdmissionHandler& handler)
{
    ++inProgress_;
    auto call = std::make_shared<Call>();
    call->request = request;
    call->handler = handler;
    call->startedAt = clock_.monotonic();
    return call;
}

void Admission::finish(const CallPointer& call, const AdmissionAnswer& answer)
{
    --inProgress_;
    metrics_.countAnswer(answer.outcome);
    call->handler(answer);
}

void Admission::authorize(const CallPointer& call, const std::function<void(const Queue&, const AccountId&)>& proceed)
{
    config_.whenFresh([this, call, proceed](const Configuration* configuration) {
        if (!configuration) {
            retryLater(call, /*mayHaveWritten=*/false, [this, call, proceed] { authorize(call, proceed); });
            return;
        }
        const Queue* queue = configuration->findQueue(call->request.host, call->request.path);
        if (!queue) {
            finish(call, { AdmissionOutcome::NoQueue, "no queue has this host and path" });
            return;
        }
        const ClientAccount* account = configuration->accountOfKey(call->request.key);
        if (queue->needsKey && !account) {
            finish(call, { AdmissionOutcome::NoKey, "the key is not known" });
            return;
        }
        call->job = JobId(call->request.path.substr(queue->pathPrefix.size()));
        proceed(*queue, account ? account->id : AccountId());
    });
}

void Admission::retryLater(const CallPointer& call, bool mayHaveWritten, const std::function<void()>& again)
{
    const Milliseconds waited = clock_.monotonic() - call->startedAt;
    call->mayHaveRun = call->mayHaveRun || mayHaveWritten;
    const Milliseconds untilDeadline = std::max(Milliseconds(0), call->request.deadline - answerMargin);
    const Milliseconds patience = call->mayHaveRun ? untilDeadline : std::min(untilDeadline, refusalPatience);
    if (waited + retryDelay < patience) {
        timers_.after(retryDelay, again);
        return;
    }
    // The job is named by the path: its id is known only under a confirmed configuration.
    const auto age = config_.age();
    logger.warning("Store gave no result for a caller",
        { { "path", call->request.path }, { "waitedMs", waited.count() }, { "mayHaveRun", call->mayHaveRun },
            { "configRevision", config_.revision().value() },
            { "configAgeMs", age ? std::to_string(age->count()) : "never" } });
    if (call->mayHaveRun)
        finish(call, { AdmissionOutcome::MayHaveRun, "the store did not answer in time" });
    else
        finish(call, { AdmissionOutcome::NotRun, "the store is out of reach", comeBackAfter });
}

void Admission::submit(const CallerRequest& request, const SpecParser& parse, const AdmissionHandler& handler)
{
    const CallPointer call = begin(request, handler);
    auto parsed = parse();
    if (parsed)
        call->spec = std::move(parsed).value();
    else
        call->problem = parsed.error().message;
    decideSubmission(call);
}

// Every try is decided by the configuration that its write names.
void Admission::decideSubmission(const CallPointer& call)
{
    authorize(call, [this, call](const Queue& queue, const AccountId& account) {
        call->spec.id = call->job;
        call->spec.account = account;
        call->spec.terms = queue.terms;
        call->spec.acceptedAt = clock_.now();
        if (!isValidJobId(call->job))
            call->problem = "the path names no job";
        else if (!queue.unsupported.empty())
            call->problem = queue.unsupported;
        else if (const auto checked = checkJobSpec(call->spec); !checked && call->problem.empty())
            call->problem = checked.error().message;
        if (call->problem.empty())
            commitSubmission(call);
        else
            finish(call, { AdmissionOutcome::Invalid, call->problem });
    });
}

void Admission::commitSubmission(const CallPointer& call)
{
    // The configuration's revision is a condition: the job is accepted under the newest configuration, or not at all.
    call->decidedUnder = config_.revision();
    Batch batch;
    batch.preconditions = { { catalog_.configurationKey(), call->decidedUnder }, { keys::run(call->job), Revision(0) },
        { keys::job(call->job), Revision(0) } };
    const nlohmann::json progress = { { "state", jobStateName(JobState::Queued) } };
    batch.puts = { { keys::job(call->job), toJson(call->spec).dump() }, { keys::run(call->job), progress.dump() },
        { keys::waiting(call->spec.terms.queue, call->job), "-" } };
    const Milliseconds askedAt = clock_.monotonic();
    store_.commit(batch, storeTimeout, [this, call, askedAt](const StoreAnswer& answer) {
        switch (answer.outcome) {
        case StoreOutcome::Done:
            metrics_.accept.record(static_cast<double>((clock_.monotonic() - call->startedAt).count()));
            logger.info("Job accepted",
                { { "job", call->job }, { "queue", call->spec.terms.queue }, { "account", call->spec.account },
                    { "configRevision", config_.revision().value() }, { "revision", answer.revision.value() },
                    { "tookMs", (clock_.monotonic() - call->startedAt).count() } });
            finish(call, { AdmissionOutcome::Accepted, "" });
            return;
        case StoreOutcome::Conflict:
            settleConflict(call, answer, askedAt);
            return;
        default:
            retryLater(call, answer.outcome == StoreOutcome::Unknown, [this, call] { decideSubmission(call); });
        }
    });
}

void Admission::settleConflict(const CallPointer& call, const StoreAnswer& answer, Milliseconds askedAt)
{
    for (const Record& record : answer.records) {
        if (record.revision != Revision(0)
            && (record.key == keys::run(call->job) || record.key == keys::job(call->job))) {
            logger.info("Job accepted again", { { "job", call->job }, { "revision", record.revision.value() } });
            finish(call, { AdmissionOutcome::Accepted, "" });
            return;
        }
    }
    for (const Record& record : answer.records)
        config_.apply(record, askedAt);
    // The conflict proves that this call's earlier tries have not run; an unanswered one never will, since its
    // condition on the old configuration fails for good. The new configuration decides anew.
    if (config_.revision() == call->decidedUnder)
        retryLater(call, /*mayHaveWritten=*/false, [this, call] { decideSubmission(call); });
    else
        decideSubmission(call);
}

void Admission::query(const CallerRequest& request, const AdmissionHandler& handler)
{
    const CallPointer call = begin(request, handler);
    authorize(call, [this, call](const Queue& queue, const AccountId&) {
        if (call->job.empty())
            countWaiting(call, queue.terms.queue);
        else if (!isValidJobId(call->job))
            finish(call, { AdmissionOutcome::NoJob, "no such job" });
        else
            readState(call);
    });
}

void Admission::readState(const CallPointer& call)
{
    store_.read(keys::run(call->job), storeTimeout, [this, call](const StoreAnswer& answer) {
        if (answer.outcome == StoreOutcome::NotFound) {
            logger.info("Job is not known", { { "job", call->job }, { "storeRevision", answer.revision.value() } });
            finish(call, { AdmissionOutcome::NoJob, "no such job" });
            return;
        }
        if (!answer.done()) {
            retryLater(call, /*mayHaveWritten=*/false, [this, call] { readState(call); });
            return;
        }
        const auto state = parseProgressState(answer.records.front().value);
        if (!state) {
            logger.error("Progress record is unreadable", { { "job", call->job } });
            finish(call, { AdmissionOutcome::NotRun, "the job's record is unreadable", comeBackAfter });
            return;
        }
        finish(call, { AdmissionOutcome::Accepted, "", Milliseconds(0), *state });
    });
}

void Admission::cancel(const CallerRequest& request, const AdmissionHandler& handler)
{
    const CallPointer call = begin(request, handler);
    authorize(call, [this, call](const Queue&, const AccountId&) {
        if (isValidJobId(call->job))
            readForCancel(call);
        else
            finish(call, { AdmissionOutcome::NoJob, "no such job" });
    });
}

void Admission::readForCancel(const CallPointer& call)
{
    store_.read(keys::job(call->job), storeTimeout, [this, call](const StoreAnswer& answer) {
        if (answer.outcome == StoreOutcome::NotFound) {
            // A job that has ended has no submission any more; neither has one that was never accepted.
            finish(call, { AdmissionOutcome::NoJob, "no such job, or it has ended" });
            return;
        }
        if (!answer.done()) {
            retryLater(call, /*mayHaveWritten=*/false, [this, call] { readForCancel(call); });
            return;
        }
        commitCancel(call, answer.records.front().revision);
    });
}

void Admission::commitCancel(const CallPointer& call, Revision jobRevision)
{
    Batch batch;
    batch.preconditions = { { keys::job(call->job), jobRevision } };
    batch.puts = { { keys::cancellation(call->job), "-" } };
    store_.commit(batch, storeTimeout, [this, call, jobRevision](const StoreAnswer& answer) {
        if (answer.done()) {
            logger.info("Cancellation accepted", { { "job", call->job }, { "revision", answer.revision.value() } });
            finish(call, { AdmissionOutcome::Accepted, "" });
        } else if (answer.outcome == StoreOutcome::Conflict) {
            readForCancel(call);
        } else {
            retryLater(call, answer.outcome == StoreOutcome::Unknown,
                [this, call, jobRevision] { commitCancel(call, jobRevision); });
        }
    });
}

void Admission::countWaiting(const CallPointer& call, const QueueId& queue)
{
    store_.list(keys::waitingIn(queue), storeTimeout, [this, call, queue](const StoreAnswer& answer) {
        if (!answer.done()) {
            retryLater(call, /*mayHaveWritten=*/false, [this, call, queue] { countWaiting(call, queue); });
            return;
        }
        AdmissionAnswer waiting { AdmissionOutcome::Accepted, "" };
        waiting.pending = answer.records.size();
        finish(call, waiting);
    });
}

} // namespace rosemarylink::jobs
