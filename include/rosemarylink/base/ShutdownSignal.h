#pragma once

#include "rosemarylink/base/Units.h"

#include <csignal>

namespace rosemarylink {

// Blocks SIGTERM and SIGINT, so that main can wait for them, and ignores SIGPIPE. Construct it in main before any
// thread starts, since threads inherit the signal mask.
class ShutdownSignal {
public:
    ShutdownSignal();

    // Waits for SIGTERM or SIGINT. Returns false when none arrived within the limit.
    bool waitFor(Milliseconds limit);

private:
    sigset_t signals_ {};
};

} // namespace rosemarylink
