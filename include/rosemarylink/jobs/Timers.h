#pragma once

#include "rosemarylink/base/Units.h"

#include <cstdint>
#include <functional>

namespace rosemarylink::jobs {

// Runs tasks later, on the thread that the caller runs on.
class Timers {
public:
    using Id = std::uint64_t;

    virtual ~Timers() = default;
    virtual Id after(Milliseconds delay, std::function<void()>) = 0;
    virtual void cancel(Id) = 0;
};

} // namespace rosemarylink::jobs
