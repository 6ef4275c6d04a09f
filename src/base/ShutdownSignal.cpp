#include "rosemarylink/base/ShutdownSignal.h"

#include <ctime>

namespace rosemarylink {

ShutdownSignal::ShutdownSignal()
{
    sigemptyset(&signals_);
    sigaddset(&signals_, SIGTERM);
    sigaddset(&signals_, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals_, nullptr);
    // A write to a connection that the peer has closed must fail with an error instead of terminating the process.
    std::signal(SIGPIPE, SIG_IGN);
}

bool ShutdownSignal::waitFor(Milliseconds limit)
{
    timespec timeout {};
    timeout.tv_sec = static_cast<std::time_t>(limit.count() / 1000);
    timeout.tv_nsec = static_cast<long>(limit.count() % 1000) * 1000000;
    return sigtimedwait(&signals_, nullptr, &timeout) > 0;
}

} // namespace rosemarylink
