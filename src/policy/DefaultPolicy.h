#pragma once

#include "GuaranteedSlots.h"
#include "PolicyBase.h"
#include "PresetTable.h"
#include "Quarantine.h"
#include "QueueOrder.h"
#include "ReclaimPlanner.h"
#include "Reservations.h"

namespace rosemarylink::policy::internal {

// The policy in use. Guarantees come first and are reclaimed by stopping borrowed work; urgent work follows; large
// gangs get reservations and room is made for them when the wait has cost more than the move; everything else is
// ordered by worth and filled in around them.
class DefaultPolicy final : public PolicyBase {
public:
    DefaultPolicy();

    const GuaranteedSlots& guaranteedSlots() const { return slots_; }

protected:
    void choose(Decisions&, Timestamp) override;
    void workerAdded(int) override;
    void availabilityChanged(int) override;
    void configured() override;
    void prepareSubmission() override { slots_.replan(); }
    Status checkFeasible(const model::JobSpec&, const GangShape&) const override;
    bool adoptPlace(Job&, bool borrowed) override;
    void placeReleased(Job&) override;
    void gangFinished(Job&, GangOutcome, Timestamp) override;
    void taskFailedOn(Job&, int, Timestamp) override;
    bool isQuarantined(int worker) const override { return quarantine_.isQuarantined(worker); }
    void fillExplanation(Explanation&, const Job&, Timestamp) const override;
    void fillGuarantees(PolicySnapshot&) const override;
    Milliseconds expectedWait(const Job&, Timestamp) const override;

private:
    // A search that found nothing; the same search fails again until capacity is freed.
    struct FailedSearch {
        GangShape shape;
        unsigned blockingSet;
        bool firm;
    };

    void startClaims(Decisions&, Timestamp);
    void startProbes(Decisions&, Timestamp);
    void startLargeGangs(const std::vector<Job*>&, Decisions&, Timestamp);
    void makeRoom(const Reservation&, Decisions&, Timestamp);
    bool tryStart(Job&, Decisions&, Timestamp);
    bool tryFree(Job&, Decisions&, Timestamp);
    bool tryFreeSlot(Job&, Decisions&, Timestamp);
    bool tryReclaim(Job&, Decisions&, Timestamp);
    std::vector<int> candidateSlots(const Job&) const;
    bool tryUrgent(Job&, Decisions&, Timestamp);
    bool mayLend(const Job&) const;
    bool leavesQuota(const Job&, Timestamp) const;
    const Job* quotaHeldFor(const Job&, Timestamp) const;
    bool leavesUrgentRoom(const Job&, const std::vector<int>& workers, Timestamp) const;
    bool paysOff(const ReclaimPlan&, const Job&, Timestamp) const;
    void makeFirmRoom(Job&, Decisions&, Timestamp);
    bool isKeptForLarger(const GuaranteedSlot&, const Job&, Timestamp) const;
    std::vector<std::vector<int>> groupsInSlot(const GuaranteedSlot&, const Job&) const;
    std::optional<ReclaimPlan> planInSlot(
        int slot, const Job&, bool mayReclaim, const std::vector<char>* closed, Timestamp);
    std::optional<ReclaimPlan> planInMovedSlot(int slot, const Job&, double cost, Timestamp);
    // Takes the place; stops what is in the way and starts at once when nothing is.
    void carryOut(Job&, ReclaimPlan, Hold, int slot, StopReason, bool checkpointFirst, Decisions&, Timestamp);
    bool startIfFree(Job&, Decisions&, Timestamp);
    Timestamp expectedEnd(const Job&, Timestamp now) const;
    void closeDrainingRacks();
    bool isAvoided(const AvoidedWorker&, Timestamp) const;
    bool hasAvoided(const Job&, Timestamp) const;
    void closeAvoided(const Job&, Timestamp);
    const std::vector<char>* avoidedBy(const Job&, Timestamp);
    const std::vector<char>* closedFor(const Job&, Timestamp);
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
    std::vector<FailedSearch> failedSearches_; // of the present decision
    std::map<std::string, std::vector<Job*>> largeWaiting_; // by account, the longest waiting first
    std::vector<char> closed_; // scratch, by worker
    Timestamp nextReview_;
};

} // namespace rosemarylink::policy::internal
