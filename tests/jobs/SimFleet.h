#pragma once

#include "SimStore.h"
#include "rosemarylink/jobs/WorkerPort.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace rosemarylink::jobs {

// Workers in simulated time that keep the platform's rules: fences, leases on a slow clock, gangs that wait for each
// other, stops during which a run is not listed. They note every broken promise of the system.
class SimFleet {
public:
    struct Options {
        Milliseconds longestLease { 6000 };
        Milliseconds stopTime { 400 };
        Milliseconds gangTimeout { 3000 };
        double clockRate = 0.985; // of the workers' clocks against true time
    };

    SimFleet(SimWorld&, SimStore&, const Options&);

    // Tells the workers what a job's tasks are.
    void learn(const JobSpec&);

    // Puts a worker with its entry in the store.
    void add(const WorkerId&, const std::string& rack, const Resources&);

    void crash(const WorkerId&); // dark until restart()
    void restart(const WorkerId&); // again under its id, with nothing on it
    void setEntry(const WorkerId&, bool listed, bool draining = false);

    double lateOrders = 0; // share of the orders that get no answer and are carried out later
    Milliseconds lateBy { 4000 };
    std::set<WorkerId> silent; // cut off from all instances; they run on
    std::map<std::string, int> failuresLeft; // by task name without index: how many of its next runs fail

    std::mt19937 random { 2 };

    const WorkerEntry& entry(const WorkerId& id) const { return workers_.at(id).entry; }
    bool isUp(const WorkerId& id) const { return workers_.at(id).up; }

    // Promises that were broken, in words.
    const std::vector<std::string>& violations() const { return violations_; }
    int startsOf(const JobId&) const;
    int running() const;
    std::vector<std::string> checkpointsUsed; // of all starts that carried one, as "task checkpoint"

private:
    friend class SimWorkerClient;

    struct Run {
        TaskKey task;
        int run = 0;
        Milliseconds startedAt { 0 };
        bool together = false; // its gang is whole, or it is not in a gang
        bool stopping = false;
        std::string checkpoint;
    };
    struct Life {
        WorkerEntry entry;
        bool up = true;
        std::uint64_t number = 0;
        Milliseconds startedAt { 0 };
        std::int64_t fence = 0;
        Milliseconds leaseEnd { 0 }; // on its own clock
        std::map<TaskKey, Run> runs;
        std::map<TaskKey, int> refusedRuns; // runs up to this one can't start any more
        std::vector<EndedRun> ended;
        std::int64_t lastEnd = 0;
        std::int64_t acknowledged = 0;
        std::vector<std::function<void()>> waiting; // calls that wait for an end
    };

    Milliseconds clockOf(const Life&) const;
    OrderAnswer start(Life&, const StartOrder&, Milliseconds leaseEnd, std::int64_t fence);
    OrderAnswer stop(Life&, const TaskKey&, int run, std::int64_t fence);
    WorkerReport report(const Life&) const;
    void extend(Life&, Milliseconds leaseEnd);
    void end(Life&, const TaskKey&, RunEnd, const std::string& checkpoint);
    void finishLater(const WorkerId&, const Run&);
    void joinGang(const TaskKey&, int run);
    void endGang(const TaskKey&, int run, RunEnd);
    void acknowledge(Life&, std::int64_t number);
    void checkLease(const WorkerId&, std::uint64_t life);
    void violate(const std::string& text) { violations_.push_back(text); }
    const StepSpec* specOf(const TaskKey&) const;

    SimWorld& world_;
    SimStore& store_;
    Options options_;
    std::map<JobId, JobSpec> specs_;
    std::map<WorkerId, Life> workers_;
    std::set<TaskKey> notedDone_; // ends that have been acknowledged
    std::map<JobId, int> starts_;
    std::vector<std::string> violations_;
};

// One instance's calls to the workers.
class SimWorkerClient final : public WorkerPort {
public:
    SimWorkerClient(SimWorld& world, SimFleet& fleet)
        : world_(world)
        , fleet_(fleet)
    {
    }

    bool dead = false;

    void start(const WorkerEntry&, const StartOrder&, Milliseconds leaseEnd, FencingToken,
        std::function<void(const OrderAnswer&)>) override;
    void stop(
        const WorkerEntry&, const TaskKey&, int run, FencingToken, std::function<void(const OrderAnswer&)>) override;
    void hold(const WorkerEntry&, Milliseconds leaseEnd, FencingToken, std::int64_t acknowledged, Milliseconds wait,
        std::function<void(Result<WorkerReport>)>) override;

private:
    SimFleet::Life* reach(const WorkerId&);
    void order(const WorkerId&, const std::function<OrderAnswer(SimFleet::Life&)>& work,
        const std::function<void(const OrderAnswer&)>& handler);

    SimWorld& world_;
    SimFleet& fleet_;
};

} // namespace rosemarylink::jobs
