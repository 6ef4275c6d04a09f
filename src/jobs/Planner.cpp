#include "Planner.h"

#include "GangReservations.h"
#include "PlannerFleet.h"
#include "PreemptionChoice.h"
#include "PreemptionPatience.h"
#include "StepOrder.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // How long a step waits for its preferred rack, as a multiple of its estimate. A task on another rack takes three
    // times as long, so waiting pays off for up to twice the estimate; the limit is half of that because the rack may
    // not become free at all.
    constexpr double rackWaitFactor = 1.0;

    // Weight of an accelerator in lost core-seconds, as defined by the platform's users.
    constexpr double coresPerAccelerator = 8.0;

    class PlanBuilder {
    public:
        explicit PlanBuilder(const PlanInput& input)
            : input_(input)
            , fleet_(input)
            , gangReservations_(fleet_, input.now)
            , preemptions_(input, fleet_)
            , patience_(input)
        {
        }

        Plan run()
        {
            bool headroomExcluded = false;
            for (const PlanStep* step : orderSteps(input_)) {
                if (step->priority != 0 && !std::exchange(headroomExcluded, true))
                    excludeHeadroom();
                planStep(*step);
            }
            return std::move(plan_);
        }

    private:
        void planStep(const PlanStep& step)
        {
            plannedStep_ = static_cast<std::size_t>(&step - input_.steps.data());
            const std::size_t placedBefore = plan_.placements.size();
            const std::size_t reservationsBefore = plan_.reservations.size();
            const bool spreadAllowed = maySpread(step);
            bool held = false;
            if (startsLeft() < (step.spec->gang ? step.tasks.size() : 1)) {
                plan_.waiting.push_back({ plannedStep_, step.tasks.size(), WaitReason::TooManyRuns });
                return;
            }
            if (step.spec->gang)
                held = planGang(step, spreadAllowed);
            else
                planTasks(step, spreadAllowed);
            const std::size_t placed = plan_.placements.size() - placedBefore;
            if (placed == step.tasks.size())
                return;
            WaitReason reason = spreadAllowed ? WaitReason::NoCapacity : WaitReason::WaitsForRack;
            if (std::exchange(waitsForEnds_, false))
                reason = WaitReason::EndsExpected;
            else if (held)
                reason = WaitReason::Reserved;
            else if (plan_.reservations.size() > reservationsBefore)
                reason = WaitReason::CapacityBeingFreed;
            plan_.waiting.push_back({ plannedStep_, step.tasks.size() - placed, reason });
        }

        // Tasks that demand little fit on the workers in any number.
        std::size_t startsLeft() const { return input_.maximumStarts - plan_.placements.size(); }

        // Marks enough workers as kept for urgent work to leave the urgent headroom free. It takes all free
        // accelerators of a worker, first from workers with the most urgent work, then from those with the most free
        // accelerators.
        void excludeHeadroom()
        {
            if (input_.urgentHeadroom <= 0)
                return;
            FleetWorkers workers = fleet_.all();
            std::sort(workers.begin(), workers.end(), [](const FleetWorker* a, const FleetWorker* b) {
                return std::make_tuple(a->row->urgentAccelerators, a->free.accelerators, a->row->id)
                    > std::make_tuple(b->row->urgentAccelerators, b->free.accelerators, b->row->id);
            });
            std::int64_t left = input_.urgentHeadroom;
            for (FleetWorker* worker : workers) {
                if (!worker->schedulable || fleet_.isAvoided(*worker) || worker->free.accelerators <= 0
                    || worker->free.accelerators > left)
                    continue;
                left -= worker->free.accelerators;
                worker->keptForUrgent = true;
            }
        }

        bool maySpread(const PlanStep& step) const
        {
            if (!step.spec->rackLocal && step.spec->dataRack.empty())
                return true;
            if (step.spec->rackLocal && !fleet_.fitsAnyEmptyRack(step))
                return true;
            if (fleet_.mustSpread(step))
                return true;
            if (!step.spec->dataRack.empty() && !fleet_.fitsEmptyDataRack(step))
                return true;
            const Milliseconds waited = input_.now - step.readyAt;
            if (step.priority == 0)
                return waited >= input_.urgentRackWait;
            return static_cast<double>(waited.count())
                >= rackWaitFactor * static_cast<double>(step.expectedRunTime.count());
        }

        FleetWorkers selectForGang(const PlanStep& step, bool preferRack, bool spread, bool includeReleasing) const
        {
            FleetWorkers chosen;
            if (preferRack)
                chosen = fleet_.selectInOneRack(step, includeReleasing);
            if (chosen.empty() && spread)
                chosen = fleet_.select(step, fleet_.all(), step.tasks.size(), includeReleasing);
            return chosen;
        }

        struct GangSize {
            Resources perTask;
            std::size_t tasks;
            bool spread; // over several racks
            int priority;
            Milliseconds expectedRunTime;
        };

        // Whether a gang that needs no more than this one has failed before in this plan. What is available only
        // shrinks while a plan is made, except by preemptions.
        static bool isKnown(const std::vector<GangSize>& failed, const PlanStep& step, bool spread)
        {
            return std::any_of(failed.begin(), failed.end(), [&](const GangSize& other) {
                return other.perTask.fitsIn(step.spec->perTask) && other.tasks <= step.tasks.size()
                    && (other.spread || !spread) && other.priority <= step.priority
                    && other.expectedRunTime <= step.expectedRunTime;
            });
        }

        static void remember(std::vector<GangSize>& failed, const PlanStep& step, bool spread)
        {
            if (step.spec->workerLabel.empty() && step.spec->maximumPerWorker == 0)
                failed.push_back(
                    { step.spec->perTask, step.tasks.size(), spread, step.priority, step.expectedRunTime });
        }

        // Returns whether workers are reserved for the gang against the expected ends of what runs there.
        bool planGang(const PlanStep& step, bool spread)
        {
            const bool preferRack = step.spec->rackLocal || !step.spec->dataRack.empty();
            FleetWorkers chosen;
            if (!isKnown(withoutCapacity_, step, spread)) {
                chosen = selectForGang(step, preferRack, spread, /*includeReleasing=*/false);
                if (!chosen.empty()) {
                    place(step, chosen);
                    return false;
                }
            }
            if (placeAnywhere(step))
                return false;
            if (!isKnown(withoutCapacity_, step, spread)) {
                // Reserves capacity that is already being freed instead of preempting more work.
                chosen = selectForGang(step, preferRack, spread, /*includeReleasing=*/true);
                if (!chosen.empty()) {
                    reserve(step, chosen);
                    return false;
                }
                remember(withoutCapacity_, step, spread);
            }
            if (step.priority == 0) {
                preemptOrWait(step, preferRack && !spread);
                return false;
            }
            if (input_.mayPreemptForOthers && !isKnown(withoutVictims_, step, spread)) {
                if (preemptFor(step, preferRack && !spread))
                    return false;
                remember(withoutVictims_, step, spread);
            }
            chosen = gangReservations_.reserve(step, preferRack && !spread);
            if (chosen.empty())
                return false;
            record(step, chosen);
            return true;
        }

        // Places the tasks of a step that must start wherever there is room. Returns whether there are any.
        bool placeAnywhere(const PlanStep& step)
        {
            const std::size_t count = std::min(fleet_.countMustStart(step), startsLeft());
            if (count == 0)
                return false;
            const FleetWorkers chosen = fleet_.selectAnywhere(step, count);
            place(step, chosen);
            return !chosen.empty();
        }

        void planTasks(const PlanStep& step, bool otherRacksAllowed)
        {
            // A step that names no rack may use any, but only one.
            const bool anyRack = !otherRacksAllowed && step.spec->dataRack.empty();
            FleetWorkers candidates;
            std::size_t fitting = 0;
            for (FleetWorker* worker : anyRack ? fleet_.selectRackFor(step) : fleet_.all()) {
                if (!otherRacksAllowed && !anyRack && worker->row->rack != step.spec->dataRack)
                    continue;
                const int capacity = fleet_.capacityOn(step, *worker, /*includeReleasing=*/false);
                if (capacity <= 0)
                    continue;
                fitting += static_cast<std::size_t>(capacity);
                candidates.push_back(worker);
            }
            const FleetWorkers chosen = fleet_.select(
                step, candidates, std::min({ fitting, step.tasks.size(), startsLeft() }), /*includeReleasing=*/false);
            place(step, chosen);
            if (chosen.empty() && step.activeTasks.empty() && placeAnywhere(step))
                return;
            if (step.priority != 0 || chosen.size() == step.tasks.size())
                return;
            PlanStep remaining = step;
            remaining.tasks.erase(
                remaining.tasks.begin(), remaining.tasks.begin() + static_cast<std::ptrdiff_t>(chosen.size()));
            for (const FleetWorker* worker : chosen)
                ++remaining.activeTasks[worker->row->id];
            const FleetWorkers releasing
                = fleet_.select(remaining, fleet_.all(), remaining.tasks.size(), /*includeReleasing=*/true);
            if (releasing.empty())
                preemptOrWait(remaining, /*oneRack=*/false);
            else
                reserve(remaining, releasing);
        }

        void place(const PlanStep& step, const FleetWorkers& chosen)
        {
            for (std::size_t number = 0; number < chosen.size(); ++number) {
                chosen[number]->free -= step.spec->perTask;
                chosen[number]->probed = true;
                if (chosen[number]->hold && !endsBefore(step, chosen[number]->hold->from))
                    chosen[number]->hold->spare -= step.spec->perTask;
                plan_.placements.push_back(
                    { { step.job, step.occurrence, step.step, step.tasks[number] }, chosen[number]->row->id });
            }
        }

        bool endsBefore(const PlanStep& step, Milliseconds time) const
        {
            return input_.now + step.expectedRunTime <= time;
        }

        void reserve(const PlanStep& step, const FleetWorkers& chosen)
        {
            for (FleetWorker* worker : chosen)
                worker->free -= step.spec->perTask;
            record(step, chosen);
        }

        void record(const PlanStep& step, const FleetWorkers& chosen)
        {
            if (chosen.empty())
                return;
            CapacityReservation reservation { step.job, step.occurrence, step.step, {} };
            for (const FleetWorker* worker : chosen)
                reservation.workers.insert(worker->row->id);
            plan_.reservations.push_back(std::move(reservation));
        }

        // Preempts other work for an urgent step, or keeps what fits of it free while it waits for ends.
        void preemptOrWait(const PlanStep& step, bool oneRack)
        {
            patience_.addWaiting(step);
            if (!waitsForEnds(step, /*lostCoreSeconds=*/0)) {
                preemptFor(step, oneRack);
                if (!waitsForEnds_)
                    return;
            }
            reserve(step, fittingPart(step, oneRack));
        }

        // Whether the step does not preempt work with this loss yet. Then sets when to plan again.
        bool waitsForEnds(const PlanStep& step, double lostCoreSeconds)
        {
            const Milliseconds until = step.readyAt + patience_.waitBefore(step, lostCoreSeconds);
            if (input_.now >= until)
                return false;
            waitsForEnds_ = true;
            plan_.planAgainAt = std::min(until, plan_.planAgainAt.value_or(until));
            return true;
        }

        // Workers for as many of the step's tasks as fit now, of one rack if `oneRack`.
        FleetWorkers fittingPart(const PlanStep& step, bool oneRack) const
        {
            const auto fitting = [&](const FleetWorkers& workers) {
                std::size_t count = 0;
                for (const FleetWorker* worker : workers)
                    count += static_cast<std::size_t>(fleet_.capacityOn(step, *worker, /*includeReleasing=*/true));
                return std::min(count, step.tasks.size());
            };
            const FleetWorkers* candidates = &fleet_.all();
            if (oneRack) {
                const auto most = std::max_element(fleet_.racks().begin(), fleet_.racks().end(),
                    [&](const FleetWorkers& a, const FleetWorkers& b) { return fitting(a) < fitting(b); });
                if (most == fleet_.racks().end())
                    return {};
                candidates = &*most;
            }
            return fleet_.select(step, *candidates, fitting(*candidates), /*includeReleasing=*/true);
        }

        // Preempts the work with the smallest loss that makes the step fit, and reserves the freed capacity. With
        // `oneRack`, only capacity of a single rack counts. Returns whether work is preempted.
        bool preemptFor(const PlanStep& step, bool oneRack)
        {
            if (input_.running.empty()) {
                plan_.wantsPreemption = true;
                return false;
            }
            std::optional<PreemptionChoice> best;
            if (oneRack || step.spec->rackLocal) {
                for (const FleetWorkers& members : fleet_.racks()) {
                    const auto choice = preemptions_.choose(step, members);
                    if (choice && (!best || choice->lostCoreSeconds < best->lostCoreSeconds))
                        best = choice;
                }
            }
            if (!best && !oneRack)
                best = preemptions_.choose(step, fleet_.all());
            if (!best || (step.priority == 0 && waitsForEnds(step, best->lostCoreSeconds)))
                return false;
            preemptions_.stop(*best);
            withoutCapacity_.clear();
            for (std::size_t work : best->work)
                plan_.preemptions.push_back({ work, plannedStep_ });
            const bool inRack = oneRack || step.spec->rackLocal;
            reserve(step, selectForGang(step, inRack, /*spread=*/true, /*includeReleasing=*/true));
            return true;
        }

        const PlanInput& input_;
        PlannerFleet fleet_;
        std::vector<GangSize> withoutCapacity_; // gangs that do not fit
        std::vector<GangSize> withoutVictims_; // gangs that are not urgent and do not fit with preemptions either
        GangReservations gangReservations_;
        PreemptionChooser preemptions_;
        PreemptionPatience patience_;
        std::size_t plannedStep_ = 0; // index into PlanInput::steps
        bool waitsForEnds_ = false; // of that step
        Plan plan_;
    };

} // namespace

double weightedCores(const Resources& resources)
{
    return static_cast<double>(resources.milliCores) / 1000.0
        + coresPerAccelerator * static_cast<double>(resources.accelerators);
}

std::int64_t unitAccelerators(const StepSpec& step)
{
    return step.perTask.accelerators * (step.gang ? step.taskCount : 1);
}

const char* waitReasonName(WaitReason reason)
{
    switch (reason) {
    case WaitReason::NoCapacity:
        return "no-room";
    case WaitReason::CapacityBeingFreed:
        return "room-is-freed";
    case WaitReason::EndsExpected:
        return "ends-expected";
    case WaitReason::Reserved:
        return "reserved";
    case WaitReason::TooManyRuns:
        return "too-many-runs";
    case WaitReason::WaitsForRack:
        return "waits-for-rack";
    }
    return "no-room";
}

Plan makePlan(const PlanInput& input) { return PlanBuilder(input).run(); }

} // namespace rosemarylink::jobs::internal
