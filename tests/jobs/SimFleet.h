#pragma once

#include "SimStore.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace rosemarylink::jobs {

// Simulated workers that follow the platform's rules: fencing, leases on a slow clock, gangs whose members wait for
// each other, and runs that are missing from reports while they are being stopped. Records every violation of the
// scheduler's invariants.
class SimFleet {
public:
    struct Options {
        Milliseconds longestLease { 6000 };
        Milliseconds stopTime { 400 };
        Milliseconds gangTimeout { 3000 };
        double clockRate = 0.985; // rate of the workers' clocks relative to simulated time
    };

    SimFleet(SimWorld&, SimStore&, const Options&);

    // Registers a job, whose tasks the workers can then run.
    void registerJob(const JobSpec&);

    // Adds a worker and registers it in the store.
    void add(const WorkerId&, const std::string& rack, const Resources&);

    void crash(const WorkerId&); // unreachable until restart(); its runs are lost
    void restart(const WorkerId&); // as a new incarnation with the same id and no runs
    // Ends the worker's process, whose port is closed until it comes back: as a new incarnation, or, if
    // `returnWithNewId`, as another worker at the same address.
    void crashFor(const WorkerId&, Milliseconds downTime);
    void setEntry(const WorkerId&, bool listed, bool draining = false);
    // Stops the worker's process for the duration, as by a lack of processor time: it executes and answers nothing, and
    // its runs neither end nor finish stopping. Its clock goes on, and its lease ends in time. Then the calls that have
    // arrived meanwhile are executed first, and `turn` later what was due meanwhile, such as the ends of stops. Its
    // process is busy until then, so that further calls are executed afterwards.
    void standStill(const WorkerId&, Milliseconds duration, Milliseconds turn);
    // Changes the capacity while the worker runs. Starts are held to a smaller one after `shrinkGrace`.
    void setCapacity(const WorkerId&, const Resources&);

    double delayedCommandShare = 0; // share of the commands that get no response and are executed later
    Milliseconds commandDelay { 4000 }; // delay of those commands
    double delayedPollShare = 0; // share of the polls that get no response and are executed later
    Milliseconds pollDelay { 4000 }; // delay of those polls
    double lostCommandResponseShare = 0; // share of the commands that are executed at once but get no response
    // Workers that no instance can reach; their runs continue. The first calls time out on an open connection and may
    // have been executed; further ones time out while they connect, or are refused if the cut resets connections.
    std::set<WorkerId> silent;
    bool cutResets = false;
    // Workers on which runs take longer, with the factor. Runs report their progress once there is one, or while
    // `reportsProgress` is set.
    std::map<WorkerId, double> slowness;
    bool reportsProgress = false;
    std::set<WorkerId> faulty; // workers on which every run fails soon
    std::map<std::string, int> failuresLeft; // number of next runs that fail, by task name without index

    // Workers start whatever they are told; a start that exceeds the capacity is a violation.
    bool admitsAnything = false;
    std::size_t listedEnds = 500; // ends in a report at most
    Milliseconds shrinkGrace { 5500 };

    // A start on a worker of such a rack at this time or later is a violation.
    std::map<std::string, Milliseconds> startsForbiddenFrom;

    std::set<std::string> crashingTasks; // names of tasks whose start crashes the worker
    Milliseconds crashDelay { 10 }; // from the start of such a task; if 0, the start gets no response
    Milliseconds crashDownTime { 3000 };
    bool returnWithNewId = false;

    std::mt19937 random { 2 };

    const WorkerEntry& entry(const WorkerId& id) const { return workers_.at(id).entry; }
    bool isUp(const WorkerId& id) const { return workers_.at(id).up; }

    // Descriptions of the violated invariants.
    const std::vector<std::string>& violations() const { return violations_; }
    int startsOf(const JobId&) const;
    int startsOfTask(const std::string& name) const;
    std::vector<WorkerId> ids() const; // of the workers that are up
    int staleCommands = 0; // commands and polls with a lower token than the worker has seen
    int running() const;
    Milliseconds leaseEnd(const WorkerId&) const; // in simulated time
    int runningOn(const WorkerId& id) const { return static_cast<int>(workers_.at(id).runs.size()); }
    std::set<JobId> jobsOn(const WorkerId&) const; // with runs there
    std::vector<std::string> checkpointsUsed; // one "task checkpoint" per start with a checkpoint

private:
    friend class SimWorkerClient;

    struct Run {
        TaskKey task;
        int run = 0;
        Milliseconds startedAt { 0 };
        bool gangComplete = false; // all members have started, or the task is not in a gang
        Milliseconds worksSince { 0 }; // when that was so first
        bool stopping = false;
        std::string checkpoint;
    };
    struct WorkerState {
        WorkerEntry entry;
        bool up = true;
        bool closed = false; // the process has ended; its address refuses connections or belongs to another worker
        bool replaced = false; // another worker is at its address
        std::uint64_t number = 0;
        Milliseconds startedAt { 0 };
        std::int64_t fence = 0;
        Milliseconds leaseEnd { 0 }; // on the worker's clock
        std::map<TaskKey, Run> runs;
        std::vector<std::pair<Milliseconds, Resources>> formerCapacities; // each with the time until which it held
        std::map<TaskKey, int> highestRefusedRuns; // runs up to this number cannot start any more
        std::vector<EndedRun> ended;
        std::int64_t lapsedEnd = 0; // number of the last end before the lease last expired
        std::int64_t lastEnd = 0;
        std::vector<std::function<void()>> waiting; // polls that wait for an end
    };

    // What a worker that stands still does afterwards, in order.
    struct Standstill {
        std::vector<std::function<void()>> calls;
        std::vector<std::function<void()>> timers;
    };

    // Runs a call that has arrived at the worker, or a timer of the worker, unless it stands still.
    void onArrival(const WorkerId&, const std::function<void()>& call);
    void runAfter(const WorkerId&, Milliseconds delay, const std::function<void()>& timer);

    Milliseconds clockOf(const WorkerState&) const;
    Milliseconds onSlowClock(Milliseconds duration) const;
    bool fits(const WorkerState&, const Resources& used) const;
    CommandResponse start(WorkerState&, const StartCommand&, Milliseconds leaseEnd, std::int64_t fence);
    CommandResponse stop(WorkerState&, const TaskKey&, int run, std::int64_t fence);
    WorkerReport report(const WorkerState&) const;
    void extend(WorkerState&, Milliseconds leaseEnd);
    void end(WorkerState&, const TaskKey&, RunEnd, const std::string& checkpoint);
    void scheduleEnd(const WorkerId&, const Run&);
    // How long the task takes on the worker.
    Milliseconds durationOn(const WorkerId&, const TaskKey&) const;
    int percentOf(const WorkerState&, const Run&) const;
    void joinGang(const TaskKey&, int run);
    void endGang(const TaskKey&, int run, RunEnd);
    // Forgets the ends up to the number. Ends that come later are listed, whatever their numbers.
    void acknowledge(WorkerState&, std::int64_t number);
    // Raises the fence, acknowledges ends and extends the lease, unless a later owner has called.
    bool hold(WorkerState&, Milliseconds leaseEnd, std::int64_t fence, std::int64_t acknowledged);
    void checkLease(const WorkerId&, std::uint64_t incarnation);
    void addViolation(const std::string& text) { violations_.push_back(text); }
    const StepSpec* specOf(const TaskKey&) const;

    SimWorld& world_;
    SimStore& store_;
    Options options_;
    std::map<JobId, JobSpec> specs_;
    std::map<WorkerId, WorkerState> workers_;
    std::map<WorkerId, Standstill> standstills_; // of the workers that stand still
    std::set<TaskKey> acknowledgedDone_; // tasks whose completion has been acknowledged
    // An end that a worker lists: the worker, its incarnation and the number of the end.
    using EndId = std::tuple<WorkerId, std::uint64_t, std::int64_t>;
    std::map<TaskKey, std::set<EndId>> doneEnds_; // of runs that ended as done, acknowledged or not
    std::set<EndId> startedAfter_; // of these, ends after which their task has started again
    std::map<JobId, int> starts_;
    std::map<std::string, int> taskStarts_;
    int returned_ = 0; // workers that have come back with a new id
    std::vector<std::string> violations_;
};

// An instance's client of the simulated workers.
class SimWorkerClient final : public WorkerPort {
public:
    SimWorkerClient(SimWorld& world, SimFleet& fleet)
        : world_(world)
        , fleet_(fleet)
    {
    }

    bool killed = false;
    Milliseconds pausedUntil { 0 }; // nothing is delivered before
    std::set<WorkerId> unreachable; // workers that this instance cannot reach

    void start(const WorkerEntry&, const StartCommand&, Milliseconds leaseEnd, FencingToken,
        std::function<void(const CommandResponse&)>) override;
    void stop(const WorkerEntry&, const TaskKey&, int run, FencingToken,
        std::function<void(const CommandResponse&)>) override;
    void poll(const WorkerEntry&, Milliseconds leaseEnd, FencingToken, std::int64_t acknowledged, Milliseconds wait,
        std::function<void(Result<WorkerReport>)>) override;

private:
    bool isCutOff(const WorkerId& id) const { return fleet_.silent.count(id) > 0 || unreachable.count(id) > 0; }
    SimFleet::WorkerState* findReachable(const WorkerId&);
    // Whether a call that is sent to the worker now cannot have been executed if it gets no response.
    bool connectFails(const WorkerId&);
    void deliver(const std::function<void()>&);
    void order(const WorkerId&, const std::function<CommandResponse(SimFleet::WorkerState&)>& work,
        const std::function<void(const CommandResponse&)>& handler);

    SimWorld& world_;
    SimFleet& fleet_;
    std::set<WorkerId> disconnected_; // workers to which a call has timed out since the last response
};

} // namespace rosemarylink::jobs
