#include "rosemarylink/state/PreferenceOrder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace rosemarylink::state {
namespace {

    template <typename Id> std::vector<Id> names(const std::string& prefix, int count)
    {
        std::vector<Id> ids;
        ids.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index)
            ids.push_back(Id(prefix + std::to_string(100 + index)));
        return ids;
    }

    TEST_CASE("each order contains every candidate once and does not depend on the order of the lists")
    {
        for (const auto method : { OrderMethod::Chained, OrderMethod::Rendezvous, OrderMethod::RotatedPlacement }) {
            for (int count = 1; count <= 24; ++count) {
                auto instances = names<InstanceId>("i", count);
                auto cells = names<CellId>("c", 7);
                for (const CellId& cell : names<CellId>("c", 7)) {
                    const auto order = preferenceOrder(method, cell, cells, instances);
                    auto sorted = order;
                    std::sort(sorted.begin(), sorted.end());
                    CHECK(sorted == names<InstanceId>("i", count));
                    auto shuffled = instances;
                    std::reverse(shuffled.begin(), shuffled.end());
                    CHECK(preferenceOrder(method, cell, cells, shuffled) == order);
                }
            }
        }
    }

    TEST_CASE("the cells of a lost instance go to instances without a cell while there are any")
    {
        for (int count = 8; count <= 24; ++count) {
            const auto cells = names<CellId>("c", 4);
            for (const InstanceId& lost : names<InstanceId>("i", count)) {
                std::map<InstanceId, int> owned;
                for (const CellId& cell : cells) {
                    const auto order
                        = preferenceOrder(OrderMethod::Chained, cell, cells, names<InstanceId>("i", count));
                    ++owned[order[0] == lost ? order[1] : order[0]];
                }
                for (const auto& [instance, number] : owned)
                    CHECK(number == 1);
            }
        }
    }

} // namespace
} // namespace rosemarylink::state
