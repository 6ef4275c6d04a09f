#pragma once

#include "rosemarylink/base/Units.h"

#include <csignal>

namespace rosemarylink {

// Takes SIGTERM and SIGINT off the process's threads, so that main can wait for them. Construct it in main before any
// thread starts.
class ShutdownSignal {
public:
    ShutdownSignal();

    // True when a signal came within the time.
    bool waitFor(Milliseconds limit);

private:
    sigset_t signals_ {};
};

} // namespace rosemarylink
