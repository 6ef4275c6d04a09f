#pragma once

#include <cstdint>

namespace rosemarylink::bench {

// While an object of this type exists, counts the heap bytes that the calling thread allocates less those that it
// frees. The counts are kept by thread and cover all scopes since reset.
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
