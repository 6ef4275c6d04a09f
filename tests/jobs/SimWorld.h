#pragma once

#include "rosemarylink/base/Clock.h"
#include "rosemarylink/jobs/Timers.h"

#include <exception>
#include <functional>
#include <map>
#include <utility>

namespace rosemarylink::jobs {

// Simulated time and event queue. Events run in the order of their due times, with the clock set to the due time.
class SimWorld final : public Timers {
public:
    // Whether an exception in an event is ignored, as the event loop of a process does. Otherwise it leaves run().
    bool ignoresExceptions = false;

    const Clock& clock() const { return clock_; }
    Milliseconds now() const { return clock_.monotonic(); }

    Id after(Milliseconds delay, std::function<void()> task) override
    {
        const Id id = ++lastId_;
        events_.emplace(std::make_pair(now() + delay, id), std::move(task));
        return id;
    }

    void cancel(Id id) override
    {
        for (auto position = events_.begin(); position != events_.end(); ++position) {
            if (position->first.second == id) {
                events_.erase(position);
                return;
            }
        }
    }

    // Advances the clock by `duration` and runs all events that become due.
    void run(Milliseconds duration)
    {
        const Milliseconds end = now() + duration;
        while (!events_.empty() && events_.begin()->first.first <= end) {
            const auto event = std::move(*events_.begin());
            events_.erase(events_.begin());
            if (event.first.first > now())
                clock_.advance(event.first.first - now());
            runEvent(event.second);
        }
        clock_.advance(end - now());
    }

private:
    void runEvent(const std::function<void()>& event) const
    {
        try {
            event();
        } catch (const std::exception&) {
            if (!ignoresExceptions)
                throw;
        }
    }

    ManualClock clock_;
    std::map<std::pair<Milliseconds, Id>, std::function<void()>> events_;
    Id lastId_ = 0;
};

} // namespace rosemarylink::jobs
