#include "ShapeOrder.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace rosemarylink::policy::internal {

std::vector<std::size_t> hardestFirst(const std::vector<model::GuaranteedShape>& shapes)
{
    std::vector<std::size_t> order(shapes.size());
    std::iota(order.begin(), order.end(), 0);
    const auto key = [&shapes](std::size_t index) {
        const model::GuaranteedShape& shape = shapes[index];
        return std::make_tuple(-shape.tasks * shape.perTask.accelerators.value(),
            -shape.tasks * shape.perTask.cores.value(), static_cast<int>(shape.adjacency), shape.account, shape.name);
    };
    std::sort(order.begin(), order.end(), [&key](std::size_t a, std::size_t b) { return key(a) < key(b); });
    return order;
}

} // namespace rosemarylink::policy::internal
