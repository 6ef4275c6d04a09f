#include "StateMeasures.h"

#include "rosemarylink/state/PreferenceOrder.h"

#include <algorithm>
#include <map>

namespace rosemarylink::bench {

namespace {

    using state::OrderMethod;

    template <typename Id> std::vector<Id> makeIds(const std::string& prefix, int count)
    {
        std::vector<Id> ids;
        ids.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index)
            ids.push_back(Id(prefix + std::to_string(1000 + index)));
        return ids;
    }

    // Load of the busiest surviving instance over the mean when the given instances are lost. Each order lists the
    // preferred owners of one cell.
    double imbalance(
        const std::vector<std::vector<InstanceId>>& orders, const std::vector<InstanceId>& lost, std::size_t survivors)
    {
        std::map<InstanceId, int> load;
        int busiest = 0;
        for (const auto& order : orders) {
            const auto owner = std::find_if(order.begin(), order.end(),
                [&](const InstanceId& id) { return std::find(lost.begin(), lost.end(), id) == lost.end(); });
            busiest = std::max(busiest, ++load[*owner]);
        }
        return busiest * static_cast<double>(survivors) / static_cast<double>(orders.size());
    }

    // Mean imbalance over all ways to lose one or two instances, as `losses` says.
    double meanImbalanceOverLosses(
        const std::vector<std::vector<InstanceId>>& orders, const std::vector<InstanceId>& instances, int losses)
    {
        double sum = 0;
        int cases = 0;
        for (std::size_t first = 0; first < instances.size(); ++first) {
            const std::size_t begin = losses == 1 ? first : first + 1;
            const std::size_t end = losses == 1 ? first + 1 : instances.size();
            for (std::size_t second = begin; second < end; ++second, ++cases) {
                const std::size_t survivors = instances.size() - static_cast<std::size_t>(losses);
                sum += imbalance(orders, { instances[first], instances[second] }, survivors);
            }
        }
        return sum / cases;
    }

    // Mean imbalance over fleets of 6 to 24 instances and several sets of cell names, on which rendezvous hashing
    // depends. 0 cells per instance stands for the design's 4 cells in total.
    double overallImbalance(OrderMethod method, int cellsPerInstance, int losses)
    {
        constexpr int nameSets = 10;
        constexpr int designCells = 4;
        double sum = 0;
        int cases = 0;
        for (int count = 6; count <= 24; ++count) {
            const auto instances = makeIds<InstanceId>("scheduler-", count);
            for (int set = 0; set < nameSets; ++set, ++cases) {
                const int totalCells = cellsPerInstance == 0 ? designCells : cellsPerInstance * count;
                const auto cells = makeIds<CellId>("cell-" + std::to_string(set) + "-", totalCells);
                std::vector<std::vector<InstanceId>> orders;
                orders.reserve(cells.size());
                for (const CellId& cell : cells)
                    orders.push_back(state::preferenceOrder(method, cell, cells, instances));
                sum += meanImbalanceOverLosses(orders, instances, losses);
            }
        }
        return sum / cases;
    }

    StateMeasure measureMethod(OrderMethod method, const std::string& name, int cellsPerInstance, int losses)
    {
        const std::string cells
            = cellsPerInstance == 0 ? "4_cells" : std::to_string(cellsPerInstance) + "_cells_an_instance";
        const std::string measure = "busiest_over_mean_" + name + "_" + cells + "_" + std::to_string(losses) + "_lost";
        return { measure, overallImbalance(method, cellsPerInstance, losses), "ratio", 0, std::nullopt };
    }

} // namespace

std::vector<StateMeasure> measurePreferenceOrders()
{
    std::vector<StateMeasure> measures;
    for (const int cellsPerInstance : { 0, 1, 4 }) {
        for (const int losses : { 1, 2 }) {
            StateMeasure chained = measureMethod(OrderMethod::Chained, "chained", cellsPerInstance, losses);
            StateMeasure rendezvous = measureMethod(OrderMethod::Rendezvous, "rendezvous", cellsPerInstance, losses);
            StateMeasure rotated = measureMethod(OrderMethod::RotatedPlacement, "rotated", cellsPerInstance, losses);
            chained.baseline = std::min(rendezvous.value, rotated.value);
            rendezvous.baseline = chained.value;
            rotated.baseline = chained.value;
            if (cellsPerInstance == 0)
                chained.limit = chained.baseline;
            measures.insert(measures.end(), { chained, rendezvous, rotated });
        }
    }
    return measures;
}

} // namespace rosemarylink::bench
