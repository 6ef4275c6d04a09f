#pragma once

#include "rosemarylink/base/Units.h"

#include <cstdint>
#include <functional>

namespace rosemarylink::jobs {

// Runs functions after a delay, on the thread on which they were scheduled.
class Timers {
public:
    using Id = std::uint64_t;

    virtual ~Timers() = default;
    virtual Id after(Milliseconds delay, std::function<void()>) = 0;

    // Has no effect on a timer that has fired.
    virtual void cancel(Id) = 0;
};

} // namespace rosemarylink::jobs
