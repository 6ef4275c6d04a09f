#pragma once

#include "GuaranteedSlots.h"
#include "PolicyBase.h"
#include "PresetRules.h"
#include "Quarantine.h"
#include "QueueOrder.h"
#include "ReclaimPlanner.h"
#include "Reservations.h"

namespace rosemarylink::policy::internal {

// The default policy. Guarantees come first and are reclaimed by stopping borrowed work, then urgent work. Large gangs
// get reservations, and borrowed work is stopped for them once their wait has cost enough more than the stops would.
// All other work is ordered by worth and fills the remaining capacity.
class DefaultPolicy final : public PolicyBase {
public:
    DefaultPolicy();

    const GuaranteedSlots& guaranteedSlots() const { return slots_; }

protected:
    void schedule(Decisions&, Timestamp) override;
    void workerAdded(int) override;
    void availabilityChanged(int) override;
    void configurationChanged() override;
    void prepareSubmission() override { slots_.replan(); }
    Status checkFeasible(const model::JobSpec&, const GangShape&) const override;
    bool gangRestored(Job&, bool borrowed) override;
    void capacityReleased(Job&) override;
    void gangFinished(Job&, GangOutcome, Timestamp) override;
    void taskFailedOn(Job&, int, Timestamp) override;
    bool isQuarantined(int worker) const override { return quarantine_.isQuarantined(worker); }
    void fillExplanation(Explanation&, const Job&, Timestamp) const override;
    void fillGuarantees(PolicySnapshot&) const override;
    Milliseconds expectedWait(const Job&, Timestamp) const override;

private:
    // A search without a result. The same search fails again within the same decision, because capacity is only
    // allocated, not freed, while it is made. A withdrawn start frees capacity and discards the failed searches.
    struct FailedSearch {
        GangShape shape;
        unsigned blockingReservations;
        bool dedicated;
    };

    void startAwaitingJobs(Decisions&, Timestamp);
    void startProbes(Decisions&, Timestamp);
    void startLargeGangs(const std::vector<Job*>&, Decisions&, Timestamp);
    void preemptForReservation(const Reservation&, Decisions&, Timestamp);
    bool tryStart(Job&, Decisions&, Timestamp);
    bool tryFreeCapacity(Job&, Decisions&, Timestamp);
    bool tryFreeSlot(Job&, Decisions&, Timestamp);
    bool tryReclaimSlot(Job&, Decisions&, Timestamp);
    std::vector<int> candidateSlots(const Job&) const;
    bool tryPreemptForUrgent(Job&, Decisions&, Timestamp);
    bool withinBorrowingLimit(const Job&) const;
    bool leavesQuotaHeadroom(const Job&, Timestamp) const;
    const Job* gangHoldingQuota(const Job&, Timestamp) const;
    bool leavesUrgentHeadroom(const Job&, const std::vector<int>& workers, Timestamp) const;
    bool waitOutweighsCost(const ReclaimPlan&, const Job&, Timestamp) const;
    void preemptForDedicated(Job&, Decisions&, Timestamp);
    bool isHeldForLargerGang(const GuaranteedSlot&, const Job&, Timestamp) const;
    std::vector<std::vector<int>> groupsInSlot(const GuaranteedSlot&, const Job&) const;
    std::optional<ReclaimPlan> planInSlot(
        int slot, const Job&, bool mayReclaim, const std::vector<char>* excluded, Timestamp);
    std::optional<ReclaimPlan> planInMovedSlot(int slot, const Job&, double cost, Timestamp);
    // Allocates the placement of the plan to the job, stops the jobs in the plan, and starts the job if the capacity is
    // already free.
    void commitPlan(
        Job&, ReclaimPlan, CapacityClass, int slot, StopReason, bool checkpointFirst, Decisions&, Timestamp);
    // Puts a job that these decisions start back into the queue. Gives false if they do not start it.
    bool withdrawStart(Job&, Decisions&);
    bool startIfFree(Job&, Decisions&, Timestamp);
    Timestamp expectedEnd(const Job&, Timestamp now) const;
    void excludeDrainingRacks();
    bool isAvoided(const AvoidedWorker&, Timestamp) const;
    bool avoidsWorkers(const Job&, Timestamp) const;
    void excludeAvoidedWorkers(const Job&, Timestamp);
    const std::vector<char>* avoidedWorkers(const Job&, Timestamp);
    const std::vector<char>* excludedWorkers(const Job&, Timestamp);
    void setShares();
    ReclaimPlanner planner(Timestamp now, bool urgent = false) const
    {
        return { fleet_, free_, jobsOn_, now, !urgent };
    }
    bool isLarge(const Job&) const;

    RunTimeEstimates estimates_;
    Quarantine quarantine_;
    GuaranteedSlots slots_;
    Reservations reservations_;
    QueueOrder order_;
    const PresetRules* rules_;
    std::vector<FailedSearch> failedSearches_; // of the current decision
    std::map<std::string, std::vector<Job*>> waitingLargeGangs_; // by account, in order of submission
    std::vector<char> excluded_; // reused buffer for excluded workers, by worker
    Timestamp nextPeriodicDecision_;
};

} // namespace rosemarylink::policy::internal
