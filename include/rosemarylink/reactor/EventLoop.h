#pragma once

#include "rosemarylink/base/Clock.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace rosemarylink::reactor {

// Handles readiness events of one socket. Called on the loop's thread only.
class SocketHandler {
public:
    virtual ~SocketHandler() = default;
    virtual void onReadable() = 0;
    virtual void onWritable() = 0;
};

// Runs socket handlers and timers on the thread that calls run(). Not thread-safe. An exception thrown by a handler or
// timer is logged and does not end the loop.
class EventLoop {
public:
    using Task = std::function<void()>;
    using TimerId = std::uint64_t;

    explicit EventLoop(const Clock& clock)
        : clock_(clock)
    {
    }

    const Clock& clock() const { return clock_; }

    // Runs the task once, no earlier than after the delay.
    TimerId after(Milliseconds delay, Task);

    // Has no effect on a timer that has fired.
    void cancel(TimerId);

    // Starts watching a socket, or changes how it is watched. Only a weak reference to the handler is kept; the socket
    // is unwatched once the handler has been destroyed. Throws Poco::Exception if the system refuses to watch the
    // socket; its handler is then unchanged.
    void watch(const Poco::Net::Socket&, bool forWriting, const std::shared_ptr<SocketHandler>&);

    // Like watch(), but not for reading: onReadable() is then called only when the connection has failed. Neither
    // received bytes nor the end of the peer's sending are reported.
    void watchWithoutReading(const Poco::Net::Socket&, bool forWriting, const std::shared_ptr<SocketHandler>&);

    // Must be called before the socket is closed. Does not throw.
    void unwatch(const Poco::Net::Socket&);

    // Runs until stop() is called. Calls onIteration after each iteration, at least every 100 ms unless a handler
    // blocks. May be called again after it has ended.
    void run(const Task& onIteration);
    void stop() { stopped_ = true; }

private:
    void watchFor(int mode, const Poco::Net::Socket&, const std::shared_ptr<SocketHandler>&);
    static void runTask(const Task&);
    void runDueTimers();
    Milliseconds nextWait() const;

    const Clock& clock_;
    Poco::Net::PollSet sockets_;
    std::map<Poco::Net::Socket, std::weak_ptr<SocketHandler>> handlers_;
    std::map<std::pair<Milliseconds, TimerId>, Task> timers_;
    std::map<TimerId, Milliseconds> dueTimes_;
    TimerId lastTimer_ = 0;
    bool stopped_ = false;
};

} // namespace rosemarylink::reactor
