#include "AllocationMeter.h"

#include <cassert>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace rosemarylink {

namespace {

    struct Counts {
        bool active = false;
        std::size_t limit = 0;
        std::ptrdiff_t current = 0; // negative if more is freed than allocated
        std::ptrdiff_t peak = 0;
    };

    thread_local Counts counts;

    void* allocate(std::size_t size)
    {
        if (counts.active
            && counts.current + static_cast<std::ptrdiff_t>(size) > static_cast<std::ptrdiff_t>(counts.limit))
            throw std::bad_alloc();
        void* const memory = std::malloc(size == 0 ? 1 : size);
        if (!memory)
            throw std::bad_alloc();
        if (counts.active) {
            counts.current += static_cast<std::ptrdiff_t>(malloc_usable_size(memory));
            if (counts.current > counts.peak)
                counts.peak = counts.current;
        }
        return memory;
    }

    void release(void* memory)
    {
        if (counts.active)
            counts.current -= static_cast<std::ptrdiff_t>(malloc_usable_size(memory));
        std::free(memory);
    }

} // namespace

AllocationMeter::AllocationMeter(std::size_t limitBytes)
{
    assert(!counts.active);
    counts = { true, limitBytes, 0, 0 };
}

AllocationMeter::~AllocationMeter() { counts.active = false; }

std::size_t AllocationMeter::peakBytes() const { return static_cast<std::size_t>(counts.peak); }

} // namespace rosemarylink

// The other forms of operator new and delete call these, but for the aligned ones, which are not counted.
void* operator new(std::size_t size) { return rosemarylink::allocate(size); }
void operator delete(void* memory) noexcept { rosemarylink::release(memory); }
void operator delete(void* memory, std::size_t) noexcept { rosemarylink::release(memory); }
