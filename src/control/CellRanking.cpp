#include "rosemarylink/control/CellRanking.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace rosemarylink::control {

std::vector<CellCandidate> rankCells(const model::JobSpec& job, std::vector<CellCandidate> cells)
{
    if (job.region) {
        cells.erase(std::remove_if(cells.begin(), cells.end(),
                        [&job](const CellCandidate& cell) { return cell.region != *job.region; }),
            cells.end());
    }
    const Accelerators needed = job.perTask.accelerators * job.tasks;
    const auto rank = [&job, needed](const CellCandidate& cell) {
        const bool startsAtOnce = cell.load.waitingJobs == 0 && cell.load.freeAccelerators >= needed;
        const std::size_t tieBreak = std::hash<std::string> {}(job.id.value() + cell.load.cell.value());
        return std::make_tuple(
            !startsAtOnce, !cell.holdsGuarantee, cell.load.waitingJobs, -cell.load.freeAccelerators.value(), tieBreak);
    };
    std::sort(cells.begin(), cells.end(),
        [&rank](const CellCandidate& a, const CellCandidate& b) { return rank(a) < rank(b); });
    return cells;
}

} // namespace rosemarylink::control
