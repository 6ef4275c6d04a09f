#include "OwnerSession.h"

#include "rosemarylink/base/JsonReader.h"
#include "rosemarylink/base/Log.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    constexpr Milliseconds listTimeout { 1500 };
    constexpr Milliseconds retryDelay { 200 };

    // A list takes longer than its timeout while its pages keep arriving. A second call beside it would only slow both.
    constexpr Milliseconds longestList { 10000 };

    // A connection may go silent permanently, so that a watch ends without a response. Submissions are seen again after
    // this time plus the store client's margin, well within the time in which guaranteed work must start (2.9 s).
    constexpr Milliseconds watchWait { 1000 };
    constexpr Milliseconds longestWatch { 2000 };

    // After a watch without a response, until one succeeds. The limit exceeds the wait by more than the time in which a
    // slow store responds across regions (300 ms).
    constexpr Milliseconds shortWatchWait { 200 };
    constexpr Milliseconds longestShortWatch { 600 };

    // While responses are being lost, submissions are asked for at this interval beside the watch, whose response may
    // be among the lost ones. With 40% of the responses lost, 97% of the submissions are seen after four requests.
    constexpr Milliseconds missedSubmissionsInterval { 100 };
    constexpr Milliseconds immediateWatchWait { 1 };

    // Registrations change with every heartbeat, so a watch would cost one call per heartbeat. Listing them once per
    // second detects a leaving worker well within the time after which it must get no more work (2.5 s).
    constexpr Milliseconds workerListInterval { 1000 };

    // Interval at which time limits are checked; the shortest of them is a few hundred milliseconds.
    constexpr Milliseconds tickInterval { 100 };

    // An owner gives up its ownership if it could not follow submissions or workers for this long. A list that takes as
    // long as it may and fails is repeated before.
    constexpr Milliseconds longestUnfollowed { 15000 };

    // Limit on text of another writer in a log line, in bytes.
    constexpr std::size_t maximumLoggedText = 200;

    const Logger logger("recovery");

    // Returns the beginning of the text with everything replaced that is not printable ASCII.
    std::string loggable(const std::string& text)
    {
        std::string line = text.substr(0, maximumLoggedText);
        std::replace_if(
            line.begin(), line.end(), [](char character) { return character < ' ' || character > '~'; }, '?');
        return line;
    }

    // All submissions together are large, so that they are not copied.
    std::vector<const Record*> pointersTo(const std::vector<Record>& records)
    {
        std::vector<const Record*> pointers;
        pointers.reserve(records.size());
        for (const Record& record : records)
            pointers.push_back(&record);
        return pointers;
    }

} // namespace

OwnerSession::OwnerSession(PoolOwner& owner, FencingToken token)
    : owner_(owner)
    , token_(token)
    , startedAt_(owner.clock_.monotonic())
    , leaseInvalidAt_(startedAt_)
    , tickDuty_({ "tick", { tickInterval, tickInterval } }, owner.timers_, owner.clock_, owner.metrics_)
    , workerListDuty_(
          { "worker-list", { workerListInterval, retryDelay } }, owner.timers_, owner.clock_, owner.metrics_)
    , submissionsDuty_({ "submissions", { Milliseconds(0), retryDelay } }, owner.timers_, owner.clock_, owner.metrics_)
    , missedSubmissionsDuty_({ "missed-submissions", { missedSubmissionsInterval, missedSubmissionsInterval } },
          owner.timers_, owner.clock_, owner.metrics_)
    , jobMemory_(owner.limits_.jobMemoryBytes)
    , fleetWrittenAt_(startedAt_)
    , commandWindow_(owner.limits_.startCommands)
{
}

OwnerSession::~OwnerSession()
{
    owner_.metrics_.setDutyAge(pollDuty, Milliseconds(0));
    owner_.metrics_.setDutyAge(flushDuty, Milliseconds(0));
    owner_.metrics_.setSlowWorkers(0);
    if (evacuationsFollowedSince_)
        stopFollowingEvacuations();
}

void OwnerSession::start()
{
    submissionsDuty_.start(weak_from_this(), [this] { followSubmissions(); });
    missedSubmissionsDuty_.start(weak_from_this(), [this] { askForMissedSubmissions(); });
    tickDuty_.start(weak_from_this(), [this] { tick(); });
}

void OwnerSession::tick()
{
    updateDutyMetrics();
    // Also without a valid store lease, so that the evacuations are known as soon as it is valid again.
    followEvacuations();
    if (!checkDuties())
        return;
    const Milliseconds time = now();
    for (auto& [id, worker] : workers_) {
        if (!worker.runs.empty() && worker.lease.isOver(time))
            handleLeaseOver(worker);
    }
    repeatMissingPolls();
    followWorkersWithoutStore();
    repeatMissingFlush();
    stopIncompleteGangs();
    moveStragglers();
    noteTakeoverQuorum();
    checkRecovered();
    noteSilentWorkers();
    forgetStrayCalls();
    removeDepartedWorkers();
    removeExpiredRecords();
    updateClosure();
    schedulePlan();
    logStepActivity();
    logHeldBackWork();
}

void OwnerSession::updateDutyMetrics() const
{
    tickDuty_.updateMetrics();
    workerListDuty_.updateMetrics();
    submissionsDuty_.updateMetrics();
    missedSubmissionsDuty_.updateMetrics();
    owner_.metrics_.setDutyAge(pollDuty, longestPollAge());
    owner_.metrics_.setDutyAge(flushDuty, flushAge());
    owner_.ownership_.updateMetrics();
}

bool OwnerSession::checkDuties()
{
    // While the lease cannot be renewed either, another owner could do no better.
    if (!owner_.ownership_.valid()) {
        leaseInvalidAt_ = now();
        return owner_.ownership_.held();
    }
    const std::tuple<Milliseconds, const char*, std::string> followed[]
        = { { submissionsDuty_.sinceSuccess(), "submissions", submissionsDuty_.lastError() },
              { workerListDuty_.sinceSuccess(), "the list of workers", workerListDuty_.lastError() },
              { evacuationsUnfollowedFor(), "the list of evacuations", "no complete response" } };
    for (const auto& [sinceSuccess, name, error] : followed) {
        const Milliseconds unfollowed = std::min(sinceSuccess, now() - leaseInvalidAt_);
        if (unfollowed < longestUnfollowed)
            continue;
        owner_.ownership_.giveUp(std::string(name) + " could not be read for " + std::to_string(unfollowed.count())
            + " ms in which the store lease was renewed: " + error);
        return false;
    }
    return true;
}

// Reads what the previous owner has stored and the submissions, one call after the other, and then watches for further
// submissions. The evacuations are read beside this chain, since starts wait for them anyway (mayStartOn) and the
// renewal of leases, which begins with the submissions, must not.
void OwnerSession::followSubmissions()
{
    if (!progressLoaded_)
        loadProgress();
    else if (!fleetLoaded_)
        loadFleet();
    else if (observesWorkers() && !pacesLoaded_)
        loadPaces();
    else if (!watchedRevision_)
        loadIncoming();
    else
        watchIncoming();
}

// Loads progress before submissions. Both are written in one batch, so the progress of a submission is found unless it
// was written between the two reads.
void OwnerSession::loadProgress()
{
    // For a job submitted between the two reads, the revision of its submission is used as that of its progress.
    const auto handle = [this](const StoreResponse& response) {
        if (!response.done())
            return Duty::Outcome::Failed;
        for (const Record& record : response.records) {
            const JobId id(record.key.substr(keys::progressPrefix.size()));
            const auto state = parseProgressState(record.value);
            if (!state)
                logger.error("Progress record is malformed", { { "job", id } });
            else if (isFinal(*state))
                finalJobs_[id] = { *state, now() };
            else
                loadedProgress_[id] = { record.value, record.revision };
        }
        progressLoaded_ = true;
        return Duty::Outcome::Succeeded;
    };
    owner_.store_.list(keys::progressPrefix, listTimeout, submissionsDuty_.await(longestList, handle));
}

void OwnerSession::loadFleet()
{
    const auto handle = [this](const StoreResponse& response) {
        if (response.outcome != StoreOutcome::NotFound && !response.done())
            return Duty::Outcome::Failed;
        if (response.done()) {
            fleetRevision_ = response.records.front().revision;
            const auto fleet = parseFleetRecord(response.records.front().value);
            if (!fleet)
                logger.error("Fleet record is malformed", { { "revision", fleetRevision_ } });
            permittedFleet_ = fleet.value_or(FleetRecord());
            for (const WorkerId& id : permittedFleet_.workers) {
                UnconfirmedWorker& unconfirmed = unconfirmedWorkers_[id];
                const auto lateCalls = permittedFleet_.lateCalls.find(id);
                if (lateCalls != permittedFleet_.lateCalls.end())
                    unconfirmed.lateCallsUntil = now() + lateCalls->second;
                unconfirmed.runsEndBy = startedAt_ + longestUnsafeRenewal + longestLease();
                const auto silent = permittedFleet_.silent.find(id);
                if (silent == permittedFleet_.silent.end())
                    continue;
                unconfirmed.jobs = silent->second.jobs;
                if (silent->second.leaseLimit)
                    unconfirmed.runsEndBy = std::min(unconfirmed.runsEndBy, now() + *silent->second.leaseLimit);
            }
        }
        fleetLoaded_ = true;
        logFleetRecord();
        return Duty::Outcome::Succeeded;
    };
    owner_.store_.read(keys::fleet, listTimeout, submissionsDuty_.await(longestList, handle));
}

void OwnerSession::loadIncoming()
{
    const auto handle = [this](const StoreResponse& response) {
        if (!response.done())
            return Duty::Outcome::Failed;
        // Jobs are handled before cancellations, although their keys sort after them.
        std::vector<const Record*> records = pointersTo(response.records);
        std::stable_partition(records.begin(), records.end(),
            [](const Record* record) { return record->key.compare(0, keys::jobs.size(), keys::jobs) == 0; });
        handleIncoming(records);
        // Workers are polled only after all cancellations have been handled, so that no run is stopped before it has
        // been seen.
        workerListDuty_.start(weak_from_this(), [this] { loadWorkers(); });
        incomingLoaded_ = true;
        watchedRevision_ = response.revision;
        return Duty::Outcome::Succeeded;
    };
    owner_.store_.list(keys::incoming, listTimeout, submissionsDuty_.await(longestList, handle));
}

void OwnerSession::watchIncoming()
{
    const auto handle = [this](const StoreResponse& response) {
        if (response.outcome == StoreOutcome::HistoryGone)
            watchedRevision_.reset();
        if (!response.done())
            return Duty::Outcome::Failed;
        watchUnanswered_ = false;
        handleChanges(response);
        return Duty::Outcome::Succeeded;
    };
    const bool brief = std::exchange(watchUnanswered_, true);
    owner_.store_.watch(keys::incoming, *watchedRevision_, brief ? shortWatchWait : watchWait,
        submissionsDuty_.await(brief ? longestShortWatch : longestWatch, handle));
}

// Several of these requests may be unanswered at a time. Failed ones are not repeated, since the next one follows.
void OwnerSession::askForMissedSubmissions()
{
    if (!watchedRevision_ || (!askUnanswered_ && !owner_.store_.losesResponses()))
        return;
    askUnanswered_ = true;
    owner_.store_.watch(
        keys::incoming, *watchedRevision_, immediateWatchWait, guarded([this](const StoreResponse& response) {
            if (!response.done() || !watchedRevision_)
                return;
            askUnanswered_ = false;
            handleChanges(response);
        }));
}

// Handles changes to submissions and cancellations. Requests overlap while responses are being lost, so changes that
// have been handled are left out.
void OwnerSession::handleChanges(const StoreResponse& response)
{
    std::vector<const Record*> records = pointersTo(response.records);
    records.erase(std::remove_if(records.begin(), records.end(),
                      [this](const Record* record) { return record->revision <= *watchedRevision_; }),
        records.end());
    handleIncoming(records);
    watchedRevision_ = std::max(*watchedRevision_, response.revision);
}

// Handles each record by itself, so that one whose handling throws an exception does not keep the others from being
// handled. It is tried again with the next records; later records of its job wait for it.
void OwnerSession::handleIncoming(const std::vector<const Record*>& records)
{
    const std::vector<Record> unhandled = std::exchange(unhandledIncoming_, {});
    std::vector<const Record*> pending = pointersTo(unhandled);
    pending.insert(pending.end(), records.begin(), records.end());
    std::set<std::string> failedJobs;
    for (const Record* record : pending) {
        const std::string job = record->key.substr(record->key.rfind('/') + 1);
        try {
            if (failedJobs.count(job) == 0) {
                handleIncoming(*record);
                continue;
            }
        } catch (const std::exception& problem) {
            logger.error("Submission or cancellation was not handled; it is tried again",
                { { "key", record->key }, { "reason", problem.what() } });
            failedJobs.insert(job);
        }
        unhandledIncoming_.push_back(*record);
    }
}

void OwnerSession::handleIncoming(const Record& record)
{
    if (record.key.compare(0, keys::jobs.size(), keys::jobs) == 0)
        handleSubmission(JobId(record.key.substr(keys::jobs.size())), record);
    else if (record.key.compare(0, keys::cancellations.size(), keys::cancellations) == 0)
        handleCancellation(JobId(record.key.substr(keys::cancellations.size())));
}

void OwnerSession::handleSubmission(const JobId& id, const Record& record)
{
    if (jobs_.count(id) > 0 || finalJobs_.count(id) > 0)
        return;
    const auto json = parseJson(record.value);
    auto spec = json ? parseJobSpec(json.value()) : json.error();
    if (!spec) {
        logger.error("Submission is malformed", { { "job", id }, { "reason", spec.error().message } });
        return;
    }
    // Relative to the accepting instance's wall clock, which may differ slightly from this instance's.
    const Milliseconds age = std::max(
        Milliseconds(0), std::chrono::duration_cast<Milliseconds>(owner_.clock_.now() - spec.value().acceptedAt));
    Job job = makeJob(spec.value(), record.revision);
    job.arrivedAt = now();
    // If the job was accepted before this session began, a previous owner may have started some of its tasks.
    job.mayHaveUnknownRuns = record.revision.value() < token_.value();
    const auto loaded = loadedProgress_.find(id);
    if (loaded != loadedProgress_.end()) {
        if (auto applied = applyProgressRecord(loaded->second.first, job); !applied)
            logger.error("Progress record is malformed", { { "job", id }, { "reason", applied.error().message } });
        job.progressRevision = loaded->second.second;
        loadedProgress_.erase(loaded);
        job.arrivedAt -= age;
    } else {
        owner_.metrics_.handOver.record(static_cast<double>(age.count()));
    }
    const bool urgent = job.spec.policy.priority == 0;
    jobMemory_.add(job.spec.account, jobBytes(job));
    jobs_.emplace(id, std::move(job));
    schedulePlan(urgent);
}

void OwnerSession::handleCancellation(const JobId& id)
{
    Job* const job = find(id);
    if (!job || isFinal(job->state))
        return;
    logger.info("Job is cancelled", { { "job", id }, { "token", token_ } });
    finishJob(*job, JobState::Cancelled);
}

void OwnerSession::loadWorkers()
{
    requestWorkers(workerListDuty_.await(longestList, [this, requestedAt = now()](const StoreResponse& response) {
        if (!response.done())
            return Duty::Outcome::Failed;
        handleWorkers(response.records, requestedAt);
        return Duty::Outcome::Succeeded;
    }));
}

void OwnerSession::requestWorkers(const std::function<void(const StoreResponse&)>& handler)
{
    workersRequestedAt_ = now();
    owner_.store_.list(owner_.catalog_.workerPrefix(), listTimeout, handler);
}

void OwnerSession::handleWorkers(const std::vector<Record>& records, Milliseconds requestedAt)
{
    if (requestedAt < workersListedAt_)
        return; // overtaken by the response to a later request
    workersListedAt_ = requestedAt;
    std::set<WorkerId> present;
    std::map<std::string, std::string> refused; // reasons by key
    for (const Record& record : records)
        handleWorkerRecord(record, present, refused);
    logRefusedEntries(std::move(refused));
    for (auto& [id, worker] : workers_) {
        if (worker.listed && present.count(id) == 0)
            markUnlisted(id);
    }
    workersListed_ = true;
    writeFleet();
}

// Handles one registration. An exception does not keep the others from being handled.
void OwnerSession::handleWorkerRecord(
    const Record& record, std::set<WorkerId>& present, std::map<std::string, std::string>& refused)
{
    try {
        if (const auto entry = owner_.catalog_.parseWorker(record)) {
            present.insert(entry.value().id);
            handleWorkerEntry(entry.value());
        } else {
            refused[record.key] = entry.error().message;
        }
    } catch (const std::exception& problem) {
        logger.error("Worker's registration was not handled", { { "key", record.key }, { "reason", problem.what() } });
    }
}

// Logs each refused entry when it appears and when the reason changes.
void OwnerSession::logRefusedEntries(std::map<std::string, std::string> reasons)
{
    for (const auto& [key, reason] : reasons) {
        const auto logged = refusedEntries_.find(key);
        if (logged == refusedEntries_.end() || logged->second != reason)
            logger.warning("Entry of a worker is refused",
                { { "key", loggable(key) }, { "reason", loggable(reason) }, { "token", token_ } });
    }
    refusedEntries_ = std::move(reasons);
}

void OwnerSession::handleWorkerEntry(const WorkerEntry& entry)
{
    const auto [position, added] = workers_.try_emplace(entry.id);
    Worker& worker = position->second;
    if (added)
        worker.incarnation = ++lastIncarnation_;
    // The worker's reports tell of a restart before its new entry is in the store.
    const bool hasNewestStartTime = entry.startTimeMs != 0 && worker.formerStartTimes.count(entry.startTimeMs) == 0;
    const bool restarted = !added && hasNewestStartTime && worker.entry.startTimeMs != 0
        && entry.startTimeMs != worker.entry.startTimeMs;
    const bool changed = added || restarted || !worker.listed || worker.entry.draining != entry.draining;
    if (restarted)
        worker.formerStartTimes.insert(worker.entry.startTimeMs);
    const std::int64_t born = hasNewestStartTime ? entry.startTimeMs : worker.entry.startTimeMs;
    worker.entry = entry;
    worker.entry.startTimeMs = born;
    worker.listed = true;
    worker.unlistedSince.reset();
    if (restarted)
        handleRestart(worker);
    if (!changed)
        return;
    logger.info("Worker is registered",
        { { "worker", entry.id }, { "rack", entry.rack }, { "accelerators", entry.capacity.accelerators },
            { "draining", entry.draining }, { "restarted", restarted } });
    if (!worker.reconciled || worker.unresponsiveSince)
        poll(worker);
    schedulePlan();
}

void OwnerSession::markUnlisted(const WorkerId& id)
{
    Worker* const worker = find(id);
    if (!worker || !worker->listed)
        return;
    worker->listed = false;
    worker->unlistedSince = workersListedAt_;
    logger.info("Worker is no longer registered", { { "worker", id }, { "runs", worker->runs.size() } });
}

// Removes workers that are no longer registered and on which neither a run nor an end that is not stored can exist.
void OwnerSession::removeDepartedWorkers()
{
    bool dropped = false;
    for (auto position = workers_.begin(); position != workers_.end();) {
        const Worker& worker = position->second;
        const bool undecided = !worker.undecidedRuns.empty() && now() < worker.undecidedUntil;
        const bool strayCalls
            = !worker.strayStarts.empty() || !worker.strayAcknowledgments.empty() || !worker.strayRenewals.empty();
        const bool endsStored = worker.lease.isOver(now()) || jobsOfUnstoredEnds(worker).empty();
        const bool departed = !worker.listed && worker.runs.empty() && !strayCalls && endsStored && !undecided
            && unconfirmedWorkers_.count(position->first) == 0;
        dropped = dropped || departed;
        position = departed ? workers_.erase(position) : std::next(position);
    }
    if (dropped)
        writeFleet();
}

// The longest time for which a run may go on after the last renewal of its lease was sent, on the owner's clock. A
// command in flight extends the lease no further, because it names the time at which the lease ends.
Milliseconds OwnerSession::longestLease() const
{
    const auto lease = static_cast<double>(owner_.limits_.workerLease.count());
    return Milliseconds(static_cast<std::int64_t>(lease / slowestClockRate)) + longestKill;
}

// Gives up waiting for workers whose leases are over, and lets the jobs go on that cannot have runs on the others.
void OwnerSession::checkRecovered()
{
    if (recovered_ || !incomingLoaded_)
        return;
    for (auto position = unconfirmedWorkers_.begin(); position != unconfirmedWorkers_.end();) {
        if (now() < position->second.runsEndBy) {
            ++position;
            continue;
        }
        logger.warning("Lease of an unresponsive worker has expired",
            { { "worker", position->first }, { "takeoverMsAgo", (now() - startedAt_).count() }, { "token", token_ } });
        position = unconfirmedWorkers_.erase(position);
    }
    for (auto& [id, job] : jobs_) {
        if (job.mayHaveUnknownRuns && !mayHaveUnconfirmedRuns(id))
            releaseJob(job);
    }
    if (unconfirmedWorkers_.empty()) {
        recovered_ = true;
        logger.info("Takeover finished",
            { { "token", token_ }, { "jobs", jobs_.size() }, { "workers", workers_.size() },
                { "tookMs", (now() - startedAt_).count() } });
    }
    writeFleet();
}

bool OwnerSession::mayHaveUnconfirmedRuns(const JobId& job) const
{
    return std::any_of(unconfirmedWorkers_.begin(), unconfirmedWorkers_.end(),
        [&job](const auto& entry) { return !entry.second.jobs || entry.second.jobs->count(job) > 0; });
}

// Lets the job be planned, and stops those of its gangs of which members were lost.
void OwnerSession::releaseJob(Job& job)
{
    job.mayHaveUnknownRuns = false;
    job.releasedAt = now();
    for (int occurrence = 0; occurrence < job.spec.occurrences; ++occurrence) {
        for (std::size_t number = 0; number < job.spec.steps.size(); ++number) {
            const StepProgress& step = job.occurrences[occurrence][number];
            if (!job.spec.steps[number].gang || step.complete() || !step.anyActive())
                continue;
            bool allRunning = true;
            for (const TaskProgress& task : step.tasks)
                allRunning = allRunning && task.phase == TaskPhase::Running;
            if (!allRunning)
                stopGang(job, { job.spec.id, occurrence, static_cast<int>(number), 0 });
        }
    }
    schedulePlan();
}

Job* OwnerSession::find(const JobId& id)
{
    const auto position = jobs_.find(id);
    return position == jobs_.end() ? nullptr : &position->second;
}

const Job* OwnerSession::find(const JobId& id) const
{
    const auto position = jobs_.find(id);
    return position == jobs_.end() ? nullptr : &position->second;
}

Worker* OwnerSession::find(const WorkerId& id)
{
    const auto position = workers_.find(id);
    return position == workers_.end() ? nullptr : &position->second;
}

const Worker* OwnerSession::find(const WorkerId& id) const
{
    const auto position = workers_.find(id);
    return position == workers_.end() ? nullptr : &position->second;
}

} // namespace rosemarylink::jobs::internal
