#pragma once

#include <cstddef>

namespace rosemarylink {

// Counts the bytes that this thread allocates with operator new during the meter's lifetime. An allocation that takes
// the count above the limit throws std::bad_alloc, so that code without a bound fails its test instead of exhausting
// the machine. One meter at a time in a thread. Memory that another thread frees stays counted.
class AllocationMeter {
public:
    explicit AllocationMeter(std::size_t limitBytes);
    ~AllocationMeter();
    AllocationMeter(const AllocationMeter&) = delete;
    AllocationMeter& operator=(const AllocationMeter&) = delete;

    // The most bytes that were allocated at the same time.
    std::size_t peakBytes() const;
};

} // namespace rosemarylink
