#pragma once

#include "rosemarylink/base/Units.h"

#include <atomic>

namespace rosemarylink {

// The source of time. Code that depends on the time takes a Clock, so that tests can use a ManualClock. Safe to use
// from several threads.
class Clock {
public:
    virtual ~Clock() = default;

    // Wall-clock time for records and logs; may jump in either direction.
    virtual Timestamp now() const = 0;

    // Time since an arbitrary start; never decreases. Use it for leases and time-outs.
    virtual Milliseconds monotonic() const = 0;
};

class SystemClock final : public Clock {
public:
    Timestamp now() const override;
    Milliseconds monotonic() const override;
};

// A clock that advances only by advance(). Safe to use from several threads, but only one at a time may call advance().
class ManualClock final : public Clock {
public:
    Timestamp now() const override { return Timestamp(elapsed_.load()); }
    Milliseconds monotonic() const override { return elapsed_.load(); }
    void advance(Milliseconds step) { elapsed_ = elapsed_.load() + step; }

private:
    std::atomic<Milliseconds> elapsed_ { Milliseconds(0) };
};

} // namespace rosemarylink
