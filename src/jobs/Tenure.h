#pragma once

#include "Planner.h"
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

using RunKey = std::pair<TaskKey, int>; // a task and its run's number

// A run that takes room on a worker, from its order until its end is known.
struct RunOnWorker {
    Resources room;
    TaskPhase phase = TaskPhase::Starting;
    bool unsettled = false; // the start had no answer
    std::optional<Milliseconds> confirmedAt; // when the worker was first known to run it
    std::optional<Milliseconds> stopTakenAt; // when the worker took the stop: it cannot start there any more
    Milliseconds stopSentAt { 0 };
};

// An end that a worker has listed and that must be stored before it is acknowledged.
struct UnstoredEnd {
    std::int64_t number = 0;
    JobId job;
    std::int64_t change = 0; // of the job, that includes it
};

struct Worker {
    WorkerEntry entry;
    bool listed = false; // has an entry now
    bool known = false; // all that runs in this life is known here
    std::optional<Milliseconds> firstAnswerAt; // of this life to this owner
    std::optional<Milliseconds> clock; // its last reading ...
    Milliseconds clockAt { 0 }; // ... and when that was received
    Milliseconds heardAt { 0 }; // when its last list was received
    Milliseconds leaseOverAt { 0 }; // everything there has ended by then, whatever is not known
    std::map<RunKey, RunOnWorker> runs;
    std::int64_t seenEnd = 0;
    std::int64_t acknowledged = 0; // as the worker has taken it
    std::deque<UnstoredEnd> unstored;
    bool holding = false; // a call is on its way
    bool listNow = false; // the next call must not wait for an end
    std::uint64_t lastHold = 0; // number of the newest call; an older one that is still waiting only reports
    std::uint64_t life = 0; // counts its restarts, so that answers from an earlier life are ignored
    std::set<JobId> recentFailures; // jobs that failed there since the last success
    Milliseconds avoidUntil { 0 };
    std::optional<Milliseconds> unansweredSince;

    Resources taken(bool stoppingOnly) const;
};

// One ownership of the pools, from gaining it to losing it. Every callback holds it weakly: what arrives afterwards is
// ignored.
class Tenure : public std::enable_shared_from_this<Tenure> {
public:
    Tenure(PoolOwner&, FencingToken);

    void start();
    void flush(const std::function<void()>& done);

private:
    // Of the steps that wait, by job, occurrence and step.
    using WaitReasons = std::map<std::tuple<JobId, int, int>, WaitReason>;

    // Wraps a callback so that it does nothing once the tenure is over.
    template <typename Function> auto guarded(Function function)
    {
        return [weak = weak_from_this(), function](auto&&... arguments) {
            if (const auto self = weak.lock())
                function(std::forward<decltype(arguments)>(arguments)...);
        };
    }
    void later(Milliseconds delay, const std::function<void()>& task) { owner_.timers_.after(delay, guarded(task)); }
    Milliseconds now() const { return owner_.clock_.monotonic(); }
    void tick();

    // TenureRecovery.cpp: what an earlier owner left, and what callers and workers write.
    void loadProgress();
    void loadIncoming();
    void loadFleet();
    void loadWorkers();
    void followIncoming(Revision after);
    void takeIncoming(const Record&);
    void takeSubmission(const JobId&, const Record&);
    void takeCancellation(const JobId&);
    void takeWorkers(const std::vector<Record>&);
    void takeWorkerEntry(const WorkerEntry&);
    void dropWorkerEntry(const WorkerId&);
    void dropGoneWorkers();
    void checkRecovered();
    void finishRecovery();

    // TenureWorkers.cpp: the workers' lists.
    void hold(Worker&);
    void holdAgain(const WorkerId&, Milliseconds delay);
    void holdSoon(const WorkerId&, Milliseconds delay);
    void takeReport(const WorkerId&, Milliseconds sentAt, Milliseconds leaseEnd, const WorkerReport&, bool newest);
    void takeFirstAnswers(Worker&, Milliseconds sentAt);
    void takeHoldFailure(const WorkerId&, const Error&);
    void takeClock(Worker&, Milliseconds clock);
    Milliseconds leaseEndFor(const Worker&) const;
    void extendLease(Worker&, Milliseconds leaseEnd);
    void takeRunning(Worker&, const RunningRun&, Milliseconds sentAt);
    void settleAbsent(Worker&, const WorkerReport&, Milliseconds sentAt);
    void adopt(Worker&, Job&, const RunningRun&);
    void beginNewLife(Worker&);
    void loseRuns(Worker&, const std::string& reason);
    std::int64_t acknowledgeable(Worker&);

    // TenureTasks.cpp: ends and orders.
    void takeEnd(Worker&, const EndedRun&);
    void endRun(Job&, const TaskKey&, int run, RunEnd, const std::string& checkpoint, const WorkerId&);
    void completeTask(Job&, const TaskKey&);
    void failTask(Job&, const TaskKey&, int run);
    void stopGang(Job&, const TaskKey& member);
    void stopTask(Job&, const TaskKey&);
    void stopJob(Job&);
    void finishJob(Job&, JobState);
    void startTasks(const std::vector<Placement>&);
    void startTask(Job&, const TaskKey&, Worker&);
    void takeStartAnswer(const RunKey&, const WorkerId&, std::uint64_t life, const OrderAnswer&);
    void stopRun(Worker&, const RunKey&);
    void takeStopAnswer(const RunKey&, const WorkerId&, std::uint64_t life, const OrderAnswer&);
    void checkStartingGangs();
    void noteFailureOn(Worker&, const JobId&);
    void touch(Job&, bool urgent);

    // TenurePlanning.cpp
    void planSoon();
    void plan();
    PlanInput planInput(const ServiceId& pool);
    void addSteps(PlanInput&, const Job&, std::int64_t guaranteeLeft);
    void addRunning(PlanInput&, const Job&, bool guaranteed);
    std::int64_t urgentReserve(const ServiceId& pool, const PlanInput&);
    void applyPlan(const ServiceId& pool, const PlanInput&, const Plan&);
    void logWaiting(const ServiceId& pool, const PlanInput&, const Plan&);

    // TenureRecords.cpp
    void flushSoon(Milliseconds delay);
    void flushNow();
    void takeFlushAnswer(const std::vector<std::pair<JobId, std::int64_t>>&, const StoreAnswer&);
    void adoptRevisions(const std::vector<Record>&);
    bool appendToBatch(Batch&, const Job&) const;
    void writeFleet();
    void afterStored();
    void removeExpired();

    Job* find(const JobId&);
    Worker* find(const WorkerId&);

    PoolOwner& owner_;
    FencingToken token_;
    Milliseconds startedAt_;
    std::map<JobId, Job> jobs_;
    std::map<JobId, std::pair<JobState, Milliseconds>> finals_; // ended jobs, and when
    std::map<JobId, std::pair<std::string, Revision>> loadedProgress_; // until their submissions are read
    std::map<WorkerId, Worker> workers_;
    std::set<WorkerId> unheardFleet_; // named by the fleet record, and neither heard nor past their lease
    std::set<WorkerId> recordedFleet_; // named by the fleet record as stored
    Revision fleetRevision_ { 0 };
    bool fleetLoaded_ = false;
    bool incomingLoaded_ = false;
    bool fleetWriting_ = false;
    std::map<std::tuple<JobId, int, int>, std::set<WorkerId>>
        heldWorkers_; // by job, occurrence and step; of the last plan
    std::map<ServiceId, WaitReasons> waitReasons_; // as logged
    // Accelerators that urgent work takes and waits for, at their recent peak.
    struct UrgentPeak {
        double accelerators = 0;
        Milliseconds at { 0 };
    };
    std::map<ServiceId, UrgentPeak> urgentPeaks_;
    bool recovered_ = false;
    bool planPending_ = false;
    bool flushPending_ = false;
    bool flushing_ = false;
    std::vector<std::function<void()>> flushWaiters_;
};

} // namespace rosemarylink::jobs::internal
