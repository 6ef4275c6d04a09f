#include "OwnerSession.h"

#include "rosemarylink/base/Log.h"

#include <algorithm>

namespace rosemarylink::jobs::internal {

namespace {

    constexpr Milliseconds commitTimeout { 1000 };

    // A write of progress without a response is repeated after this time.
    constexpr Milliseconds longestFlush { 2000 };
    constexpr Milliseconds retryDelay { 150 };

    // A worker that has not reported for this long although it was polled is called silent in the fleet record.
    constexpr Milliseconds silentAfter { 500 };

    // Workers without runs are called idle in the fleet record once no step has waited for this long.
    constexpr Milliseconds idleAfter { 5000 };

    // While a takeover waits for workers, the remaining limits of their leases are stored at this interval, so that
    // owners that follow each other quickly do not wait for them anew.
    constexpr Milliseconds leaseLimitInterval { 1000 };

    const Logger logger("records");

} // namespace

void OwnerSession::scheduleFlush(Milliseconds delay)
{
    if (flushPending_ && delay > Milliseconds(10))
        return;
    flushPending_ = true;
    runAfter(delay, [this] { flushNow(); });
}

void OwnerSession::flush(const std::function<void()>& done)
{
    flushWaiters_.push_back(done);
    flushNow();
}

// Returns the progress record to store, or nullopt if it exceeds the store's limit. Ends that are not in a stored
// record are not acknowledged, so that the next owner learns of them from the workers.
std::optional<std::string> OwnerSession::storableRecord(Job& job)
{
    const std::size_t limit = owner_.store_.maximumValueBytes();
    std::string record = progressRecord(job);
    if (record.size() <= limit) {
        job.oversized = false;
        return record;
    }
    std::string shorter = progressRecord(job, CheckpointUse::LeftOut);
    const bool storable = shorter.size() <= limit;
    if (!std::exchange(job.oversized, true)) {
        owner_.metrics_.oversizedRecords.add();
        logger.error("Progress record exceeds the store's limit",
            { { "job", job.spec.id }, { "bytes", record.size() }, { "limitBytes", limit },
                { "stored", storable ? "without checkpoints" : "no, until it is smaller" } });
    }
    return storable ? std::optional(std::move(shorter)) : std::nullopt;
}

// Adds the job's changes to the batch. Returns false, without a change, if they exceed the batch's limit.
bool OwnerSession::appendToBatch(Batch& batch, const Job& job, const std::string& record) const
{
    // The upper limit of the entries added below: a precondition, a put, the removal of the waiting record and, in a
    // final state, the removals of the submission and the cancellation.
    const std::size_t needed = 2 + (isFinal(job.state) ? 3 : 1);
    if (batch.entries() + needed > RecordStore::maximumBatchEntries)
        return false;
    const JobId& id = job.spec.id;
    batch.preconditions.push_back({ keys::progress(id), job.progressRevision });
    batch.puts.push_back({ keys::progress(id), record });
    if (job.hasWaitingRecord && job.state != JobState::Queued)
        batch.removals.push_back(keys::waitingJob(job.spec.policy.queue, id));
    if (isFinal(job.state)) {
        batch.removals.push_back(keys::job(id));
        batch.removals.push_back(keys::cancellation(id));
    }
    return true;
}

// Jobs with changes to store: first those that have ended, then the others in turn, beginning after the one that was
// stored last, so that none waits behind jobs that change all the time.
std::vector<Job*> OwnerSession::dirtyJobs()
{
    std::vector<Job*> dirty;
    for (auto& [id, job] : jobs_) {
        if (job.dirty())
            dirty.push_back(&job);
    }
    std::rotate(dirty.begin(),
        std::find_if(dirty.begin(), dirty.end(), [this](const Job* job) { return lastStored_ < job->spec.id; }),
        dirty.end());
    std::stable_partition(dirty.begin(), dirty.end(), [](const Job* job) { return isFinal(job->state); });
    return dirty;
}

void OwnerSession::flushNow()
{
    flushPending_ = false;
    if (flushing_)
        return; // what is not in the batch on its way is stored after it
    try {
        storeProgress();
    } catch (const std::exception& problem) {
        handleFlushException(problem);
    }
}

void OwnerSession::storeProgress()
{
    Batch batch;
    batch.preconditions.push_back(owner_.ownership_.condition());
    std::vector<std::pair<JobId, std::int64_t>> written;
    bool complete = true;
    for (Job* job : dirtyJobs()) {
        const auto record = storableRecord(*job);
        if (!record)
            continue; // a batch with it would be rejected whole
        complete = appendToBatch(batch, *job, *record);
        if (!complete)
            break;
        written.emplace_back(job->spec.id, job->changes);
    }
    if (!written.empty())
        lastStored_ = written.back().first;
    if (written.empty()) {
        const auto waiters = std::move(flushWaiters_);
        flushWaiters_.clear();
        for (const auto& done : waiters)
            done();
        return;
    }
    flushing_ = true;
    flushSentAt_ = now();
    owner_.store_.commit(
        batch, commitTimeout, guarded([this, written, complete, number = ++lastFlush_](const StoreResponse& response) {
            if (!flushing_ || number != lastFlush_)
                return;
            owner_.metrics_.storeWrite.record(static_cast<double>((now() - flushSentAt_).count()));
            try {
                handleFlushResponse(written, response, complete);
            } catch (const std::exception& problem) {
                handleFlushException(problem);
            }
        }));
}

void OwnerSession::handleFlushException(const std::exception& problem)
{
    logger.error("Write of progress ended with an exception; it is repeated", { { "reason", problem.what() } });
    owner_.metrics_.countDutyRestart(flushDuty, "exception");
    flushing_ = false;
    flushPending_ = false;
    scheduleFlush(retryDelay);
}

// Repeats a write whose response has not come. The repeated write has the same preconditions, as after a response that
// leaves the outcome open.
void OwnerSession::repeatMissingFlush()
{
    if (flushAge() < longestFlush)
        return;
    logger.error("Write of progress got no response; it is repeated", { { "limitMs", longestFlush.count() } });
    owner_.metrics_.countDutyRestart(flushDuty, "no-response");
    flushing_ = false;
    scheduleFlush(Milliseconds(0));
}

// Time since the write that has no response yet was sent; 0 if there is none.
Milliseconds OwnerSession::flushAge() const { return flushing_ ? now() - flushSentAt_ : Milliseconds(0); }

void OwnerSession::handleFlushResponse(
    const std::vector<std::pair<JobId, std::int64_t>>& written, const StoreResponse& response, bool complete)
{
    flushing_ = false;
    if (response.outcome == StoreOutcome::Conflict) {
        updateRevisions(response.records);
        if (owner_.ownership_.held())
            scheduleFlush(Milliseconds(0));
        return;
    }
    if (!response.done()) {
        // The retry has the same precondition on each record's revision, so at most one of the failed write and its
        // retry can take effect, even if the store executes the failed write late.
        logger.warning("Progress was not stored; retrying",
            { { "jobs", written.size() }, { "unanswered", response.outcome == StoreOutcome::Unknown } });
        flushPending_ = false;
        scheduleFlush(retryDelay);
        // Lets a change that is made before the retry schedule its own flush, whatever its delay.
        flushPending_ = false;
        return;
    }
    for (const auto& [id, change] : written) {
        Job* const job = find(id);
        if (!job)
            continue;
        job->storedChanges = change;
        job->progressRevision = response.revision;
        if (job->state != JobState::Queued)
            job->hasWaitingRecord = false;
    }
    handleProgressStored();
    // What exceeded the batch, a job that has ended and a caller of flush() do not wait for further changes.
    const bool urgent = !complete || !flushWaiters_.empty()
        || std::any_of(jobs_.begin(), jobs_.end(),
            [](const auto& entry) { return entry.second.dirty() && isFinal(entry.second.state); });
    scheduleFlush(urgent ? Milliseconds(0) : deferredFlushDelay);
}

// Takes over the current revisions after a conflict, which means that an earlier write without a response took effect
// or that ownership is lost.
void OwnerSession::updateRevisions(const std::vector<Record>& records)
{
    for (const Record& record : records) {
        if (record.key == keys::ownership && record.revision != owner_.ownership_.condition().revision) {
            owner_.ownership_.reportConflict();
            return;
        }
        if (record.key == keys::fleet)
            fleetRevision_ = record.revision;
        if (record.key == keys::closure)
            closureRevision_ = record.revision;
        if (record.key.compare(0, keys::progressPrefix.size(), keys::progressPrefix) != 0)
            continue;
        if (Job* const job = find(JobId(record.key.substr(keys::progressPrefix.size()))))
            job->progressRevision = record.revision;
    }
}

// Polls the workers with ends that can now be acknowledged, because the acknowledgment is sent with a poll. Removes the
// jobs whose final state is stored and whose runs have ended.
void OwnerSession::handleProgressStored()
{
    for (auto& [id, worker] : workers_) {
        if (!worker.pendingEnds.empty() && acknowledgeableEnd(worker) > worker.acknowledged && !worker.pollInFlight)
            poll(worker);
    }
    for (auto position = jobs_.begin(); position != jobs_.end();) {
        Job& job = position->second;
        if (isFinal(job.state) && !job.dirty() && !job.anyActive()) {
            finalJobs_[position->first] = { job.state, *job.finishedAt };
            goneRuns_.erase(goneRuns_.lower_bound({ position->first, 0, 0, 0 }),
                goneRuns_.lower_bound({ position->first, job.spec.occurrences, 0, 0 }));
            reservedWorkers_.erase(reservedWorkers_.lower_bound({ position->first, 0, 0 }),
                reservedWorkers_.lower_bound({ position->first, job.spec.occurrences, 0 }));
            position = jobs_.erase(position);
        } else {
            ++position;
        }
    }
}

// Whether runs that this owner knows or has started may exist on the worker. A worker that has never responded to it
// has none: it gets no work before its first report.
bool OwnerSession::mayHoldRuns(const Worker& worker) const
{
    return !worker.runs.empty() || !worker.lease.isOver(now()) || (worker.firstReportAt && !worker.unresponsiveSince);
}

// Whether the stored fleet record lets the next owner know enough of a worker that gets work now.
bool OwnerSession::mayGetWork(const Worker& worker) const
{
    return permittedFleet_.allowsWork(worker.entry.id)
        && (worker.lateCallsUntil <= now() || worker.storedLateCallsUntil >= worker.lateCallsUntil);
}

// Whether a worker that does not respond is still kept from losing its runs.
bool OwnerSession::mayRenewLease(const Worker& worker) const
{
    return !worker.unresponsiveSince || now() - worker.reportedAt <= silentRenewalLimit;
}

// Whether the worker has no runs, and no step needs it at present. A worker that is not polled may be gone unnoticed.
bool OwnerSession::isIdle(const Worker& worker) const
{
    return worker.reconciled && worker.runs.empty() && worker.lease.isOver(now())
        && (!capacityWantedAt_ || now() - *capacityWantedAt_ >= idleAfter);
}

// The jobs of ends that the worker has reported and that are not stored. Unless its lease is over, a job of them must
// not go on without the worker, since nobody but the worker and this owner knows the end.
std::set<JobId> OwnerSession::jobsOfUnstoredEnds(const Worker& worker) const
{
    std::set<JobId> jobs;
    for (const PendingEnd& end : worker.pendingEnds) {
        const Job* const job = find(end.job);
        if (job && job->storedChanges < end.change)
            jobs.insert(end.job);
    }
    return jobs;
}

// What the next owner may rely on if it does not reach the worker either; nullopt if the worker may get work.
std::optional<SilentWorker> OwnerSession::silentWorker(const Worker& worker) const
{
    if (isIdle(worker))
        return SilentWorker { std::nullopt, std::set<JobId>() };
    if (!worker.reconciled || !worker.unresponsiveSince || now() - worker.reportedAt < silentAfter)
        return std::nullopt;
    SilentWorker silent;
    silent.jobs = jobsOfUnstoredEnds(worker);
    for (const auto& [key, run] : worker.runs)
        silent.jobs->insert(key.first.job);
    if (!mayRenewLease(worker))
        silent.leaseLimit = std::max(Milliseconds(0), runsOverBy(worker) - now());
    return silent;
}

FleetRecord OwnerSession::currentFleet() const
{
    FleetRecord fleet;
    for (const auto& [id, worker] : workers_) {
        if (!mayHoldRuns(worker))
            continue;
        fleet.workers.insert(id);
        if (const auto silent = silentWorker(worker))
            fleet.silent[id] = *silent;
        if (worker.lateCallsUntil > now())
            fleet.lateCalls[id] = worker.lateCallsUntil - now();
    }
    // Workers of a previous owner stay in the record until they are reconciled or their leases have expired.
    for (const auto& [id, unconfirmed] : unconfirmedWorkers_) {
        fleet.workers.insert(id);
        if (unconfirmed.lateCallsUntil > now()) {
            Milliseconds& limit = fleet.lateCalls[id];
            limit = std::max(limit, unconfirmed.lateCallsUntil - now());
        }
        const Worker* const worker = find(id);
        if (!worker || !mayHoldRuns(*worker))
            fleet.silent[id] = { std::max(Milliseconds(0), unconfirmed.runsEndBy - now()), unconfirmed.jobs };
    }
    return fleet;
}

bool OwnerSession::needsFleetWrite(const FleetRecord& fleet) const
{
    if (fleet.workers != permittedFleet_.workers || fleet.silent.size() != permittedFleet_.silent.size())
        return true;
    for (const auto& [id, silent] : fleet.silent) {
        const auto stored = permittedFleet_.silent.find(id);
        if (stored == permittedFleet_.silent.end() || stored->second.jobs.has_value() != silent.jobs.has_value()
            || stored->second.leaseLimit.has_value() != silent.leaseLimit.has_value())
            return true;
    }
    const auto isStored = [this](const auto& entry) {
        const Worker* const worker = find(entry.first);
        return !worker || worker->storedLateCallsUntil >= worker->lateCallsUntil;
    };
    if (!std::all_of(fleet.lateCalls.begin(), fleet.lateCalls.end(), isStored))
        return true;
    // Limits fall all the time. A later owner that reads old ones waits longer than it has to, which adds up only where
    // owners follow each other during their takeovers.
    return !recovered_ && fleet.hasLimits() && now() - fleetWrittenAt_ >= leaseLimitInterval;
}

void OwnerSession::noteLateCallsStored(const FleetRecord& fleet, Milliseconds writtenAt)
{
    for (const auto& [id, limit] : fleet.lateCalls) {
        if (Worker* const worker = find(id))
            worker->storedLateCallsUntil = std::max(worker->storedLateCallsUntil, writtenAt + limit);
    }
}

void OwnerSession::noteSilentWorkers()
{
    const bool anySilent = std::any_of(
        workers_.begin(), workers_.end(), [this](const auto& entry) { return silentWorker(entry.second).has_value(); });
    if (anySilent || !permittedFleet_.silent.empty())
        writeFleet();
}

// Stores which workers may hold runs, so that the next owner knows it. A worker is used only after it is in the stored
// record.
void OwnerSession::writeFleet()
{
    if (fleetWriting_ || fleetRetryPending_ || !fleetLoaded_)
        return;
    const FleetRecord fleet = currentFleet();
    if (!needsFleetWrite(fleet))
        return;
    Batch batch;
    batch.preconditions = { owner_.ownership_.condition(), { keys::fleet, fleetRevision_ } };
    batch.puts = { { keys::fleet, fleetRecordText(fleet) } };
    fleetWriting_ = true;
    const FleetRecord before = permittedFleet_;
    permittedFleet_.restrictTo(fleet);
    const Milliseconds writtenAt = now();
    owner_.store_.commit(batch, commitTimeout, guarded([this, fleet, before, writtenAt](const StoreResponse& response) {
        fleetWriting_ = false;
        if (response.done()) {
            fleetRevision_ = response.revision;
            permittedFleet_ = fleet;
            fleetWrittenAt_ = now();
            noteLateCallsStored(fleet, writtenAt);
            schedulePlan();
            writeFleet();
            return;
        }
        if (response.outcome == StoreOutcome::Refused)
            permittedFleet_ = before; // the record is unchanged
        if (response.outcome == StoreOutcome::Conflict)
            updateRevisions(response.records);
        else
            logger.warning("Fleet record was not stored; retrying", { { "workers", fleet.workers.size() } });
        fleetRetryPending_ = true;
        runAfter(retryDelay, [this] {
            fleetRetryPending_ = false;
            writeFleet();
        });
    }));
}

// Removes the progress records of jobs whose retention period has passed. This session does not retry a removal that
// fails: the records stay in the store until a later owner has loaded them and their retention period, which then
// starts anew, has passed.
void OwnerSession::removeExpiredRecords()
{
    if (finalJobs_.empty() || flushing_)
        return;
    Batch batch;
    batch.preconditions.push_back(owner_.ownership_.condition());
    for (auto position = finalJobs_.begin();
         position != finalJobs_.end() && batch.entries() < RecordStore::maximumBatchEntries;) {
        if (now() - position->second.second < owner_.limits_.finalStateRetention) {
            ++position;
            continue;
        }
        batch.removals.push_back(keys::progress(position->first));
        position = finalJobs_.erase(position);
    }
    if (!batch.removals.empty())
        owner_.store_.commit(batch, commitTimeout, [](const StoreResponse&) {});
}

} // namespace rosemarylink::jobs::internal
