#pragma once

#include "rosemarylink/base/Units.h"

namespace rosemarylink::jobs::internal {

// Load pattern: many tasks are placed at once by an owner on a slow link. If all start commands were sent together,
// their responses would arrive after the time-out, the commands would be repeated and their gangs stopped, which loads
// the link further. The number of start commands without a response is therefore limited: the limit rises while
// responses are quick and falls when many are slow.
class CommandWindow {
public:
    // Each command uses a connection, so that `highestLimit` must leave descriptors for all others.
    explicit CommandWindow(int highestLimit = 1024);

    // Whether one more command may be sent now.
    bool hasSpace() const { return inFlight_ < static_cast<int>(limit_); }

    void sent() { ++inFlight_; }

    // A single slow response says nothing: some workers are always slow. Several slow ones among the latest lower the
    // limit, at most once in a while.
    void responded(Milliseconds now, Milliseconds responseTime);

    int limit() const { return static_cast<int>(limit_); }

private:
    double highestLimit_;
    double limit_;
    int inFlight_ = 0;
    double slowShare_ = 0; // among the latest responses
    Milliseconds loweredAt_ { 0 };
};

} // namespace rosemarylink::jobs::internal
