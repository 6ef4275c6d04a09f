#pragma once

#include <cstdint>

namespace rosemarylink::bench {

// Counts the heap bytes that the calling thread allocates less those it frees, while an object of this type lives.
class PolicyMemoryScope {
public:
    PolicyMemoryScope();
    ~PolicyMemoryScope();
    PolicyMemoryScope(const PolicyMemoryScope&) = delete;
    PolicyMemoryScope& operator=(const PolicyMemoryScope&) = delete;

    static void reset();
    static std::int64_t currentBytes();
    static std::int64_t peakBytes();
};

} // namespace rosemarylink::bench
