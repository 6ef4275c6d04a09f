#pragma once

#include "Job.h"

#include "rosemarylink/policy/SchedulingPolicy.h"

namespace rosemarylink::policy::internal {

// What all policies share: the fleet, the jobs and their phases, free capacity and the rules for ended gangs. A policy
// adds the choice of what starts where and what is stopped.
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
        std::int64_t running = 0; // jobs that hold a place
    };

    // The choice of one policy. The stops for cancelled jobs and unusable workers are there already.
    virtual void choose(Decisions&, Timestamp) = 0;

    // Called after the change; a policy updates what it derives.
    virtual void workerAdded(int) { }
    virtual void availabilityChanged(int) { }
    virtual void configured() { }
    virtual void prepareSubmission() { }
    virtual Status checkFeasible(const model::JobSpec&, const GangShape&) const { return okStatus(); }
    virtual bool adoptPlace(Job&, bool) { return true; }
    virtual void placeReleased(Job&) { }
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

    // Takes the place in the free ledger; the job leaves the queue.
    void occupy(Job&, std::vector<int> workers, Hold, Phase);
    void release(Job&); // gives the place back; the phase is unchanged
    void start(Job&, Decisions&, Timestamp);
    void stop(Job&, StopReason, bool checkpointFirst, Decisions&);
    StartDecision makeStart(const Job&) const;

    Fleet fleet_;
    JobTable jobs_;
    Ledger free_; // capacity less all places held
    Ledger capacity_; // the empty fleet, every worker open
    Ledger usable_; // the empty fleet, only available workers open
    std::vector<std::vector<Job*>> jobsOn_; // by worker: the jobs that hold a place there
    PolicyConfig config_;
    std::map<std::string, AccountUse> accounts_;
    bool changed_ = true; // something happened since the last decision

private:
    JobDisposition dispositionAfter(const Job&, GangOutcome) const;
    void stopUnusable(Decisions&);
    Status checkSubmission(const model::JobSpec&, const GangShape&) const;
    int regionOf(const model::JobSpec&) const;
    std::string waitReason(const Job&, Timestamp) const;
};

} // namespace rosemarylink::policy::internal
