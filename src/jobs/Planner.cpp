#include "Planner.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

namespace rosemarylink::jobs::internal {

namespace {

    // Work off its rack takes three times as long on the platform, so waiting for the rack pays for up to twice the
    // estimate. Half of that is waited: the rack may not come free at all.
    constexpr double localWaitEstimates = 1.0;

    using Room = std::map<std::string, std::vector<PlanWorker*>>; // workers by rack

    class Planning {
    public:
        explicit Planning(const PlanInput& input)
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
                    hideReserve();
                const std::size_t placedBefore = plan_.placements.size();
                const std::size_t heldBefore = plan_.held.size();
                const bool mayGoAnywhere = maySpread(*step);
                if (step->spec->gang)
                    planGang(*step, mayGoAnywhere);
                else
                    planTasks(*step, mayGoAnywhere);
                const std::size_t placed = plan_.placements.size() - placedBefore;
                if (placed == step->tasks.size())
                    continue;
                const WaitReason reason = plan_.held.size() > heldBefore ? WaitReason::RoomIsFreed
                    : mayGoAnywhere                                      ? WaitReason::NoRoom
                                                                         : WaitReason::WaitsForRack;
                plan_.waiting.push_back(
                    { static_cast<std::size_t>(step - input_.steps.data()), step->tasks.size() - placed, reason });
            }
            return std::move(plan_);
        }

    private:
        // Smaller ranks go first: guaranteed work, then by priority; within that what can still end in time, what can
        // still earn late, and the rest, each by its objective.
        std::tuple<int, int, Milliseconds> rank(const PlanStep& step) const
        {
            const Milliseconds endsAt = input_.now + step.remaining;
            const int tier = endsAt <= step.objectiveAt ? 0 : endsAt <= step.lateUntil ? 1 : 2;
            // Guaranteed work has to start within a fixed time, so that it goes by arrival even when it will end late.
            if (step.guaranteed)
                return { -1, 0, step.arrivedAt };
            return { step.priority, tier, tier == 2 ? step.arrivedAt : step.objectiveAt };
        }

        // Takes the reserve for urgent work out of the plan, as whole workers: those where urgent work is packed, then
        // the emptiest.
        void hideReserve()
        {
            std::vector<PlanWorker*> workers = allWorkers();
            std::sort(workers.begin(), workers.end(), [](const PlanWorker* a, const PlanWorker* b) {
                return std::make_tuple(a->urgentAccelerators, a->free.accelerators, a->id)
                    > std::make_tuple(b->urgentAccelerators, b->free.accelerators, b->id);
            });
            std::int64_t left = input_.urgentReserve;
            for (PlanWorker* worker : workers) {
                if (!worker->usable || worker->free.accelerators <= 0 || worker->free.accelerators > left)
                    continue;
                left -= worker->free.accelerators;
                worker->usable = false;
            }
        }

        static int countThatFits(const Resources& each, const Resources& room)
        {
            int count = std::numeric_limits<int>::max();
            if (each.milliCores > 0)
                count = std::min(count, static_cast<int>(std::max<std::int64_t>(0, room.milliCores) / each.milliCores));
            if (each.megabytes > 0)
                count = std::min(count, static_cast<int>(std::max<std::int64_t>(0, room.megabytes) / each.megabytes));
            if (each.accelerators > 0)
                count = std::min(
                    count, static_cast<int>(std::max<std::int64_t>(0, room.accelerators) / each.accelerators));
            return count;
        }

        bool suits(const PlanStep& step, const PlanWorker& worker) const
        {
            return worker.usable
                && (step.spec->workerLabel.empty() || worker.labels->count(step.spec->workerLabel) > 0);
        }

        int limitOn(const PlanStep& step, const PlanWorker& worker, int count) const
        {
            if (step.spec->maximumPerWorker == 0)
                return count;
            const auto present = step.present.find(worker.id);
            const int there = present == step.present.end() ? 0 : present->second;
            return std::min(count, std::max(0, step.spec->maximumPerWorker - there));
        }

        // How many of the step's tasks the worker can take, now or once what is stopping has gone.
        int capacityOn(const PlanStep& step, const PlanWorker& worker, bool countLeaving) const
        {
            if (!suits(step, worker))
                return 0;
            Resources room = worker.free;
            if (countLeaving)
                room += worker.leaving;
            return limitOn(step, worker, countThatFits(step.spec->each, room));
        }

        // Workers for `count` tasks among the candidates, fullest first so that large holes stay; empty when there is
        // not enough room.
        std::vector<PlanWorker*> choose(
            const PlanStep& step, std::vector<PlanWorker*> candidates, int count, bool countLeaving) const
        {
            // A hold that moved about would keep room free nowhere, and smaller work would fill what had been freed.
            // Urgent work is packed onto the same workers: spread over all, it would leave none that can be emptied for
            // a guaranteed task that needs a whole worker.
            const auto order = [&step, urgent = step.priority == 0](const PlanWorker* worker) {
                return std::make_tuple(step.heldWorkers.count(worker->id) == 0, worker->suspect,
                    urgent ? -worker->urgentAccelerators : 0, worker->free.accelerators, worker->free.milliCores);
            };
            std::stable_sort(candidates.begin(), candidates.end(),
                [&order](const PlanWorker* a, const PlanWorker* b) { return order(a) < order(b); });
            std::vector<PlanWorker*> chosen;
            for (PlanWorker* worker : candidates) {
                const int room
                    = std::min(count - static_cast<int>(chosen.size()), capacityOn(step, *worker, countLeaving));
                chosen.insert(chosen.end(), static_cast<std::size_t>(std::max(0, room)), worker);
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

        // The rack with the least room left over that takes the whole gang.
        std::vector<PlanWorker*> chooseInOneRack(const PlanStep& step, bool countLeaving)
        {
            const int count = static_cast<int>(step.tasks.size());
            std::vector<PlanWorker*> best;
            std::int64_t leastLeft = std::numeric_limits<std::int64_t>::max();
            for (auto& [rack, members] : racks_) {
                std::vector<PlanWorker*> chosen = choose(step, members, count, countLeaving);
                if (chosen.empty())
                    continue;
                if (std::any_of(members.begin(), members.end(),
                        [&step](const PlanWorker* worker) { return step.heldWorkers.count(worker->id) > 0; }))
                    return chosen;
                std::int64_t left = 0;
                for (const PlanWorker* worker : members)
                    left += worker->free.accelerators;
                if (!step.spec->dataRack.empty() && rack != step.spec->dataRack)
                    left += 1000000; // any other rack only when the data's has no room
                if (left < leastLeft) {
                    leastLeft = left;
                    best = chosen;
                }
            }
            return best;
        }

        bool fitsAnyEmptyRack(const PlanStep& step) const
        {
            for (const auto& [rack, members] : racks_) {
                int room = 0;
                for (const PlanWorker* worker : members) {
                    if (suits(step, *worker))
                        room += limitOn(step, *worker, countThatFits(step.spec->each, worker->capacity));
                }
                if (room >= static_cast<int>(step.tasks.size()))
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
                return waited >= input_.urgentLocalWait;
            return static_cast<double>(waited.count())
                >= localWaitEstimates * static_cast<double>(step.spec->estimate.count());
        }

        void planGang(const PlanStep& step, bool spread)
        {
            const bool preferRack = step.spec->rackLocal || !step.spec->dataRack.empty();
            std::vector<PlanWorker*> chosen;
            if (preferRack)
                chosen = chooseInOneRack(step, /*countLeaving=*/false);
            if (chosen.empty() && spread)
                chosen = choose(step, allWorkers(), static_cast<int>(step.tasks.size()), /*countLeaving=*/false);
            if (!chosen.empty()) {
                place(step, chosen);
                return;
            }
            // Room that is being freed is kept for the step instead of stopping more.
            chosen = preferRack ? chooseInOneRack(step, /*countLeaving=*/true) : std::vector<PlanWorker*>();
            if (chosen.empty() && spread)
                chosen = choose(step, allWorkers(), static_cast<int>(step.tasks.size()), /*countLeaving=*/true);
            if (!chosen.empty()) {
                reserve(step, chosen);
                return;
            }
            if (step.priority == 0)
                preemptFor(step, preferRack && !spread);
        }

        void planTasks(const PlanStep& step, bool remoteAllowed)
        {
            PlanStep rest = step;
            std::size_t placed = 0;
            for (int task : step.tasks) {
                PlanWorker* best = nullptr;
                for (PlanWorker& worker : workers_) {
                    if (capacityOn(rest, worker, /*countLeaving=*/false) < 1)
                        continue;
                    const bool remote = !step.spec->dataRack.empty() && worker.rack != step.spec->dataRack;
                    if (remote && !remoteAllowed)
                        continue;
                    if (!best || order(step, worker) < order(step, *best))
                        best = &worker;
                }
                if (!best)
                    break;
                best->free -= step.spec->each;
                ++rest.present[best->id];
                plan_.placements.push_back({ { step.job, step.occurrence, step.step, task }, best->id });
                ++placed;
            }
            if (step.priority != 0 || placed == step.tasks.size())
                return;
            rest.tasks.erase(rest.tasks.begin(), rest.tasks.begin() + static_cast<std::ptrdiff_t>(placed));
            const std::vector<PlanWorker*> leaving
                = choose(rest, allWorkers(), static_cast<int>(rest.tasks.size()), /*countLeaving=*/true);
            if (leaving.empty())
                preemptFor(rest, /*oneRack=*/false);
            else
                reserve(rest, leaving);
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
                chosen[number]->free -= step.spec->each;
                plan_.placements.push_back(
                    { { step.job, step.occurrence, step.step, step.tasks[number] }, chosen[number]->id });
            }
        }

        void reserve(const PlanStep& step, const std::vector<PlanWorker*>& chosen)
        {
            if (chosen.empty())
                return;
            HeldRoom held { step.job, step.occurrence, step.step, {} };
            for (PlanWorker* worker : chosen) {
                worker->free -= step.spec->each;
                held.workers.insert(worker->id);
            }
            plan_.held.push_back(std::move(held));
        }

        // Stops the work whose loss is least so that the step fits, within one rack or anywhere.
        void preemptFor(const PlanStep& step, bool oneRack)
        {
            std::optional<std::pair<double, std::vector<std::size_t>>> best;
            if (oneRack || step.spec->rackLocal) {
                for (auto& [rack, members] : racks_)
                    considerVictims(step, members, best);
            }
            if (!best && !oneRack)
                considerVictims(step, allWorkers(), best);
            if (!best)
                return;
            for (std::size_t index : best->second) {
                plan_.stops.push_back(index);
                stopped_.insert(index);
                for (PlanWorker& worker : workers_) {
                    const auto room = input_.running[index].room.find(worker.id);
                    if (room != input_.running[index].room.end())
                        worker.leaving += room->second;
                }
            }
            std::vector<PlanWorker*> chosen;
            if (oneRack || step.spec->rackLocal)
                chosen = chooseInOneRack(step, /*countLeaving=*/true);
            if (chosen.empty())
                chosen = choose(step, allWorkers(), static_cast<int>(step.tasks.size()), /*countLeaving=*/true);
            reserve(step, chosen);
        }

        static std::int64_t acceleratorsOf(const PlanRunning& running)
        {
            std::int64_t sum = 0;
            for (const auto& [worker, room] : running.room)
                sum += room.accelerators;
            return sum;
        }

        // Work yields to what is more urgent. To guaranteed work that waits, urgent work yields too: what is beyond its
        // account's guarantee, and at last smaller work that has begun within its own and can be placed elsewhere. Only
        // smaller work does, so that two jobs never stop each other in turn.
        static bool mayYield(const PlanRunning& running, const PlanStep& step)
        {
            if (running.priority > step.priority)
                return true;
            const std::int64_t wanted = step.spec->each.accelerators * static_cast<std::int64_t>(step.tasks.size());
            return step.guaranteed && (!running.guaranteed || acceleratorsOf(running) < wanted);
        }

        void considerVictims(const PlanStep& step, const std::vector<PlanWorker*>& candidates,
            std::optional<std::pair<double, std::vector<std::size_t>>>& best) const
        {
            std::set<WorkerId> ids;
            for (const PlanWorker* worker : candidates)
                ids.insert(worker->id);
            std::vector<std::pair<double, std::size_t>> lastResort; // as urgent as the step, but beyond a guarantee
            std::vector<std::pair<double, std::size_t>> victims; // by loss for each accelerator freed here
            for (std::size_t index = 0; index < input_.running.size(); ++index) {
                const PlanRunning& running = input_.running[index];
                if (!mayYield(running, step) || stopped_.count(index) > 0)
                    continue;
                std::int64_t freed = 0;
                bool here = false;
                for (const auto& [worker, room] : running.room) {
                    if (ids.count(worker) > 0) {
                        freed += room.accelerators;
                        here = true;
                    }
                }
                const bool urgentToo = running.priority <= step.priority;
                const Milliseconds patience
                    = running.guaranteed ? input_.urgentLocalWait * 3 / 4 : input_.urgentLocalWait / 2;
                if (here && urgentToo && input_.now - step.readyAt < patience)
                    continue;
                if (here && urgentToo)
                    lastResort.emplace_back(running.lostCoreSeconds, index);
                else if (here)
                    victims.emplace_back(
                        running.lostCoreSeconds / static_cast<double>(std::max<std::int64_t>(1, freed)), index);
            }
            std::sort(victims.begin(), victims.end());
            std::sort(lastResort.begin(), lastResort.end());
            victims.insert(victims.end(), lastResort.begin(), lastResort.end());
            std::map<WorkerId, PlanWorker> trial;
            for (const PlanWorker* worker : candidates)
                trial.emplace(worker->id, *worker);
            std::vector<std::size_t> chosen;
            double loss = 0;
            for (const auto& [rate, index] : victims) {
                chosen.push_back(index);
                loss += input_.running[index].lostCoreSeconds;
                for (const auto& [worker, room] : input_.running[index].room) {
                    const auto position = trial.find(worker);
                    if (position != trial.end())
                        position->second.free += room;
                }
                int room = 0;
                for (const auto& [id, worker] : trial)
                    room += capacityOn(step, worker, /*countLeaving=*/true);
                if (room >= static_cast<int>(step.tasks.size())) {
                    if (!best || loss < best->first)
                        best = { loss, chosen };
                    return;
                }
            }
        }

        const PlanInput& input_;
        std::vector<PlanWorker> workers_;
        Room racks_;
        std::set<std::size_t> stopped_;
        Plan plan_;
    };

} // namespace

Plan makePlan(const PlanInput& input) { return Planning(input).run(); }

} // namespace rosemarylink::jobs::internal
