#include "StragglerMoves.h"

#include "PlannerFleet.h"

#include <algorithm>
#include <numeric>
#include <set>

namespace rosemarylink::jobs::internal {

namespace {

    // Time in which a stopped run is reported, placed again, started and restored.
    constexpr Milliseconds restartTime { 700 };

    // The remaining time here must exceed that elsewhere by this factor, because both are estimates.
    constexpr double clearlySooner = 1.5;

    // Work that is moved again and again would never end.
    constexpr int maximumMoves = 2;

    // The free capacity of the sound workers, less what the chosen moves take.
    class FreePlaces {
    public:
        explicit FreePlaces(const std::vector<PlanWorker>& workers)
        {
            for (const PlanWorker& worker : workers)
                free_.push_back({ &worker, worker.free });
        }

        // Takes capacity for the straggler's slow tasks. Returns false and takes nothing if there is too little.
        bool take(const Straggler& straggler)
        {
            const std::string_view dataRack = straggler.spec->dataRack;
            if (!dataRack.empty())
                return takeOn(straggler, straggler.slowTasks, &dataRack);
            if (!straggler.spec->rackLocal)
                return takeOn(straggler, straggler.slowTasks, nullptr);
            // Tasks that must be in one rack go to that of the others, or all of them to another one.
            const std::string_view soundRack = straggler.soundRack;
            if (!soundRack.empty() && takeOn(straggler, straggler.slowTasks, &soundRack))
                return true;
            std::set<std::string_view> racks;
            for (const Place& place : free_)
                racks.insert(place.worker->rack);
            return std::any_of(racks.begin(), racks.end(),
                [&](const std::string_view& rack) { return takeOn(straggler, straggler.tasks.size(), &rack); });
        }

    private:
        struct Place {
            const PlanWorker* worker;
            Resources free;
        };

        bool takeOn(const Straggler& straggler, std::size_t count, const std::string_view* rack)
        {
            const StepSpec& spec = *straggler.spec;
            std::vector<std::pair<Place*, int>> taken;
            std::size_t missing = count;
            for (Place& place : free_) {
                if (missing == 0)
                    break;
                if (rack && place.worker->rack != *rack)
                    continue;
                if (!spec.workerLabel.empty() && place.worker->labels->count(spec.workerLabel) == 0)
                    continue;
                int fitting = PlannerFleet::countFitting(spec.perTask, place.free, missing);
                const auto present = straggler.tasksOn.find(place.worker->id);
                if (spec.maximumPerWorker > 0)
                    fitting = std::min(
                        fitting, spec.maximumPerWorker - (present == straggler.tasksOn.end() ? 0 : present->second));
                const auto used = std::min(missing, static_cast<std::size_t>(std::max(0, fitting)));
                if (used == 0)
                    continue;
                missing -= used;
                taken.emplace_back(&place, static_cast<int>(used));
            }
            if (missing > 0)
                return false;
            for (const auto& [place, used] : taken) {
                for (int number = 0; number < used; ++number)
                    place->free -= spec.perTask;
            }
            return true;
        }

        std::vector<Place> free_;
    };

    bool endsSoonerElsewhere(const Straggler& straggler, Milliseconds stopTime)
    {
        const Milliseconds elsewhere
            = stopTime + restartTime + straggler.duration * (100 - straggler.savedPercent) / 100;
        return static_cast<double>(straggler.remaining.count())
            > clearlySooner * static_cast<double>(elsewhere.count());
    }

} // namespace

std::vector<std::size_t> chooseMoves(const MoveInput& input)
{
    // Urgent work takes the free capacity first, then what would wait longest.
    std::vector<std::size_t> order(input.stragglers.size());
    std::iota(order.begin(), order.end(), std::size_t(0));
    std::stable_sort(order.begin(), order.end(), [&input](std::size_t a, std::size_t b) {
        const Straggler& first = input.stragglers[a];
        const Straggler& second = input.stragglers[b];
        return std::make_pair(first.priority, second.remaining) < std::make_pair(second.priority, first.remaining);
    });
    FreePlaces places(input.soundWorkers);
    std::vector<std::size_t> moves;
    for (std::size_t index : order) {
        const Straggler& straggler = input.stragglers[index];
        if (straggler.moves < maximumMoves && endsSoonerElsewhere(straggler, input.stopTime) && places.take(straggler))
            moves.push_back(index);
    }
    return moves;
}

} // namespace rosemarylink::jobs::internal
