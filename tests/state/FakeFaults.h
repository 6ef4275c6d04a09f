#pragma once

#include "rosemarylink/base/Error.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace rosemarylink::state::fakes {

// The life of one simulated process. Its fake clients share it, so that a death can be placed at any of its calls.
struct ProcessFaults {
    bool dead = false; // all calls fail without effect
    std::int64_t calls = 0; // so far, of the store and of workers
    std::optional<std::int64_t> dieAtCall; // the process dies just before this call
    std::optional<std::int64_t> dieAfterCall; // the process dies when this call has taken effect

    // Counts a call. False when the process is dead, so that the call must have no effect.
    bool beginCall()
    {
        if (dead)
            return false;
        ++calls;
        if (dieAtCall && calls >= *dieAtCall)
            dead = true;
        return !dead;
    }
    void endCall()
    {
        if (dieAfterCall && calls >= *dieAfterCall)
            dead = true;
    }
};

} // namespace rosemarylink::state::fakes
