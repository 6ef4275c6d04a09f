#pragma once

#include "Job.h"

#include "rosemarylink/policy/SchedulingPolicy.h"

namespace rosemarylink::policy::internal {

// The state and rules that all policies share: the fleet, the jobs and their phases, the free capacity, and what
// happens to a job when its gang ended. A subclass decides which jobs start where and which are stopped.
class PolicyBase : public SchedulingPolicy {
public:
    Status addWorker(const model::WorkerSpec&, Timestamp) override;
    void setWorkerState(const WorkerId&, model::ResourceState, Timestamp) override;
    Status configure(const PolicyConfig&, Timestamp) override;
    Result<Admission> submit(const model::JobSpec&, Timestamp) override;
    Status restore(const model::JobSpec&, const Placement&, bool borrowed, Timestamp started) override;
    void cancel(const JobId&, Timestamp) override;
    void gangStarted(const JobId&, Timestamp) override;
    JobDisposition gangEnded(const JobId&, GangOutcome, Timestamp) override;
    void taskFailed(const JobId&, const WorkerId&, Timestamp) override;
    Decisions decide(Timestamp) override;
    Explanation explain(const JobId&, Timestamp) const override;
    PolicySnapshot snapshot(Timestamp) const override;

protected:
    struct AccountUse {
        model::Account declared;
        bool isDeclared = false;
        std::int64_t inUse = 0; // accelerators
        std::int64_t borrowed = 0; // accelerators
        std::int64_t running = 0; // jobs that are placed
    };

    // Adds the decisions of the policy. The stops of cancelled jobs and of gangs on lost or leaving workers are already
    // included.
    virtual void schedule(Decisions&, Timestamp) = 0;

    // Hooks with which a subclass updates its own state and adds its own rules.
    virtual void workerAdded(int) { }
    virtual void availabilityChanged(int) { }
    virtual void configurationChanged() { }
    virtual void prepareSubmission() { }
    virtual Status checkFeasible(const model::JobSpec&, const GangShape&) const { return okStatus(); }
    virtual bool gangRestored(Job&, bool) { return true; }
    virtual void capacityReleased(Job&) { }
    virtual void gangFinished(Job&, GangOutcome, Timestamp) { }
    virtual void taskFailedOn(Job&, int, Timestamp) { }
    virtual bool isQuarantined(int) const { return false; }
    virtual void fillExplanation(Explanation&, const Job&, Timestamp) const { }
    virtual void fillGuarantees(PolicySnapshot&) const { }
    virtual Milliseconds expectedWait(const Job&, Timestamp) const { return Milliseconds(0); }

    bool isAvailable(int worker) const;
    void refreshAvailability(int worker);
    bool withinQuota(const Job&) const;
    AccountUse& account(const AccountId& id) { return accounts_[id.value()]; }
    const AccountUse* findAccount(const AccountId&) const;

    // Allocates capacity for the job on the workers and removes the job from the queue.
    void allocate(Job&, std::vector<int> workers, CapacityClass, Phase);
    void release(Job&); // frees the capacity; the phase is unchanged
    void start(Job&, Decisions&, Timestamp);
    void stop(Job&, StopReason, bool checkpointFirst, Decisions&);
    StartDecision makeStart(const Job&) const;

    Fleet fleet_;
    JobTable jobs_;
    CapacityIndex free_; // total capacity less the capacity of placed jobs
    CapacityIndex totalCapacity_; // the empty fleet, every worker schedulable
    CapacityIndex availableCapacity_; // the empty fleet, only available workers schedulable
    std::vector<std::vector<Job*>> jobsOn_; // by worker: the jobs that are placed there
    PolicyConfig config_;
    std::map<std::string, AccountUse> accounts_;
    bool changed_ = true; // an event since the last decision may change the next one

private:
    JobDisposition dispositionAfter(const Job&, GangOutcome) const;
    void stopCancelledAndDisrupted(Decisions&);
    Status checkSubmission(const model::JobSpec&, const GangShape&) const;
    int regionOf(const model::JobSpec&) const;
    std::string waitReason(const Job&, Timestamp) const;
};

} // namespace rosemarylink::policy::internal
