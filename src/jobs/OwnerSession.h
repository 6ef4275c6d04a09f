#pragma once

#include "CommandWindow.h"
#include "EvacuationView.h"
#include "FleetRecord.h"
#include "JobMemory.h"
#include "Planner.h"
#include "PlannerFleet.h"
#include "PreemptionPatience.h"
#include "RunEvidence.h"
#include "StragglerMoves.h"
#include "UrgentHeadroom.h"
#include "WorkerFailures.h"
#include "WorkerLease.h"
#include "WorkerPace.h"
#include "WorkerRun.h"
#include "rosemarylink/base/RunTimePredictor.h"
#include "rosemarylink/jobs/Duty.h"
#include "rosemarylink/jobs/PoolOwner.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rosemarylink::jobs::internal {

// The end of a job, which callers wait for, is stored almost immediately; the short delay batches those that arrive
// together. Ends of single tasks are stored together, since each write holds the progress of a whole job.
inline constexpr Milliseconds urgentFlushDelay { 2 };
inline constexpr Milliseconds deferredFlushDelay { 120 };

// A worker may execute a command up to this long after it was sent.
inline constexpr Milliseconds longestCommandDelay { 12000 };

// A worker's clock runs at no less than this rate relative to the owner's clock.
inline constexpr double slowestClockRate = 0.98;

// A job is given up once this many workers in a row have crashed under one of its tasks. Runs that were lost in a
// takeover count as well once minimumSeenCrashes have been seen. The platform allows two more starts after the third
// crash, which covers other crashes that no owner saw.
inline constexpr std::size_t maximumCrashes = 3;
inline constexpr std::size_t minimumSeenCrashes = 2;

// The same if fewer than minimumSeenCrashes workers had confirmed the run's start. All starts that the platform allows
// for a task are then used, because the task may have run nowhere.
inline constexpr std::size_t maximumUnconfirmedCrashes = 5;

// The lease of a worker that does not report is renewed for this long, since only its reports may be lost or late. Then
// it is left to expire, so that the runs can start elsewhere if the worker is cut off.
inline constexpr Milliseconds silentRenewalLimit { 3000 };

// An owner renews no lease for longer than this without its store lease; see RenewalQuorum.h.
inline constexpr Milliseconds longestUnsafeRenewal { 120000 };

// A task that crashes its workers does so at once, so that a run is not to blame if its worker lived on for this long.
inline constexpr Milliseconds survivalTime { 300 };

// Names in metrics of the polls of all workers and of the writes of progress.
inline constexpr const char* pollDuty = "poll";
inline constexpr const char* flushDuty = "flush";

// An end that a worker has reported and that must be stored before it is acknowledged.
struct PendingEnd {
    std::int64_t number = 0;
    JobId job;
    std::int64_t change = 0; // value of Job::changes that includes the end
};

// The owner's view of a worker. Times are on the owner's monotonic clock unless stated otherwise.
struct Worker {
    WorkerEntry entry;
    bool listed = false; // is registered in the store
    std::set<std::int64_t> formerStartTimes; // of the worker's earlier processes, whose entry may still be listed
    std::optional<Milliseconds> unlistedSince; // request of the first list without it since it was last listed
    bool reconciled = false; // all runs of this incarnation are known to this owner
    std::optional<Milliseconds> firstReportAt; // first report of this incarnation to this owner
    Milliseconds firstReportClock { 0 }; // reading of the worker's clock in that report
    // When the first report was received that was made after all stops by previous owners, on the worker's clock.
    std::optional<Milliseconds> stopsOverAt;
    std::optional<Milliseconds> clock; // last reading of the worker's clock
    Milliseconds clockReadAt { 0 }; // when that reading was received
    Milliseconds reportedAt { 0 }; // when the last report was received
    std::optional<Milliseconds> reportClock; // reading of the worker's clock in its newest report
    Milliseconds reportMadeAt { 0 }; // the newest report was made at this time or later
    Milliseconds aliveAt { 0 }; // when the newest poll that got a report was sent
    Milliseconds heardAt { 0 }; // when the last response of any kind was received
    Milliseconds pollFailedAt { 0 }; // when the newest poll that got no response was sent
    WorkerLease lease; // all runs on the worker, known or not, have ended by its end
    std::map<RunKey, WorkerRun> runs;
    // Runs with a start command that may still be executed, and until when. The run may have ended since.
    std::map<RunKey, Milliseconds> strayStarts;
    // Polls with an acknowledgment that may still be executed, by number, and until when. If the worker has restarted
    // meanwhile, they make it discard ends that have not been seen, so that it gets no work until `idleUntil`.
    std::map<std::uint64_t, Milliseconds> strayAcknowledgments;
    Milliseconds idleUntil { 0 };
    // Polls with a lease end that may still be executed, by number, and until when. A process that has started again
    // meanwhile has another clock, so that they extend its lease however late they are executed.
    std::map<std::uint64_t, Milliseconds> strayRenewals;
    // Until when calls for an earlier process may be executed by the present one, and the same as stored in the fleet
    // record, by which the next owner learns of it.
    Milliseconds lateCallsUntil { 0 };
    Milliseconds storedLateCallsUntil { 0 };
    // Runs that ended with the lease of an unresponsive worker, which may have crashed under them or been cut off. The
    // worker is polled until that is known, but not for longer than `undecidedUntil`.
    std::vector<SuspectRun> undecidedRuns;
    Milliseconds undecidedUntil { 0 };
    std::int64_t lastSeenEnd = 0; // number of the last end that was handled
    std::int64_t acknowledged = 0; // number up to which the worker has received acknowledgments
    std::deque<PendingEnd> pendingEnds;
    bool pollInFlight = false;
    Milliseconds pollSentAt { 0 }; // time of the newest poll
    bool skipWait = false; // the next poll must return immediately instead of waiting for an end
    Milliseconds renewalSentAt { 0 }; // time of the newest poll that renews the lease
    std::uint64_t lastPoll = 0; // number of the newest poll; reports of older polls are used but trigger no new poll
    // Number of the worker's process, by which responses to calls for an earlier one are ignored. Unique in the
    // session, because a worker that has been removed may be registered again.
    std::uint64_t incarnation = 0;
    std::set<JobId> recentFailures; // jobs with a failed run on the worker since its last successful run
    WorkerFailures failures; // of this incarnation's runs
    Milliseconds avoidUntil { 0 }; // the planner prefers other workers until then
    std::optional<Milliseconds> unresponsiveSince;
};

// A worker on which runs of a previous owner may exist.
struct UnconfirmedWorker {
    Milliseconds runsEndBy { 0 }; // unless the worker responds before
    Milliseconds lateCallsUntil { 0 }; // as in Worker
    std::optional<std::set<JobId>> jobs; // the jobs of these runs; absent if they may be of any job
};

// Schedules all pools during one period of ownership. Callbacks hold the session weakly, so that whatever arrives after
// its end is ignored.
class OwnerSession : public std::enable_shared_from_this<OwnerSession> {
public:
    OwnerSession(PoolOwner&, FencingToken);
    ~OwnerSession();
    OwnerSession(const OwnerSession&) = delete;
    OwnerSession& operator=(const OwnerSession&) = delete;

    void start();
    void flush(const std::function<void()>& done);
    // Returns the callbacks of flushes that are not complete and drops them.
    std::vector<std::function<void()>> takeFlushWaiters() { return std::exchange(flushWaiters_, {}); }

private:
    // Keyed by job, occurrence and step.
    using WaitReasons = std::map<std::tuple<JobId, int, int>, WaitReason>;

    // Wraps a callback so that it does nothing after the session has ended.
    template <typename Function> auto guarded(Function function)
    {
        return [weak = weak_from_this(), function](auto&&... arguments) {
            if (const auto self = weak.lock())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }
    void runAfter(Milliseconds delay, const std::function<void()>& task) { owner_.timers_.after(delay, guarded(task)); }
    Milliseconds now() const { return owner_.clock_.monotonic(); }
    void tick();
    void updateDutyMetrics() const;
    // Gives up the ownership if submissions or workers cannot be followed. Returns whether it is still held.
    bool checkDuties();

    // OwnerSessionRecovery.cpp: state of the previous owner, submissions and registrations of workers.
    void followSubmissions();
    void loadProgress();
    void loadIncoming();
    void loadFleet();
    void loadWorkers();
    void watchIncoming();
    void askForMissedSubmissions();
    void handleChanges(const StoreResponse&);
    void handleIncoming(const std::vector<const Record*>&);
    void handleIncoming(const Record&);
    void handleSubmission(const JobId&, const Record&);
    void handleCancellation(const JobId&);
    void requestWorkers(const std::function<void(const StoreResponse&)>&);
    void handleWorkers(const std::vector<Record>&, Milliseconds requestedAt);
    void handleWorkerRecord(const Record&, std::set<WorkerId>& present, std::map<std::string, std::string>& refused);
    void logRefusedEntries(std::map<std::string, std::string> reasons);
    void handleWorkerEntry(const WorkerEntry&);
    void markUnlisted(const WorkerId&);
    void removeDepartedWorkers();
    void checkRecovered();
    bool mayHaveUnconfirmedRuns(const JobId&) const;
    void releaseJob(Job&);
    Milliseconds longestLease() const;

    // OwnerSessionWorkers.cpp: polling of workers and their reports.
    void poll(Worker&);
    void sendPoll(Worker&);
    void handlePollResponse(
        const WorkerId&, std::uint64_t number, const std::function<void(Worker&, bool newest)>& handle);
    void repeatMissingPolls();
    Milliseconds longestPollAge() const;
    void scheduleImmediatePoll(const WorkerId&, Milliseconds delay);
    void schedulePoll(const WorkerId&, Milliseconds delay);
    void handleReport(const WorkerId&, Milliseconds sentAt, Milliseconds leaseEnd, const WorkerReport&, bool newest);
    void updateReconciled(Worker&, const WorkerReport&, Milliseconds sentAt);
    void handlePollFailure(const WorkerId&, Milliseconds sentAt, const Error&);
    void updateClock(Worker&, Milliseconds clock);
    Milliseconds leaseEndFor(const Worker&) const;
    // Upper limit on when the lease ends on the owner's clock if it ends at `leaseEnd` on the worker's clock.
    static Milliseconds latestLeaseEnd(const Worker&, Milliseconds leaseEnd);
    void handleRunning(Worker&, const RunningRun&);
    void noteStopsOver(Worker&, const WorkerReport&, Milliseconds sentAt);
    void resolveAbsentRuns(Worker&, const WorkerReport&, Milliseconds sentAt);
    Milliseconds longestStop() const;
    void adoptRun(Worker&, Job&, const RunningRun&);
    void handleRestart(Worker&);
    void handleLeaseOver(Worker&);
    // Ends the runs that are proven gone.
    void endGoneRuns(Worker&, const RunEvidence&, const std::string& reason);
    std::int64_t acknowledgeableEnd(Worker&);

    // OwnerSessionRenewals.cpp: renewals of leases around a change of the owner.
    // Whether leases may be renewed now, as far as a later owner is concerned.
    bool mayRenewLeases() const;
    Milliseconds unsafeRenewalsEnd() const;
    void followWorkersWithoutStore();
    void startPollRound();
    void pollForRenewal();
    void resumePolls();
    std::vector<Milliseconds> acceptedCalls() const;
    std::size_t knownWorkers() const;
    void noteTakeoverQuorum();

    // OwnerSessionCrashes.cpp: tasks under which workers crash.
    Milliseconds knownSurvival(const Worker&, const RunKey&, const WorkerRun&);
    bool mayHaveCausedCrash(const Worker&, const RunKey&, const WorkerRun&);
    std::vector<SuspectRun> possibleCauses(const Worker&);
    void handleCrash(Worker&, const std::string& reason);
    void recordCrash(const Worker&, const SuspectRun&, const std::string& reason);
    void recordSurvival(Job&, const Worker&, const RunKey&, const WorkerRun&);
    void clearUnresolved(const RunKey&);
    bool isRecentlyCrashed(const Worker&) const;
    void checkSurvivalSoon(const Job&, const TaskKey&, const WorkerId&);
    std::vector<Placement> withoutSharedBlame(const std::vector<Placement>&);

    // OwnerSessionTasks.cpp: ends of runs and stop commands.
    void handleEnd(Worker&, const EndedRun&);
    void learnRunTime(Job&, const EndedRun&, const WorkerRun&);
    void endRun(Job&, const TaskKey&, int run, RunEnd, const std::string& checkpoint, const WorkerId&);
    void stopPresentRun(Job&, const TaskKey&, int doneRun, const WorkerId& doneOn);
    void completeTask(Job&, const TaskKey&);
    void failTask(Job&, const TaskKey&, int run, const WorkerId&);
    void stopGang(Job&, const TaskKey& member);
    void stopTask(Job&, const TaskKey&);
    void stopJob(Job&);
    void finishJob(Job&, JobState);
    void stopRun(Worker&, const RunKey&);
    void handleStopResponse(const RunKey&, const WorkerId&, std::uint64_t incarnation, const CommandResponse&);
    void stopIncompleteGangs();
    void recordFailure(Worker&, const JobId&);
    void logEnd(const StepSpec&, const TaskKey&, int run, RunEnd, const WorkerId&, Milliseconds ran, bool current);
    void logStepActivity();
    void markChanged(Job&, bool urgent);

    // OwnerSessionStarts.cpp: start commands.
    void startTasks(const std::vector<Placement>&);
    void startTask(Job&, const TaskKey&, Worker&);
    void noteJobStarted(Job&);
    // Sends the start commands that are queued as far as the command window allows.
    void sendQueuedStarts();
    enum class StartCommandKind { First, Repeated };
    bool mayStartOn(const Worker&, StartCommandKind) const;
    void withdrawStart(const RunKey&, Worker&);
    void sendStart(const Job&, const RunKey&, Worker&);
    bool mayRepeatStart(const RunKey&, const Worker&);
    void repeatStartLater(const RunKey&, const WorkerId&, std::uint64_t incarnation);
    void abandonStart(const RunKey&, Worker&);
    void handleStartResponse(const RunKey&, const WorkerId&, std::uint64_t incarnation, const CommandResponse&);

    // OwnerSessionEvacuations.cpp: failure domains in which no task may be started.
    void followEvacuations();
    void stopFollowingEvacuations();
    void listEvacuations();
    void handleEvacuations(Milliseconds requestedAt, const StoreResponse&);
    bool knowsEvacuations() const;
    Milliseconds evacuationsUnfollowedFor() const;
    void withdrawEvacuatedStarts();
    void noteOddEvacuations(std::map<std::string, Revision> odd);
    struct DomainUse {
        std::size_t workers = 0; // registered ones
        std::size_t runs = 0;
    };
    DomainUse useOf(const FailureDomainId&) const;
    void logEvacuations();
    void logStaleEvacuations();
    void updateEvacuationMetrics();
    void checkGuarantees();

    // OwnerSessionStrays.cpp: calls without a response, which may still be executed.
    void noteStrayStart(Worker&, const RunKey&, CommandOutcome);
    void noteResponse(Worker&, const CommandResponse&);
    std::optional<WorkerSilence> silenceOf(const Worker&) const;
    void checkReturn(Worker&);
    void forgetStrayCalls();
    // Reserves the worker for the runs that late starts may bring about.
    void addStrayRuns(Worker&);
    // When the last of the worker's runs is over if the worker does not respond again.
    Milliseconds runsOverBy(const Worker&) const;

    // OwnerSessionAdmission.cpp: how much the accepted jobs hold.
    void loadClosure();
    void countHeldJobs();
    void updateClosure();

    // OwnerSessionPlanning.cpp
    // Plans soon after an event: almost at once if urgent work arrives, otherwise together with the events of the next
    // while, which grows with the cost of a plan.
    void schedulePlan(bool urgentArrival = false);
    Milliseconds planDelay(bool urgentArrival) const;
    void plan();
    PlanInput planInput(const ServiceId& pool);
    // How many more runs the owner can keep.
    std::size_t startsLeft() const;
    PlanWorker planWorker(const Worker&) const;
    // Whether the worker may run jobs that no previous owner can have started, although that owner's stops there may
    // not be over. What they still occupy is unknown, so the worker must refuse what does not fit.
    bool mayRunNewJobs(const Worker&) const;
    // The pool's jobs that have not ended, in the order of arrival.
    std::vector<Job*> unfinishedJobs(const ServiceId& pool);
    // Jobs and occurrences of the highest priority that are within their account's guarantee.
    using Guaranteed = std::set<std::pair<JobId, int>>;
    Guaranteed guaranteedOccurrences(const std::vector<Job*>&) const;
    std::optional<Milliseconds> dueTime(const Job&, int occurrence) const;
    // Numbers of runs on workers that are being stopped and no longer the runs of their tasks, by job, occurrence and
    // step. They count for steps that limit their tasks on a worker.
    using SupersededRuns = std::map<std::tuple<JobId, int, int>, std::map<WorkerId, int>>;
    void addSupersededRuns(SupersededRuns&, const Worker&);
    void addSteps(PlanInput&, Job&, const Guaranteed&, const SupersededRuns&);
    void addRunning(PlanInput&, const Job&, const Guaranteed&) const;
    Milliseconds criticalPath(const JobSpec&, std::size_t from) const;
    Milliseconds expectedRunTime(const JobSpec&, std::size_t step) const;
    // The objective for the time from the job's arrival, or its occurrence's due time, to its completion.
    Milliseconds objectiveOf(const JobSpec&) const;
    void expectEnd(const Job&, const TaskKey&, WorkerRun&, int percent) const;
    void applyPlan(const ServiceId& pool, const PlanInput&, const Plan&);
    void preempt(const PlanInput&, const Plan&);
    void logWaiting(const ServiceId& pool, const PlanInput&, const Plan&);

    // OwnerSessionPace.cpp: workers that are slower than others.
    using StepKey = std::tuple<JobId, int, int>; // job, occurrence and step
    bool observesWorkers() const { return owner_.limits_.observeWorkers; }
    // Measures the pace of the worker's runs from a report that has just been handled.
    void notePace(Worker&, const WorkerReport&);
    // `clock` is the reading of the worker's clock in the report.
    std::optional<double> measurePace(Worker&, const RunningRun&, Milliseconds clock);
    // Since when the run has worked, on its worker's clock: a gang begins when all of its members have started. Absent
    // if it does not yet.
    std::optional<Milliseconds> workingSince(Job&, const TaskKey&, const WorkerRun&);
    // Whether the run is slow because its worker is far from its data or from the other tasks of its step.
    bool isRemote(Job&, const TaskKey&, const Worker&);
    // What the run time predictor should learn from a run that has ended after `ran`.
    Milliseconds typicalRunTime(const TaskKey&, Milliseconds ran) const;
    void moveStragglers();
    // Drops what is kept for the pace of the job's tasks.
    void forgetPaces(const JobId&);
    std::set<TaskKey> tasksOnSlowWorkers();
    std::optional<Straggler> straggler(const TaskKey& first);
    void loadPaces();
    void storePaces();

    // OwnerSessionDiagnosis.cpp: reports of work that is held back, and of what a second start of a task relies on.
    void logFleetRecord() const;
    void noteRunGone(const RunKey&, const WorkerId&, const std::string& proof, Milliseconds observedAt);
    void logRestart(const Job&, const RunKey&, const Worker&) const;
    void logHeldBackWork();
    void logTakeoverWait();
    void logUnsafeRenewals();
    void logWithheldSteps(const ServiceId& pool);
    void logWithheldStep(const Job&, int occurrence, int step, const PlannerFleet&);
    std::string withheldReason(const Job&, int occurrence, int step) const;

    // OwnerSessionRecords.cpp
    void scheduleFlush(Milliseconds delay);
    void flushNow();
    void storeProgress();
    void handleFlushException(const std::exception&);
    void repeatMissingFlush();
    Milliseconds flushAge() const;
    std::vector<Job*> dirtyJobs();
    void handleFlushResponse(
        const std::vector<std::pair<JobId, std::int64_t>>& written, const StoreResponse&, bool complete);
    void updateRevisions(const std::vector<Record>&);
    std::optional<std::string> storableRecord(Job&);
    bool appendToBatch(Batch&, const Job&, const std::string& record) const;
    bool mayHoldRuns(const Worker&) const;
    bool mayGetWork(const Worker&) const;
    bool mayRenewLease(const Worker&) const;
    bool isIdle(const Worker&) const;
    std::set<JobId> jobsOfUnstoredEnds(const Worker&) const;
    std::optional<SilentWorker> silentWorker(const Worker&) const;
    FleetRecord currentFleet() const;
    bool needsFleetWrite(const FleetRecord&) const;
    void noteLateCallsStored(const FleetRecord&, Milliseconds writtenAt);
    void noteSilentWorkers();
    void writeFleet();
    void handleProgressStored();
    void removeExpiredRecords();

    Job* find(const JobId&);
    const Job* find(const JobId&) const;
    Worker* find(const WorkerId&);
    const Worker* find(const WorkerId&) const;

    PoolOwner& owner_;
    FencingToken token_;
    Milliseconds startedAt_;
    Milliseconds leaseInvalidAt_; // when the store lease was last not known to be valid; initially the start
    Duty tickDuty_;
    Duty workerListDuty_;
    Duty submissionsDuty_;
    Duty missedSubmissionsDuty_;
    std::map<JobId, Job> jobs_;
    std::map<JobId, std::pair<JobState, Milliseconds>> finalJobs_; // jobs in a final state, and when they ended
    std::map<JobId, std::pair<std::string, Revision>> loadedProgress_; // until the job's submission is read
    JobMemory jobMemory_;
    Milliseconds jobsCountedAt_ { 0 };
    AdmissionClosure closure_; // as stored
    Revision closureRevision_ { 0 }; // 0 if there is no record
    bool closureLoaded_ = false;
    bool closureWriting_ = false;
    std::uint64_t closureWrites_ = 0; // number of the newest write; responses to earlier ones are ignored
    Milliseconds closureWrittenAt_ { 0 };
    Milliseconds closureUncertainUntil_ { 0 }; // a write without a response may be executed until then
    std::optional<Milliseconds> closureRequestedAt_;
    std::map<WorkerId, Worker> workers_;
    std::uint64_t lastIncarnation_ = 0;
    std::map<WorkerId, UnconfirmedWorker> unconfirmedWorkers_; // of the loaded fleet record, not reconciled yet
    bool takeoverQuorum_ = false; // has responded, so that no earlier owner renews leases any more
    // Without a valid store lease: until when leases may be renewed, and the present round of polls.
    Milliseconds renewalQuorumUntil_ { 0 };
    std::optional<Milliseconds> roundStartedAt_;
    bool pollsInRounds_ = false; // workers are left to the rounds, also before the first one
    // The stored fleet record as far as it is certain: less what writes on their way may take away.
    FleetRecord permittedFleet_;
    Milliseconds fleetWrittenAt_ { 0 };
    EvacuationView evacuations_;
    std::optional<Milliseconds> evacuationsFollowedSince_; // absent while the deployment has no evacuations
    std::optional<Milliseconds> evacuationListSentAt_; // when the newest list of evacuations was requested
    std::map<FailureDomainId, Revision> loggedEvacuations_;
    std::map<std::string, Revision> oddEvacuations_; // keys of the last list that name no domain
    Milliseconds staleEvacuationsLoggedAt_ { 0 };
    std::optional<Milliseconds> guaranteesLoggedAt_;
    bool workersListed_ = false; // at least once
    std::map<std::string, std::string> refusedEntries_; // reasons by key, of the last list of workers
    Revision fleetRevision_ { 0 };
    bool progressLoaded_ = false;
    bool fleetLoaded_ = false;
    bool incomingLoaded_ = false;
    std::optional<Revision> watchedRevision_; // of the store; later submissions are still to be watched for
    bool watchUnanswered_ = false; // the last watch that was sent has had no response
    bool askUnanswered_ = false; // the last request for missed submissions has had no response
    std::vector<Record> unhandledIncoming_; // records whose handling threw an exception, in order
    bool fleetWriting_ = false;
    bool fleetRetryPending_ = false;
    std::optional<Milliseconds> capacityWantedAt_; // when a step last waited for capacity
    std::map<std::tuple<JobId, int, int>, std::set<WorkerId>>
        reservedWorkers_; // by job, occurrence and step; reservations of the last plan
    std::map<ServiceId, WaitReasons> loggedWaitReasons_;
    std::map<ServiceId, UrgentHeadroom> urgentHeadrooms_;
    std::map<ServiceId, ReleaseRate> releaseRates_;
    std::map<ServiceId, Milliseconds> preemptedForOthersAt_; // last plan that could preempt for work that is not urgent
    RunTimePredictor runTimes_; // by queue
    WorkerPaces paces_;
    std::map<StepKey, StepDurations> stepDurations_; // of steps with runs whose pace has been measured
    std::map<TaskKey, int> moves_; // how often work was moved off slow workers, by its first task
    Milliseconds stragglersCheckedAt_ { 0 };
    bool pacesLoaded_ = false;
    std::set<WorkerId> storedSlow_; // in the stored record of paces
    Milliseconds pacesStoredAt_ { 0 };
    bool pacesWriting_ = false;
    std::optional<Milliseconds> lastCrashAt_; // of any worker
    std::map<std::string, Milliseconds> crashedAt_; // by the worker's address, which a successor with a new id shares
    Milliseconds workersRequestedAt_ { 0 }; // request of the newest list of workers
    Milliseconds workersListedAt_ { 0 }; // request of the newest list of workers that has been handled
    bool recovered_ = false;
    // Starts and ends of a step's tasks that are logged together, because their number grows with the fleet.
    struct StepActivity {
        int started = 0;
        int done = 0;
        int stopped = 0;
        Milliseconds ran { 0 }; // by the runs that have ended
    };
    std::map<std::tuple<JobId, int, int>, StepActivity> stepActivity_; // by job, occurrence and step
    // What proved that the last run of a task is gone, until the task is done.
    struct GoneRun {
        int run = 0;
        WorkerId worker;
        std::string proof;
        Milliseconds observedAt { 0 }; // when the observation was requested
        Milliseconds provenAt { 0 };
    };
    std::map<TaskKey, GoneRun> goneRuns_;
    Milliseconds activityLoggedAt_ { 0 };
    Milliseconds heldBackLoggedAt_ { 0 };
    // Workers whose leases were renewed since the last log line although the store lease is not known to be valid.
    std::set<WorkerId> unsafeRenewals_;
    CommandWindow commandWindow_;
    std::deque<std::pair<RunKey, WorkerId>> queuedStarts_;
    std::optional<Milliseconds> planDueAt_; // when the pending plan is made
    bool urgentWaits_ = false; // urgent work did not fit in the last plan
    JobId lastStored_;
    bool flushPending_ = false;
    bool flushing_ = false;
    std::uint64_t lastFlush_ = 0; // number of the newest write; responses to earlier ones are ignored
    Milliseconds flushSentAt_ { 0 };
    std::vector<std::function<void()>> flushWaiters_;
};

} // namespace rosemarylink::jobs::internal
