#include "rosemarylink/base/Clock.h"

#include <ctime>

namespace rosemarylink {

Timestamp SystemClock::now() const
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

Milliseconds SystemClock::monotonic() const
{
    // Unlike the steady clock, CLOCK_BOOTTIME includes the time during which the machine is suspended, so that a lease
    // expires for its holder when it expires for all other processes.
    timespec time {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return Milliseconds(static_cast<std::int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000);
}

} // namespace rosemarylink
