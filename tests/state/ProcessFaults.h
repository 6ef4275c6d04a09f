#pragma once

#include "rosemarylink/base/Error.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace rosemarylink::state::fakes {

// The state of one simulated process. Its fake clients share it, so that tests can crash the process at any of its
// calls.
struct ProcessFaults {
    bool crashed = false; // all calls fail without effect
    std::int64_t calls = 0; // number of calls to the store and to workers so far
    std::optional<std::int64_t> crashBeforeCall; // the process crashes immediately before this call
    std::optional<std::int64_t> crashAfterCall; // the process crashes after this call has taken effect

    // Counts a call. Returns false when the process has crashed and the call must have no effect.
    bool beginCall()
    {
        if (crashed)
            return false;
        ++calls;
        if (crashBeforeCall && calls >= *crashBeforeCall)
            crashed = true;
        return !crashed;
    }
    void endCall()
    {
        if (crashAfterCall && calls >= *crashAfterCall)
            crashed = true;
    }
};

} // namespace rosemarylink::state::fakes
