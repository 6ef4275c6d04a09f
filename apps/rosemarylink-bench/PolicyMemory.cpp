#include "PolicyMemory.h"

#include <algorithm>
#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

struct HeapCount {
    bool counting = false;
    std::int64_t current = 0;
    std::int64_t peak = 0;
};

thread_local HeapCount heapCount;

} // namespace

void* operator new(std::size_t size)
{
    void* memory = std::malloc(size);
    if (memory == nullptr)
        throw std::bad_alloc();
    if (heapCount.counting) {
        heapCount.current += static_cast<std::int64_t>(malloc_usable_size(memory));
        heapCount.peak = std::max(heapCount.peak, heapCount.current);
    }
    return memory;
}

void operator delete(void* memory) noexcept
{
    if (heapCount.counting && memory != nullptr)
        heapCount.current -= static_cast<std::int64_t>(malloc_usable_size(memory));
    std::free(memory);
}

void operator delete(void* memory, std::size_t) noexcept { operator delete(memory); }

namespace rosemarylink::bench {

PolicyMemoryScope::PolicyMemoryScope() { heapCount.counting = true; }

PolicyMemoryScope::~PolicyMemoryScope() { heapCount.counting = false; }

void PolicyMemoryScope::reset() { heapCount = HeapCount {}; }

std::int64_t PolicyMemoryScope::currentBytes() { return heapCount.current; }

std::int64_t PolicyMemoryScope::peakBytes() { return heapCount.peak; }

} // namespace rosemarylink::bench
