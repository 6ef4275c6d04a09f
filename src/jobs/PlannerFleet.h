#pragma once

#include "Planner.h"

#include <optional>
#include <vector>

namespace rosemarylink::jobs::internal {

// Capacity of a worker that is held for a gang from a time on. Other work may use it until then.
struct CapacityHold {
    Milliseconds from { 0 };
    Resources spare; // free from that time on, beside what is held
    int priority = 0; // of the gang
    bool againstPeers = false; // also binds work of the gang's own priority, not only that of lower ones
};

// The state of a worker while a plan is made.
struct FleetWorker {
    const PlanWorker* row = nullptr;
    Resources free;
    Resources releasing;
    bool schedulable = false;
    std::optional<CapacityHold> hold;
    bool keptForUrgent = false; // its free capacity is left to urgent work
    bool probed = false; // a task is placed on it to see whether it is still slow
};

using FleetWorkers = std::vector<FleetWorker*>;

// The capacity of a pool while a plan is made: which tasks of a step fit where, and where they fit best. Costs grow
// with the number of workers that have capacity for a step, since an overloaded pool has many waiting steps and few
// such workers.
class PlannerFleet {
public:
    // The input must outlive the fleet.
    explicit PlannerFleet(const PlanInput&);
    PlannerFleet(const PlannerFleet&) = delete;
    PlannerFleet& operator=(const PlannerFleet&) = delete;

    const FleetWorkers& all() const { return all_; }
    const std::vector<FleetWorkers>& racks() const { return racks_; }

    // The number of the step's tasks that must start now wherever there is room, because nothing of it has run for a
    // while and the pool is mostly free. For a gang that is all of its tasks if there is room for them twice over,
    // otherwise 0; for another step as many as there is room for twice over.
    std::size_t countMustStart(const PlanStep&) const;

    // Whether a step that is no gang and names no rack must not wait for a single rack any longer.
    bool mustSpread(const PlanStep&) const;

    // Number of tasks of this size that fit into the available resources, at most `limit`. A task without any demand
    // would fit without limit.
    static int countFitting(const Resources& perTask, const Resources& available, std::size_t limit);

    // Whether the worker may be given work and has the label that the step needs.
    static bool mayRun(const PlanStep&, const FleetWorker&);

    // The same for a worker whose free capacity is not kept for urgent work.
    static bool isEligible(const PlanStep&, const FleetWorker&);

    // Whether the step must not use the worker because runs have failed there recently. A worker that fails its runs at
    // once is always free, so it attracts work; it costs a gang all of its members, and a last attempt the whole job.
    // Once many workers are suspect the cause is rather in the jobs, and all workers are used.
    bool isTooRisky(const PlanStep&, const FleetWorker&) const;

    // Whether the step must not use the worker because its job would end too late there. A gang ends with its slowest
    // member. If a large part of the workers is slow, or the step has waited for long, all are used.
    bool isTooSlow(const PlanStep&, const FleetWorker&) const;

    // Number of the step's waiting tasks that fit on the worker beside what it may run already, optionally counting
    // resources that are being released. On a worker with a hold that binds the step, tasks that may still run when the
    // hold begins get only what is spare then.
    int capacityOn(const PlanStep&, const FleetWorker&, bool includeReleasing) const;

    // Selects workers for `count` tasks, one element per task. Prefers workers that the previous plan reserved for the
    // step, then those with the least free capacity, so that large blocks stay free (best fit). Returns an empty vector
    // if the tasks do not all fit.
    FleetWorkers select(
        const PlanStep&, const FleetWorkers& candidates, std::size_t count, bool includeReleasing) const;

    // Selects workers for `count` tasks wherever there is room, also on workers that are held for others, suspect or
    // kept for urgent work, but on those last. Returns an empty vector if the tasks do not all fit.
    FleetWorkers selectAnywhere(const PlanStep&, std::size_t count) const;

    // Number of the step's tasks that selectAnywhere() finds room for, or `enough` if there are at least as many.
    std::size_t countAnywhere(const PlanStep&, std::size_t enough) const;

    // Selects workers for all of the step's tasks in one rack: the rack that already has a reservation for the step,
    // otherwise the fitting one with the fewest free accelerators.
    FleetWorkers selectInOneRack(const PlanStep&, bool includeReleasing) const;

    // The workers of the rack on which tasks of a step that is no gang are to be placed together: of the racks of its
    // active tasks if it has any, otherwise of the rack in which all of its tasks fit with the fewest free
    // accelerators, or in which most of them fit.
    FleetWorkers selectRackFor(const PlanStep&) const;

    // Whether the rack of the step's data has a worker on which a task of the step fits if nothing runs there.
    bool fitsEmptyDataRack(const PlanStep&) const;

    // Whether some rack could hold all of the step's tasks if nothing ran there.
    bool fitsAnyEmptyRack(const PlanStep&) const;

    // Whether work keeps away from the worker because it is slow.
    bool isAvoided(const FleetWorker& worker) const { return worker.row->isSlow() && fewSlow_; }

    // Whether about half or less of the accelerators, or of the cores of a pool without accelerators, is in use on
    // workers that may be given work.
    bool isMostlyFree() const { return mostlyFree_; }

    // Applies the step's limit of tasks on one worker to `count`.
    static int applySpreadLimit(const PlanStep&, const FleetWorker&, int count);

private:
    struct Candidate;

    bool endsInTimeOn(const PlanStep&, const FleetWorker&) const;
    // Whether the step keeps away from the worker because it is slow, but for a probe.
    bool avoids(const PlanStep&, const FleetWorker&) const;
    bool mayProbe(const PlanStep&, const FleetWorker&) const;

    Candidate rank(const PlanStep&, FleetWorker*, int capacity) const;
    static FleetWorkers chooseBest(std::vector<Candidate>& fitting, std::size_t count);
    static int capacityAnywhere(const PlanStep&, const FleetWorker&, std::size_t limit);

    const PlanInput& input_;
    std::vector<FleetWorker> workers_;
    FleetWorkers all_;
    std::vector<FleetWorkers> racks_;
    bool fewSuspects_ = false;
    bool fewSlow_ = false;
    bool mostlyFree_ = false;
};

} // namespace rosemarylink::jobs::internal
