#include "Planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // How long a step waits for its preferred rack, as a multiple of its estimate. A task on another rack takes three
    // times as long, so waiting pays off for up to twice the estimate; the limit is half of that because the rack may
    // not become free at all.
    constexpr double rackWaitFactor = 1.0;

    using WorkersByRack = std::map<std::string, std::vector<PlanWorker*>>; // workers by rack

    class PlanBuilder {
    public:
        explicit PlanBuilder(const PlanInput& input)
            : input_(input)
            , workers_(input.workers)
        {
            for (PlanWorker& worker : workers_)
                racks_[worker.rack].push_back(&worker);
        }

        Plan run()
        {
            std::vector<const PlanStep*> order;
            order.reserve(input_.steps.size());
            for (const PlanStep& step : input_.steps)
                order.push_back(&step);
            std::stable_sort(order.begin(), order.end(),
                [this](const PlanStep* a, const PlanStep* b) { return rank(*a) < rank(*b); });
            bool reserved = false;
            for (const PlanStep* step : order) {
                if (step->priority != 0 && !std::exchange(reserved, true))
                    excludeHeadroom();
                const std::size_t placedBefore = plan_.placements.size();
                const std::size_t reservationsBefore = plan_.reservations.size();
                const bool spreadAllowed = maySpread(*step);
                if (step->spec->gang)
                    planGang(*step, spreadAllowed);
                else
                    planTasks(*step, spreadAllowed);
                const std::size_t placed = plan_.placements.size() - placedBefore;
                if (placed == step->tasks.size())
                    continue;
                const WaitReason reason = plan_.reservations.size() > reservationsBefore
                    ? WaitReason::CapacityBeingFreed
                    : spreadAllowed ? WaitReason::NoCapacity
                                    : WaitReason::WaitsForRack;
                plan_.waiting.push_back(
                    { static_cast<std::size_t>(step - input_.steps.data()), step->tasks.size() - placed, reason });
            }
            return std::move(plan_);
        }

    private:
        // Steps with smaller ranks are placed first. Guaranteed work comes first, then lower priority values. Within a
        // priority, steps that can still meet their objective precede those that can only end late, which precede
        // those that are past their late deadline. The first two groups are ordered by objective, the last by arrival.
        std::tuple<int, int, Milliseconds> rank(const PlanStep& step) const
        {
            const Milliseconds endsAt = input_.now + step.remaining;
            const int tier = endsAt <= step.objectiveAt ? 0 : endsAt <= step.lateDeadline ? 1 : 2;
            // Guaranteed work must start within a fixed time, so it is ordered by arrival even if it will end late.
            if (step.guaranteed)
                return { -1, 0, step.arrivedAt };
            return { step.priority, tier, tier == 2 ? step.arrivedAt : step.objectiveAt };
        }

        // Marks enough workers as not schedulable to keep the urgent headroom free. It takes all free accelerators of a
        // worker, first from workers with the most urgent work, then from those with the most free accelerators.
        void excludeHeadroom()
        {
            std::vector<PlanWorker*> workers = allWorkers();
            std::sort(workers.begin(), workers.end(), [](const PlanWorker* a, const PlanWorker* b) {
                return std::make_tuple(a->urgentAccelerators, a->free.accelerators, a->id)
                    > std::make_tuple(b->urgentAccelerators, b->free.accelerators, b->id);
            });
            std::int64_t left = input_.urgentHeadroom;
            for (PlanWorker* worker : workers) {
                if (!worker->schedulable || worker->free.accelerators <= 0 || worker->free.accelerators > left)
                    continue;
                left -= worker->free.accelerators;
                worker->schedulable = false;
            }
        }

        static int countFitting(const Resources& perTask, const Resources& available)
        {
            int count = std::numeric_limits<int>::max();
            if (perTask.milliCores > 0)
                count = std::min(
                    count, static_cast<int>(std::max<std::int64_t>(0, available.milliCores) / perTask.milliCores));
            if (perTask.megabytes > 0)
                count = std::min(
                    count, static_cast<int>(std::max<std::int64_t>(0, available.megabytes) / perTask.megabytes));
            if (perTask.accelerators > 0)
                count = std::min(
                    count, static_cast<int>(std::max<std::int64_t>(0, available.accelerators) / perTask.accelerators));
            return count;
        }

        bool isEligible(const PlanStep& step, const PlanWorker& worker) const
        {
            return worker.schedulable
                && (step.spec->workerLabel.empty() || worker.labels->count(step.spec->workerLabel) > 0);
        }

        int applySpreadLimit(const PlanStep& step, const PlanWorker& worker, int count) const
        {
            if (step.spec->maximumPerWorker == 0)
                return count;
            const auto present = step.activeTasks.find(worker.id);
            const int placed = present == step.activeTasks.end() ? 0 : present->second;
            return std::min(count, std::max(0, step.spec->maximumPerWorker - placed));
        }

        // Number of the step's tasks that fit on the worker, optionally counting resources that are being released.
        int capacityOn(const PlanStep& step, const PlanWorker& worker, bool includeReleasing) const
        {
            if (!isEligible(step, worker))
                return 0;
            Resources available = worker.free;
            if (includeReleasing)
                available += worker.releasing;
            return applySpreadLimit(step, worker, countFitting(step.spec->perTask, available));
        }

        // Selects workers for `count` tasks, one element per task, preferring the workers with the least free capacity
        // so that large blocks stay free (best fit). Returns an empty vector if the tasks do not all fit.
        std::vector<PlanWorker*> selectWorkers(
            const PlanStep& step, std::vector<PlanWorker*> candidates, int count, bool includeReleasing) const
        {
            // Workers that the previous plan reserved come first: if reservations moved with every plan, smaller work
            // would take the capacity that was freed for the step. Urgent work is packed onto few workers; spread over
            // all of them, it would leave none that can be emptied for a guaranteed task that needs a whole worker.
            const auto order = [&step, urgent = step.priority == 0](const PlanWorker* worker) {
                return std::make_tuple(step.reservedWorkers.count(worker->id) == 0, worker->suspect,
                    urgent ? -worker->urgentAccelerators : 0, worker->free.accelerators, worker->free.milliCores);
            };
            std::stable_sort(candidates.begin(), candidates.end(),
                [&order](const PlanWorker* a, const PlanWorker* b) { return order(a) < order(b); });
            std::vector<PlanWorker*> chosen;
            for (PlanWorker* worker : candidates) {
                const int available
                    = std::min(count - static_cast<int>(chosen.size()), capacityOn(step, *worker, includeReleasing));
                chosen.insert(chosen.end(), static_cast<std::size_t>(std::max(0, available)), worker);
                if (static_cast<int>(chosen.size()) == count)
                    return chosen;
            }
            return {};
        }

        std::vector<PlanWorker*> allWorkers()
        {
            std::vector<PlanWorker*> all;
            for (PlanWorker& worker : workers_)
                all.push_back(&worker);
            return all;
        }

        // Selects workers for all tasks in one rack: the rack that already has a reservation for the step, otherwise
        // the fitting one with the fewest free accelerators.
        std::vector<PlanWorker*> selectInOneRack(const PlanStep& step, bool includeReleasing)
        {
            const int count = static_cast<int>(step.tasks.size());
            std::vector<PlanWorker*> best;
            std::int64_t fewestFree = std::numeric_limits<std::int64_t>::max();
            for (auto& [rack, members] : racks_) {
                std::vector<PlanWorker*> chosen = selectWorkers(step, members, count, includeReleasing);
                if (chosen.empty())
                    continue;
                if (std::any_of(members.begin(), members.end(),
                        [&step](const PlanWorker* worker) { return step.reservedWorkers.count(worker->id) > 0; }))
                    return chosen;
                std::int64_t freeInRack = 0;
                for (const PlanWorker* worker : members)
                    freeInRack += worker->free.accelerators;
                if (!step.spec->dataRack.empty() && rack != step.spec->dataRack)
                    freeInRack += 1000000; // other racks are used only if the tasks do not fit on the data's rack
                if (freeInRack < fewestFree) {
                    fewestFree = freeInRack;
                    best = chosen;
                }
            }
            return best;
        }

        bool fitsAnyEmptyRack(const PlanStep& step) const
        {
            for (const auto& [rack, members] : racks_) {
                int available = 0;
                for (const PlanWorker* worker : members) {
                    if (isEligible(step, *worker))
                        available
                            += applySpreadLimit(step, *worker, countFitting(step.spec->perTask, worker->capacity));
                }
                if (available >= static_cast<int>(step.tasks.size()))
                    return true;
            }
            return false;
        }

        bool maySpread(const PlanStep& step) const
        {
            if (!step.spec->rackLocal && step.spec->dataRack.empty())
                return true;
            if (step.spec->rackLocal && !fitsAnyEmptyRack(step))
                return true;
            const Milliseconds waited = input_.now - step.readyAt;
            if (step.priority == 0)
                return waited >= input_.urgentRackWait;
            return static_cast<double>(waited.count())
                >= rackWaitFactor * static_cast<double>(step.spec->estimate.count());
        }

        void planGang(const PlanStep& step, bool spread)
        {
            const bool preferRack = step.spec->rackLocal || !step.spec->dataRack.empty();
            std::vector<PlanWorker*> chosen;
            if (preferRack)
                chosen = selectInOneRack(step, /*includeReleasing=*/false);
            if (chosen.empty() && spread)
                chosen = selectWorkers(
                    step, allWorkers(), static_cast<int>(step.tasks.size()), /*includeReleasing=*/false);
            if (!chosen.empty()) {
                place(step, chosen);
                return;
            }
            // Reserves capacity that is already being freed instead of preempting more work.
            chosen = preferRack ? selectInOneRack(step, /*includeReleasing=*/true) : std::vector<PlanWorker*>();
            if (chosen.empty() && spread)
                chosen
                    = selectWorkers(step, allWorkers(), static_cast<int>(step.tasks.size()), /*includeReleasing=*/true);
            if (!chosen.empty()) {
                reserve(step, chosen);
                return;
            }
            if (step.priority == 0)
                preemptFor(step, preferRack && !spread);
        }

        void planTasks(const PlanStep& step, bool otherRacksAllowed)
        {
            PlanStep remaining = step;
            std::size_t placed = 0;
            for (int task : step.tasks) {
                PlanWorker* best = nullptr;
                for (PlanWorker& worker : workers_) {
                    if (capacityOn(remaining, worker, /*includeReleasing=*/false) < 1)
                        continue;
                    const bool remote = !step.spec->dataRack.empty() && worker.rack != step.spec->dataRack;
                    if (remote && !otherRacksAllowed)
                        continue;
                    if (!best || order(step, worker) < order(step, *best))
                        best = &worker;
                }
                if (!best)
                    break;
                best->free -= step.spec->perTask;
                ++remaining.activeTasks[best->id];
                plan_.placements.push_back({ { step.job, step.occurrence, step.step, task }, best->id });
                ++placed;
            }
            if (step.priority != 0 || placed == step.tasks.size())
                return;
            remaining.tasks.erase(
                remaining.tasks.begin(), remaining.tasks.begin() + static_cast<std::ptrdiff_t>(placed));
            const std::vector<PlanWorker*> releasing = selectWorkers(
                remaining, allWorkers(), static_cast<int>(remaining.tasks.size()), /*includeReleasing=*/true);
            if (releasing.empty())
                preemptFor(remaining, /*oneRack=*/false);
            else
                reserve(remaining, releasing);
        }

        static std::tuple<bool, bool, std::int64_t, std::int64_t, std::int64_t> order(
            const PlanStep& step, const PlanWorker& worker)
        {
            const bool remote = !step.spec->dataRack.empty() && worker.rack != step.spec->dataRack;
            const std::int64_t urgent = step.priority == 0 ? -worker.urgentAccelerators : 0;
            return { worker.suspect, remote, urgent, worker.free.accelerators, worker.free.milliCores };
        }

        void place(const PlanStep& step, const std::vector<PlanWorker*>& chosen)
        {
            for (std::size_t number = 0; number < chosen.size(); ++number) {
                chosen[number]->free -= step.spec->perTask;
                plan_.placements.push_back(
                    { { step.job, step.occurrence, step.step, step.tasks[number] }, chosen[number]->id });
            }
        }

        void reserve(const PlanStep& step, const std::vector<PlanWorker*>& chosen)
        {
            if (chosen.empty())
                return;
            CapacityReservation reservation { step.job, step.occurrence, step.step, {} };
            for (PlanWorker* worker : chosen) {
                worker->free -= step.spec->perTask;
                reservation.workers.insert(worker->id);
            }
            plan_.reservations.push_back(std::move(reservation));
        }

        // Preempts the work with the smallest loss that makes the step fit, and reserves the freed capacity. With
        // `oneRack`, only capacity of a single rack counts.
        void preemptFor(const PlanStep& step, bool oneRack)
        {
            std::optional<std::pair<double, std::vector<std::size_t>>> best;
            if (oneRack || step.spec->rackLocal) {
                for (auto& [rack, members] : racks_)
                    considerPreemptions(step, members, best);
            }
            if (!best && !oneRack)
                considerPreemptions(step, allWorkers(), best);
            if (!best)
                return;
            for (std::size_t index : best->second) {
                plan_.preemptions.push_back(index);
                stopped_.insert(index);
                for (PlanWorker& worker : workers_) {
                    const auto released = input_.running[index].resources.find(worker.id);
                    if (released != input_.running[index].resources.end())
                        worker.releasing += released->second;
                }
            }
            std::vector<PlanWorker*> chosen;
            if (oneRack || step.spec->rackLocal)
                chosen = selectInOneRack(step, /*includeReleasing=*/true);
            if (chosen.empty())
                chosen
                    = selectWorkers(step, allWorkers(), static_cast<int>(step.tasks.size()), /*includeReleasing=*/true);
            reserve(step, chosen);
        }

        static std::int64_t acceleratorsOf(const PreemptibleWork& work)
        {
            std::int64_t sum = 0;
            for (const auto& [worker, resources] : work.resources)
                sum += resources.accelerators;
            return sum;
        }

        // Work of a lower priority may always be preempted. A guaranteed step may also preempt work of its own
        // priority: work beyond its account's guarantee, and as a last resort guaranteed work that uses fewer
        // accelerators than the step needs and can therefore be placed elsewhere. Limiting this to smaller work
        // prevents two jobs from preempting each other in turn.
        static bool mayBePreempted(const PreemptibleWork& work, const PlanStep& step)
        {
            if (work.priority > step.priority)
                return true;
            const std::int64_t demand = step.spec->perTask.accelerators * static_cast<std::int64_t>(step.tasks.size());
            return step.guaranteed && (!work.guaranteed || acceleratorsOf(work) < demand);
        }

        void considerPreemptions(const PlanStep& step, const std::vector<PlanWorker*>& candidates,
            std::optional<std::pair<double, std::vector<std::size_t>>>& best) const
        {
            std::set<WorkerId> ids;
            for (const PlanWorker* worker : candidates)
                ids.insert(worker->id);
            std::vector<std::pair<double, std::size_t>> equalPriority; // by loss
            std::vector<std::pair<double, std::size_t>> victims; // by loss per accelerator freed on the candidates
            for (std::size_t index = 0; index < input_.running.size(); ++index) {
                const PreemptibleWork& work = input_.running[index];
                if (!mayBePreempted(work, step) || stopped_.count(index) > 0)
                    continue;
                std::int64_t freed = 0;
                bool freesCandidate = false;
                for (const auto& [worker, resources] : work.resources) {
                    if (ids.count(worker) > 0) {
                        freed += resources.accelerators;
                        freesCandidate = true;
                    }
                }
                const bool equallyUrgent = work.priority <= step.priority;
                const Milliseconds minimumWait
                    = work.guaranteed ? input_.urgentRackWait * 3 / 4 : input_.urgentRackWait / 2;
                if (freesCandidate && equallyUrgent && input_.now - step.readyAt < minimumWait)
                    continue;
                if (freesCandidate && equallyUrgent)
                    equalPriority.emplace_back(work.lostCoreSeconds, index);
                else if (freesCandidate)
                    victims.emplace_back(
                        work.lostCoreSeconds / static_cast<double>(std::max<std::int64_t>(1, freed)), index);
            }
            std::sort(victims.begin(), victims.end());
            std::sort(equalPriority.begin(), equalPriority.end());
            victims.insert(victims.end(), equalPriority.begin(), equalPriority.end());
            std::map<WorkerId, PlanWorker> trial;
            for (const PlanWorker* worker : candidates)
                trial.emplace(worker->id, *worker);
            std::vector<std::size_t> chosen;
            double loss = 0;
            for (const auto& [rate, index] : victims) {
                chosen.push_back(index);
                loss += input_.running[index].lostCoreSeconds;
                for (const auto& [worker, resources] : input_.running[index].resources) {
                    const auto position = trial.find(worker);
                    if (position != trial.end())
                        position->second.free += resources;
                }
                int available = 0;
                for (const auto& [id, worker] : trial)
                    available += capacityOn(step, worker, /*includeReleasing=*/true);
                if (available >= static_cast<int>(step.tasks.size())) {
                    if (!best || loss < best->first)
                        best = { loss, chosen };
                    return;
                }
            }
        }

        const PlanInput& input_;
        std::vector<PlanWorker> workers_;
        WorkersByRack racks_;
        std::set<std::size_t> stopped_;
        Plan plan_;
    };

} // namespace

Plan makePlan(const PlanInput& input) { return PlanBuilder(input).run(); }

} // namespace rosemarylink::jobs::internal
