// The part of CellCore that serves callers: submissions, cancellations and queries.
#include "CellCore.h"

#include "rosemarylink/base/RandomId.h"
#include "rosemarylink/state/RecordCodec.h"

namespace rosemarylink::state::internal {

using records::JobState;

namespace {

    // The retry hint for callers refused because there is no owner or no store: about a third of the lease term.
    constexpr Milliseconds retryAfter { 2000 };

    Error retryLater(std::string message)
    {
        Error error = unavailable(std::move(message), Verdict::NotRun);
        error.retryAfter = retryAfter;
        return error;
    }

    Error unknownJob(const JobId& job) { return makeError(ErrorCode::NotFound, "there is no job " + job.value()); }

} // namespace

Status CellCore::checkOwner() const
{
    if (role_ == Role::Owner && !leaving_ && !lostReason_)
        return okStatus();
    if (role_ == Role::Recovering)
        return retryLater("cell " + context_.cell().value() + " is being recovered");
    if (role_ == Role::Supervising)
        return retryLater(
            "cell " + context_.cell().value() + " waits for configuration " + std::to_string(highestConfig_.value()));
    const std::string owner = ownership_.owner() ? "owned by " + ownership_.owner()->value() : "without an owner";
    return retryLater("cell " + context_.cell().value() + " is " + owner);
}

Result<std::optional<Submission>> CellCore::findEarlier(const model::JobSpec& spec) const
{
    const LedgerEntry* entry = ledger_.find(spec.id);
    if (entry == nullptr)
        return std::optional<Submission> {};
    if (model::toJson(entry->record.spec) != model::toJson(spec))
        return makeError(ErrorCode::Conflict, "job " + spec.id.value() + " exists with another specification");
    return std::optional(Submission { {}, true });
}

Result<std::pair<Submission, JobWrite>> CellCore::beginSubmit(const model::JobSpec& spec, const IdempotencyKey& key)
{
    BOOST_OUTCOME_TRYV(checkOwner());
    if (writer_.failing() || ownership_.storeFailing())
        return retryLater("the store cannot be reached");
    if (pendingSubmits_.count(spec.id) != 0)
        return retryLater("job " + spec.id.value() + " is being submitted");
    BOOST_OUTCOME_TRY(admission, policy_->submit(spec, policyNow()));
    pendingSubmits_.insert(spec.id);
    JobWrite write { context_.epoch, jobKey(context_.cell(), spec.id), Revision(0), {} };
    write.record.schemaVersion = 1;
    write.record.operation = makeRandomId<OperationId>();
    write.record.spec = spec;
    if (!key.empty())
        write.record.idempotencyKey = key;
    write.record.submitted = context_.dependencies.clock.now();
    return std::pair(Submission { admission, false }, std::move(write));
}

void CellCore::finishSubmit(const JobWrite& write, JobWriteOutcome outcome,
    const std::optional<std::pair<records::JobRecord, Revision>>& stored)
{
    if (write.epoch != context_.epoch)
        return;
    const JobId& job = write.record.spec.id;
    pendingSubmits_.erase(job);
    decisionDue_ = true;
    const bool accepted = stored && stored->first.state == JobState::Accepted
        && model::toJson(stored->first.spec) == model::toJson(write.record.spec);
    if (stored)
        ledger_.add(stored->first, stored->second);
    Gang* gang = table_.find(job);
    if (accepted) {
        if (gang != nullptr && gang->awaitingJobRecord) {
            gang->spec = stored->first.spec;
            gang->awaitingJobRecord = false;
            writer_.markDirty();
        }
        if (stored->first.cancelRequested)
            applyCancellation(job);
        return;
    }
    if (gang != nullptr && gang->awaitingJobRecord) {
        eraseGang(job);
        policy_->gangEnded(job, policy::GangOutcome::LaunchRefused, policyNow());
    }
    policy_->cancel(job, policyNow());
    if (outcome == JobWriteOutcome::Unknown)
        ledger_.resolveUnknownWrite(job, [this](const JobId& found) { requeue(found); });
}

Result<std::optional<JobWrite>> CellCore::beginCancel(const JobId& job)
{
    BOOST_OUTCOME_TRYV(checkOwner());
    const LedgerEntry* entry = ledger_.find(job);
    if (entry == nullptr)
        return unknownJob(job);
    if (entry->record.state != JobState::Accepted)
        return std::optional<JobWrite> {};
    JobWrite write { context_.epoch, jobKey(context_.cell(), job), entry->revision, entry->record };
    write.record.operation = makeRandomId<OperationId>();
    if (table_.find(job) != nullptr || entry->ending) {
        write.record.cancelRequested = true;
        return std::optional(std::move(write));
    }
    // Removed from the queue first, so that the job is not launched while the record is being written.
    policy_->cancel(job, policyNow());
    write.record.state = JobState::Cancelled;
    write.record.ended = context_.dependencies.clock.now();
    return std::optional(std::move(write));
}

void CellCore::finishCancel(const JobWrite& write, JobWriteOutcome outcome,
    const std::optional<std::pair<records::JobRecord, Revision>>& stored)
{
    if (write.epoch != context_.epoch)
        return;
    const JobId& job = write.record.spec.id;
    if (stored)
        ledger_.add(stored->first, stored->second);
    const bool wasWaiting = write.record.state == JobState::Cancelled;
    if (outcome == JobWriteOutcome::Written)
        applyCancellation(job);
    else if (wasWaiting && outcome == JobWriteOutcome::Unknown)
        ledger_.end(job, JobState::Cancelled);
    else if (wasWaiting)
        requeue(job);
    else if (outcome == JobWriteOutcome::Unknown)
        ledger_.resolveUnknownWrite(job, [this](const JobId& found) {
            if (ledger_.find(found)->record.cancelRequested)
                applyCancellation(found);
        });
}

void CellCore::applyCancellation(const JobId& job)
{
    decisionDue_ = true;
    const LedgerEntry* entry = ledger_.find(job);
    if (const Gang* gang = table_.find(job)) {
        if (gang->knownToPolicy)
            policy_->cancel(job, policyNow());
        return;
    }
    if (entry == nullptr || entry->record.state != JobState::Accepted)
        return;
    policy_->cancel(job, policyNow());
    ledger_.end(job, JobState::Cancelled);
}

Result<policy::Explanation> CellCore::explain(const JobId& job) const
{
    BOOST_OUTCOME_TRYV(checkOwner());
    const LedgerEntry* entry = ledger_.find(job);
    if (entry == nullptr)
        return unknownJob(job);
    if (entry->record.state != JobState::Accepted) {
        const std::string state(records::jobStateName(entry->record.state));
        return policy::Explanation { state, "The job has ended.", std::nullopt, {} };
    }
    if (const auto refused = refusedJobs_.find(job); refused != refusedJobs_.end())
        return policy::Explanation { "waiting", refused->second, std::nullopt, {} };
    return policy_->explain(job, std::max(lastPolicyTime_, context_.dependencies.clock.now()));
}

JobStatus CellCore::statusOf(const LedgerEntry& entry) const
{
    JobStatus status;
    status.spec = entry.record.spec;
    status.state = entry.record.state;
    status.cancelRequested = entry.record.cancelRequested;
    status.submitted = entry.record.submitted;
    status.ended = entry.record.ended;
    if (const Gang* gang = table_.find(entry.record.spec.id)) {
        status.phase = gang->record.phase;
        status.members = gang->record.members;
        status.launched = gang->record.since;
    }
    return status;
}

Result<JobStatus> CellCore::job(const JobId& job) const
{
    BOOST_OUTCOME_TRYV(checkOwner());
    const LedgerEntry* entry = ledger_.find(job);
    if (entry == nullptr)
        return unknownJob(job);
    return statusOf(*entry);
}

std::vector<JobStatus> CellCore::listJobs() const
{
    std::vector<JobStatus> jobs;
    for (const auto& [id, entry] : ledger_.entries())
        jobs.push_back(statusOf(entry));
    return jobs;
}

Result<JobProgress> CellCore::progress(const JobId& job) const
{
    BOOST_OUTCOME_TRYV(checkOwner());
    const LedgerEntry* entry = ledger_.find(job);
    if (entry == nullptr)
        return unknownJob(job);
    JobProgress progress;
    progress.job = job;
    progress.tasks = entry->record.spec.tasks;
    const Gang* gang = table_.find(job);
    if (gang == nullptr) {
        progress.completed = entry->record.state == JobState::Completed ? progress.tasks : 0;
        return progress;
    }
    progress.since = gang->record.since;
    for (const Member& member : gang->members) {
        if (member.completed)
            progress.completed += member.tasks;
        else if (member.reported == TaskState::Failed)
            progress.failed += member.tasks;
        else if (gang->stage == GangStage::Running || gang->stage == GangStage::Checkpointing)
            progress.running += member.tasks;
        else
            progress.reserved += member.tasks;
    }
    return progress;
}

CellSnapshot CellCore::snapshot() const
{
    CellSnapshot snapshot;
    snapshot.cell = context_.cell();
    snapshot.owner = ownership_.owner();
    snapshot.token = context_.token;
    snapshot.configVersion = config_ ? config_->version : ConfigVersion(0);
    snapshot.storeReachable = !ownership_.storeFailing() && !writer_.failing();
    snapshot.workers = static_cast<std::int64_t>(fleet_.workers().size());
    snapshot.warnings = warnings_;
    if (ownership_.claiming())
        snapshot.role = CellRole::Claiming;
    if (role_ == Role::Recovering || role_ == Role::Supervising)
        snapshot.role = CellRole::Recovering;
    if (role_ != Role::Owner)
        return snapshot;
    snapshot.role = CellRole::Owner;
    for (const auto& [job, gang] : table_.all()) {
        if (gang.stage == GangStage::Running)
            ++snapshot.runningGangs;
        else if (gang.stage == GangStage::Reserving || gang.stage == GangStage::Starting)
            ++snapshot.launchingGangs;
        else
            ++snapshot.stoppingGangs;
    }
    for (const auto& [job, entry] : ledger_.entries()) {
        if (entry.record.state == JobState::Accepted && table_.find(job) == nullptr)
            ++snapshot.waitingJobs;
    }
    snapshot.policy = policy_->snapshot(std::max(lastPolicyTime_, context_.dependencies.clock.now()));
    return snapshot;
}

} // namespace rosemarylink::state::internal
