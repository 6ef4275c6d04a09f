#pragma once

#include "rosemarylink/generated/Model.h"

#include <algorithm>
#include <cstdint>
#include <limits>

namespace rosemarylink::policy::internal {

// Cores, megabytes and accelerators as plain numbers, for the arithmetic of placement.
struct Amount {
    std::int64_t cores = 0;
    std::int64_t memory = 0;
    std::int64_t accelerators = 0;

    Amount& operator+=(const Amount& other)
    {
        cores += other.cores;
        memory += other.memory;
        accelerators += other.accelerators;
        return *this;
    }
    Amount& operator-=(const Amount& other)
    {
        cores -= other.cores;
        memory -= other.memory;
        accelerators -= other.accelerators;
        return *this;
    }
    friend Amount operator*(Amount amount, std::int64_t factor)
    {
        return { amount.cores * factor, amount.memory * factor, amount.accelerators * factor };
    }
    friend bool operator==(const Amount& a, const Amount& b)
    {
        return a.cores == b.cores && a.memory == b.memory && a.accelerators == b.accelerators;
    }
    friend bool operator!=(const Amount& a, const Amount& b) { return !(a == b); }

    bool covers(const Amount& other) const
    {
        return cores >= other.cores && memory >= other.memory && accelerators >= other.accelerators;
    }
    Amount clampedAtZero() const
    {
        return { std::max<std::int64_t>(cores, 0), std::max<std::int64_t>(memory, 0),
            std::max<std::int64_t>(accelerators, 0) };
    }
};

inline Amount toAmount(const model::Resources& resources)
{
    return { resources.cores.value(), resources.memory.value(), resources.accelerators.value() };
}

// How many tasks of the given size the amount holds; at most limit.
inline std::int64_t tasksThatFit(const Amount& amount, const Amount& perTask, std::int64_t limit)
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
