#include "Tenure.h"

#include "rosemarylink/base/Log.h"

namespace rosemarylink::jobs::internal {

namespace {

    constexpr Milliseconds listTimeout { 1500 };
    constexpr Milliseconds retryDelay { 200 };
    // A connection may fall silent for good, so that a wait ends without an answer. Submissions are seen again after
    // this time and the store client's slack, well within the time in which guaranteed work has to start (2.9 s).
    constexpr Milliseconds watchWait { 1000 };

    // The workers' entries change with every heartbeat, which makes a watch cost a call for each. A list a second shows
    // a leaving worker well within the time in which it must get no more work (2.5 s).
    constexpr Milliseconds workerListInterval { 1000 };

    // Time limits are checked this often; the shortest of them is a few hundred milliseconds.
    constexpr Milliseconds tickInterval { 100 };

    // A worker's clock may be this much slower than ours.
    constexpr double slowClock = 0.98;

    // Added to the end of a lease for an order that was on its way when the earlier owner lost the ownership.
    constexpr Milliseconds leaseSlack { 250 };

    const Logger logger("recovery");

} // namespace

Tenure::Tenure(PoolOwner& owner, FencingToken token)
    : owner_(owner)
    , token_(token)
    , startedAt_(owner.clock_.monotonic())
{
}

void Tenure::start()
{
    loadProgress();
    tick();
}

void Tenure::tick()
{
    const Milliseconds time = now();
    for (auto& [id, worker] : workers_) {
        if (!worker.runs.empty() && time >= worker.leaseOverAt)
            loseRuns(worker, "its lease is over");
    }
    checkStartingGangs();
    checkRecovered();
    dropGoneWorkers();
    removeExpired();
    planSoon();
    later(tickInterval, [this] { tick(); });
}

// The parts are read in this order so that a submission always finds its progress, which is written with it.
void Tenure::loadProgress()
{
    // A job handed in between the two lists has no progress among those read; its submission's revision is used.
    owner_.store_.list(keys::runs, listTimeout, guarded([this](const StoreAnswer& answer) {
        if (!answer.done()) {
            later(retryDelay, [this] { loadProgress(); });
            return;
        }
        for (const Record& record : answer.records) {
            const JobId id(record.key.substr(keys::runs.size()));
            const auto state = parseProgressState(record.value);
            if (!state)
                logger.error("Progress record is unreadable", { { "job", id } });
            else if (isFinal(*state))
                finals_[id] = { *state, now() };
            else
                loadedProgress_[id] = { record.value, record.revision };
        }
        loadFleet();
    }));
}

void Tenure::loadFleet()
{
    owner_.store_.read(keys::fleet, listTimeout, guarded([this](const StoreAnswer& answer) {
        if (answer.outcome != StoreOutcome::NotFound && !answer.done()) {
            later(retryDelay, [this] { loadFleet(); });
            return;
        }
        if (answer.done()) {
            fleetRevision_ = answer.records.front().revision;
            const nlohmann::json fleet
                = nlohmann::json::parse(answer.records.front().value, nullptr, /*allow_exceptions=*/false);
            if (!fleet.is_array())
                logger.error("Fleet record is unreadable", { { "revision", fleetRevision_ } });
            for (const nlohmann::json& id : fleet) {
                if (id.is_string())
                    unheardFleet_.insert(WorkerId(id.get<std::string>()));
            }
            recordedFleet_ = unheardFleet_;
        }
        fleetLoaded_ = true;
        loadIncoming();
    }));
}

void Tenure::loadIncoming()
{
    owner_.store_.list(keys::incoming, listTimeout, guarded([this](const StoreAnswer& answer) {
        if (!answer.done()) {
            later(retryDelay, [this] { loadIncoming(); });
            return;
        }
        // Cancellations sort before jobs, so they are taken last.
        for (const Record& record : answer.records) {
            if (record.key.compare(0, keys::jobs.size(), keys::jobs) == 0)
                takeIncoming(record);
        }
        loadWorkers(); // before cancellations are applied no worker has been asked, so that no run is stopped unseen
        for (const Record& record : answer.records) {
            if (record.key.compare(0, keys::cancellations.size(), keys::cancellations) == 0)
                takeIncoming(record);
        }
        incomingLoaded_ = true;
        followIncoming(answer.revision);
    }));
}

void Tenure::followIncoming(Revision after)
{
    owner_.store_.watch(keys::incoming, after, watchWait, guarded([this, after](const StoreAnswer& answer) {
        if (answer.outcome == StoreOutcome::HistoryGone) {
            loadIncoming();
            return;
        }
        if (!answer.done()) {
            later(retryDelay, [this, after] { followIncoming(after); });
            return;
        }
        for (const Record& record : answer.records)
            takeIncoming(record);
        followIncoming(std::max(after, answer.revision));
    }));
}

void Tenure::takeIncoming(const Record& record)
{
    if (record.key.compare(0, keys::jobs.size(), keys::jobs) == 0)
        takeSubmission(JobId(record.key.substr(keys::jobs.size())), record);
    else if (record.key.compare(0, keys::cancellations.size(), keys::cancellations) == 0)
        takeCancellation(JobId(record.key.substr(keys::cancellations.size())));
}

void Tenure::takeSubmission(const JobId& id, const Record& record)
{
    if (jobs_.count(id) > 0 || finals_.count(id) > 0)
        return;
    const nlohmann::json json = nlohmann::json::parse(record.value, nullptr, /*allow_exceptions=*/false);
    auto spec = json.is_object() ? parseJobSpec(json) : invalidArgument("not an object");
    if (!spec) {
        logger.error("Submission is unreadable", { { "job", id }, { "reason", spec.error().message } });
        return;
    }
    // By the accepting instance's time of day, which may differ a little from this one's.
    const Milliseconds age = std::max(
        Milliseconds(0), std::chrono::duration_cast<Milliseconds>(owner_.clock_.now() - spec.value().acceptedAt));
    Job job = makeJob(spec.value(), record.revision);
    job.arrivedAt = now();
    // Known only from before this tenure: an earlier owner may have started some of it.
    job.mayRunElsewhere = record.revision.value() < token_.value();
    const auto loaded = loadedProgress_.find(id);
    if (loaded != loadedProgress_.end()) {
        if (auto applied = applyProgressRecord(loaded->second.first, job); !applied)
            logger.error("Progress record is unreadable", { { "job", id }, { "reason", applied.error().message } });
        job.runRevision = loaded->second.second;
        loadedProgress_.erase(loaded);
        job.arrivedAt -= age;
    } else {
        owner_.metrics_.handOver.record(static_cast<double>(age.count()));
    }
    jobs_.emplace(id, std::move(job));
    planSoon();
}

void Tenure::takeCancellation(const JobId& id)
{
    Job* const job = find(id);
    if (!job || isFinal(job->state))
        return;
    logger.info("Job is cancelled", { { "job", id }, { "token", token_ } });
    finishJob(*job, JobState::Cancelled);
}

void Tenure::loadWorkers()
{
    owner_.store_.list(owner_.catalog_.workerPrefix(), listTimeout, guarded([this](const StoreAnswer& answer) {
        if (!answer.done()) {
            later(retryDelay, [this] { loadWorkers(); });
            return;
        }
        std::set<WorkerId> present;
        for (const Record& record : answer.records) {
            if (auto entry = owner_.catalog_.parseWorker(record)) {
                present.insert(entry.value().id);
                takeWorkerEntry(entry.value());
            }
        }
        for (auto& [id, worker] : workers_) {
            if (worker.listed && present.count(id) == 0)
                dropWorkerEntry(id);
        }
        writeFleet();
        later(workerListInterval, [this] { loadWorkers(); });
    }));
}

void Tenure::takeWorkerEntry(const WorkerEntry& entry)
{
    const auto [position, added] = workers_.try_emplace(entry.id);
    Worker& worker = position->second;
    const bool restarted
        = !added && entry.bornMs != 0 && worker.entry.bornMs != 0 && entry.bornMs != worker.entry.bornMs;
    const bool news = added || restarted || !worker.listed || worker.entry.draining != entry.draining;
    const std::int64_t born = entry.bornMs != 0 ? entry.bornMs : worker.entry.bornMs;
    worker.entry = entry;
    worker.entry.bornMs = born;
    worker.listed = true;
    if (restarted)
        beginNewLife(worker);
    if (!news)
        return;
    logger.info("Worker is listed",
        { { "worker", entry.id }, { "rack", entry.rack }, { "accelerators", entry.capacity.accelerators },
            { "draining", entry.draining }, { "restarted", restarted } });
    if (!worker.known)
        hold(worker);
    planSoon();
}

void Tenure::dropWorkerEntry(const WorkerId& id)
{
    Worker* const worker = find(id);
    if (!worker || !worker->listed)
        return;
    worker->listed = false;
    logger.info("Worker is no longer listed", { { "worker", id }, { "runs", worker->runs.size() } });
}

// Forgets workers that have left and on which nothing can run any more.
void Tenure::dropGoneWorkers()
{
    bool dropped = false;
    for (auto position = workers_.begin(); position != workers_.end();) {
        const Worker& worker = position->second;
        const bool gone = !worker.listed && worker.runs.empty() && unheardFleet_.count(position->first) == 0;
        dropped = dropped || gone;
        position = gone ? workers_.erase(position) : std::next(position);
    }
    if (dropped)
        writeFleet();
}

void Tenure::checkRecovered()
{
    if (recovered_ || !incomingLoaded_)
        return;
    const Milliseconds leasesOver = startedAt_
        + Milliseconds(static_cast<std::int64_t>(static_cast<double>(owner_.limits_.workerLease.count()) / slowClock))
        + leaseSlack;
    if (now() >= leasesOver) {
        if (!unheardFleet_.empty())
            logger.warning("Leases of silent workers are over", { { "workers", unheardFleet_.size() } });
        unheardFleet_.clear();
    }
    if (unheardFleet_.empty())
        finishRecovery();
}

void Tenure::finishRecovery()
{
    recovered_ = true;
    logger.info("Takeover finished",
        { { "token", token_ }, { "jobs", jobs_.size() }, { "workers", workers_.size() },
            { "tookMs", (now() - startedAt_).count() } });
    for (auto& [id, job] : jobs_) {
        if (!job.mayRunElsewhere)
            continue;
        job.mayRunElsewhere = false;
        for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
            for (std::size_t number = 0; number < job.spec.steps.size(); ++number) {
                const StepProgress& step = job.occurrences[occurrence][number];
                if (!job.spec.steps[number].gang || step.complete() || !step.anyActive())
                    continue;
                bool whole = true;
                for (const TaskProgress& task : step.tasks)
                    whole = whole && task.phase == TaskPhase::Running;
                if (!whole)
                    stopGang(job, { id, occurrence, static_cast<int>(number), 0 });
            }
        }
    }
    planSoon();
}

Job* Tenure::find(const JobId& id)
{
    const auto position = jobs_.find(id);
    return position == jobs_.end() ? nullptr : &position->second;
}

Worker* Tenure::find(const WorkerId& id)
{
    const auto position = workers_.find(id);
    return position == workers_.end() ? nullptr : &position->second;
}

} // namespace rosemarylink::jobs::internal
