#pragma once

#include "rosemarylink/generated/Model.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace rosemarylink::policy::internal {

// Cores, megabytes of memory and accelerators as plain integers, for placement arithmetic.
struct ResourceVector {
    std::int64_t cores = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;

    ResourceVector& operator+=(const ResourceVector& other)
    {
        cores += other.cores;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    ResourceVector& operator-=(const ResourceVector& other)
    {
        cores -= other.cores;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
    friend ResourceVector operator*(ResourceVector amount, std::int64_t factor)
    {
        return { amount.cores * factor, amount.memory * factor, amount.accelerators * factor };
    }
    friend bool operator==(const ResourceVector& a, const ResourceVector& b)
    {
        return a.cores == b.cores && a.memory == b.memory && a.accelerators == b.accelerators;
    }
    friend bool operator!=(const ResourceVector& a, const ResourceVector& b) { return !(a == b); }

    bool covers(const ResourceVector& other) const
    {
        return cores >= other.cores && memory >= other.memory && accelerators >= other.accelerators;
    }
    ResourceVector clampedAtZero() const
    {
        return { std::max<std::int64_t>(cores, 0), std::max<std::int64_t>(memory, 0),
            std::max<std::int64_t>(accelerators, 0) };
    }
};

inline ResourceVector toResourceVector(const model::Resources& resources)
{
    return { resources.cores.value(), resources.memory.value(), resources.accelerators.value() };
}

// The number of tasks of the given size that fit into the amount, at most limit.
inline std::int64_t tasksThatFit(const ResourceVector& amount, const ResourceVector& perTask, std::int64_t limit)
{
    std::int64_t fit = limit;
    if (perTask.accelerators > 0)
        fit = std::min(fit, amount.accelerators / perTask.accelerators);
    if (perTask.cores > 0)
        fit = std::min(fit, amount.cores / perTask.cores);
    if (perTask.memory > 0)
        fit = std::min(fit, amount.memory / perTask.memory);
    return std::max<std::int64_t>(fit, 0);
}

} // namespace rosemarylink::policy::internal
