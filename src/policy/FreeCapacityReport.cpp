#include "FreeCapacityReport.h"

namespace rosemarylink::policy::internal {

GangShape referenceGang()
{
    GangShape gang;
    gang.tasks = 32;
    gang.perTask.accelerators = 1;
    gang.adjacency = model::Adjacency::Rack;
    return gang;
}

void fillCapacity(PolicySnapshot& result, const Fleet& fleet, const CapacityIndex& free)
{
    std::int64_t total = 0;
    for (int rack = 0; rack < static_cast<int>(fleet.racks().size()); ++rack) {
        const std::int64_t accelerators = free.rackFree(rack).accelerators;
        total += accelerators;
        result.largestFittingGang = std::max(result.largestFittingGang, accelerators);
    }
    result.freeAccelerators = Accelerators(total);
    const GangShape gang = referenceGang();
    const std::int64_t ideal = countGangsIgnoringAdjacency(fleet, free, gang);
    const std::int64_t usable = countGangs(fleet, free, gang);
    if (total > 0) {
        result.fragmentation = static_cast<double>((ideal - usable) * gang.tasks) / static_cast<double>(total);
    }
}

std::string describeGang(std::int64_t tasks, const model::Resources& perTask, model::Adjacency adjacency)
{
    return std::to_string(tasks) + " tasks of " + std::to_string(perTask.cores.value()) + " cores, "
        + std::to_string(perTask.memory.value()) + " MB and " + std::to_string(perTask.accelerators.value())
        + " accelerators each, adjacent by " + std::string(model::adjacencyName(adjacency));
}

} // namespace rosemarylink::policy::internal
