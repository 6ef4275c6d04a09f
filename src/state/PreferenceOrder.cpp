#include "rosemarylink/state/PreferenceOrder.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace rosemarylink::state {

namespace {

    // FNV-1a with a finalizer. Unlike std::hash it is the same in every process; the finalizer distributes similar
    // names.
    std::uint64_t stableHash(const std::string& text)
    {
        std::uint64_t hash = 14695981039346656037ULL;
        for (const char character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ULL;
        hash ^= hash >> 33U;
        hash *= 0xff51afd7ed558ccdULL;
        hash ^= hash >> 33U;
        hash *= 0xc4ceb9fe1a85ec53ULL;
        return hash ^ (hash >> 33U);
    }

    template <typename Id> std::vector<Id> sortedUnique(std::vector<Id> ids)
    {
        std::sort(ids.begin(), ids.end());
        ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
        return ids;
    }

    // When there are fewer cells than instances, the first candidates are evenly spaced, so that the next candidate of
    // a cell is not the first candidate of another.
    std::vector<InstanceId> chained(std::size_t cell, std::size_t cells, const std::vector<InstanceId>& instances)
    {
        const std::size_t first = cells < instances.size() ? cell * instances.size() / cells : cell;
        std::vector<InstanceId> order;
        for (std::size_t step = 0; step < instances.size(); ++step)
            order.push_back(instances[(first + step) % instances.size()]);
        return order;
    }

    std::vector<InstanceId> rendezvous(const CellId& cell, const std::vector<InstanceId>& instances)
    {
        std::vector<std::pair<std::uint64_t, InstanceId>> scored;
        scored.reserve(instances.size());
        for (const InstanceId& instance : instances)
            scored.emplace_back(stableHash(cell.value() + "\n" + instance.value()), instance);
        std::sort(scored.begin(), scored.end());
        std::vector<InstanceId> order;
        order.reserve(instances.size());
        for (auto& [score, instance] : scored)
            order.push_back(std::move(instance));
        return order;
    }

    // The instances form arrays of equal size; a cell's array rotates with its number, and replica j of partition i is
    // on instance (i + floor(i / n) * (j - 1)) mod n of the j-th array from there. A prime number of instances gives
    // arrays of one, which is the chained order.
    std::vector<InstanceId> rotated(std::size_t cell, const std::vector<InstanceId>& instances)
    {
        std::size_t arrays = 2;
        while (instances.size() % arrays != 0)
            ++arrays;
        const std::size_t size = instances.size() / arrays;
        const std::size_t partition = cell / arrays;
        std::vector<InstanceId> order;
        for (std::size_t replica = 0; replica < arrays; ++replica) {
            const std::size_t disk = (partition + partition / size * replica) % size;
            order.push_back(instances[(cell + replica) % arrays * size + disk]);
        }
        for (const InstanceId& instance : chained(cell, instances.size(), instances)) {
            if (std::find(order.begin(), order.end(), instance) == order.end())
                order.push_back(instance);
        }
        return order;
    }

} // namespace

std::vector<InstanceId> preferenceOrder(
    OrderMethod method, const CellId& cell, const std::vector<CellId>& cells, const std::vector<InstanceId>& candidates)
{
    std::vector<InstanceId> instances = sortedUnique(candidates);
    std::vector<CellId> numbered = cells;
    numbered.push_back(cell);
    numbered = sortedUnique(std::move(numbered));
    const auto number
        = static_cast<std::size_t>(std::lower_bound(numbered.begin(), numbered.end(), cell) - numbered.begin());
    if (instances.size() < 2)
        return instances;
    switch (method) {
    case OrderMethod::Chained:
        return chained(number, numbered.size(), instances);
    case OrderMethod::Rendezvous:
        return rendezvous(cell, instances);
    case OrderMethod::RotatedPlacement:
        return rotated(number, instances);
    }
    return instances;
}

} // namespace rosemarylink::state
