#include "Tenure.h"

#include "rosemarylink/base/Log.h"

namespace rosemarylink::jobs::internal {

namespace {

    constexpr Milliseconds commitTimeout { 1000 };
    constexpr Milliseconds retryDelay { 150 };

    const Logger logger("records");

} // namespace

void Tenure::flushSoon(Milliseconds delay)
{
    if (flushPending_ && delay > Milliseconds(10))
        return;
    flushPending_ = true;
    later(delay, [this] { flushNow(); });
}

void Tenure::flush(const std::function<void()>& done)
{
    flushWaiters_.push_back(done);
    flushNow();
}

// Adds a job's record to the batch if there is room for it.
bool Tenure::appendToBatch(Batch& batch, const Job& job) const
{
    const std::size_t needed = 2 + (isFinal(job.state) ? 3 : 1);
    if (batch.entries() + needed > RecordStore::maximumBatchEntries)
        return false;
    const JobId& id = job.spec.id;
    batch.preconditions.push_back({ keys::run(id), job.runRevision });
    batch.puts.push_back({ keys::run(id), progressRecord(job) });
    if (job.waitingRecord && job.state != JobState::Queued)
        batch.removals.push_back(keys::waiting(job.spec.terms.queue, id));
    if (isFinal(job.state)) {
        batch.removals.push_back(keys::job(id));
        batch.removals.push_back(keys::cancellation(id));
    }
    return true;
}

void Tenure::flushNow()
{
    if (flushing_)
        return;
    flushPending_ = false;
    Batch batch;
    batch.preconditions.push_back(owner_.ownership_.condition());
    std::vector<std::pair<JobId, std::int64_t>> written;
    for (const auto& [id, job] : jobs_) {
        if (!job.dirty())
            continue;
        if (!appendToBatch(batch, job))
            break;
        written.emplace_back(id, job.changes);
    }
    if (written.empty()) {
        const auto waiters = std::move(flushWaiters_);
        flushWaiters_.clear();
        for (const auto& done : waiters)
            done();
        return;
    }
    flushing_ = true;
    const Milliseconds sentAt = now();
    owner_.store_.commit(batch, commitTimeout, guarded([this, written, sentAt](const StoreAnswer& answer) {
        owner_.metrics_.store.record(static_cast<double>((now() - sentAt).count()));
        takeFlushAnswer(written, answer);
    }));
}

void Tenure::takeFlushAnswer(const std::vector<std::pair<JobId, std::int64_t>>& written, const StoreAnswer& answer)
{
    flushing_ = false;
    if (answer.outcome == StoreOutcome::Conflict) {
        adoptRevisions(answer.records);
        if (owner_.ownership_.held())
            flushSoon(Milliseconds(0));
        return;
    }
    if (!answer.done()) {
        // The same condition on each record's revision makes a late effect of this write and its repetition exclude
        // each other.
        logger.warning("Progress was not stored; trying again",
            { { "jobs", written.size() }, { "unanswered", answer.outcome == StoreOutcome::Unknown } });
        flushSoon(retryDelay);
        flushPending_ = false;
        return;
    }
    for (const auto& [id, change] : written) {
        Job* const job = find(id);
        if (!job)
            continue;
        job->storedChanges = change;
        job->runRevision = answer.revision;
        if (job->state != JobState::Queued)
            job->waitingRecord = false;
    }
    afterStored();
    flushNow();
}

// A conflict shows the records as they are: an earlier write without an answer took effect, or the ownership is lost.
void Tenure::adoptRevisions(const std::vector<Record>& records)
{
    for (const Record& record : records) {
        if (record.key == keys::ownership && record.revision != owner_.ownership_.condition().revision) {
            owner_.ownership_.reportConflict();
            return;
        }
        if (record.key == keys::fleet)
            fleetRevision_ = record.revision;
        if (record.key.compare(0, keys::runs.size(), keys::runs) != 0)
            continue;
        if (Job* const job = find(JobId(record.key.substr(keys::runs.size()))))
            job->runRevision = record.revision;
    }
}

// Acknowledges stored ends to the workers and forgets jobs that are over.
void Tenure::afterStored()
{
    for (auto& [id, worker] : workers_) {
        if (!worker.unstored.empty() && acknowledgeable(worker) > worker.acknowledged && !worker.holding)
            hold(worker);
    }
    for (auto position = jobs_.begin(); position != jobs_.end();) {
        Job& job = position->second;
        if (isFinal(job.state) && !job.dirty() && !job.anyActive()) {
            finals_[position->first] = { job.state, *job.finishedAt };
            heldWorkers_.erase(heldWorkers_.lower_bound({ position->first, 0, 0 }),
                heldWorkers_.lower_bound({ position->first, job.spec.occurrences, 0 }));
            position = jobs_.erase(position);
        } else {
            ++position;
        }
    }
}

// Stores the workers that may be given work, before they are given any.
void Tenure::writeFleet()
{
    if (fleetWriting_ || !fleetLoaded_)
        return;
    // Those of an earlier owner stay named until they have answered or their leases are over.
    std::set<WorkerId> named = unheardFleet_;
    for (const auto& [id, worker] : workers_)
        named.insert(id);
    if (named == recordedFleet_)
        return;
    nlohmann::json fleet = nlohmann::json::array();
    for (const WorkerId& id : named)
        fleet.push_back(id.value());
    Batch batch;
    batch.preconditions = { owner_.ownership_.condition(), { keys::fleet, fleetRevision_ } };
    batch.puts = { { keys::fleet, fleet.dump() } };
    fleetWriting_ = true;
    owner_.store_.commit(batch, commitTimeout, guarded([this, named](const StoreAnswer& answer) {
        fleetWriting_ = false;
        if (answer.done()) {
            fleetRevision_ = answer.revision;
            recordedFleet_ = named;
            planSoon();
            writeFleet();
            return;
        }
        if (answer.outcome == StoreOutcome::Conflict)
            adoptRevisions(answer.records);
        else
            logger.warning("Fleet record was not stored; trying again", { { "workers", named.size() } });
        later(retryDelay, [this] { writeFleet(); });
    }));
}

// Removes records of jobs whose state nobody can ask for any more.
void Tenure::removeExpired()
{
    if (finals_.empty() || flushing_)
        return;
    Batch batch;
    batch.preconditions.push_back(owner_.ownership_.condition());
    for (auto position = finals_.begin();
         position != finals_.end() && batch.entries() < RecordStore::maximumBatchEntries;) {
        if (now() - position->second.second < owner_.limits_.keepFinalFor) {
            ++position;
            continue;
        }
        batch.removals.push_back(keys::run(position->first));
        position = finals_.erase(position);
    }
    if (!batch.removals.empty())
        owner_.store_.commit(batch, commitTimeout, [](const StoreAnswer&) {});
}

} // namespace rosemarylink::jobs::internal
